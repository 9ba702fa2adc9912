package configstore

import (
	"fmt"
	"slices"

	"github.com/tidwall/gjson"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// versionField is the field of a configuration that states its version number.
const versionField = "version"

// statedVersion returns the version number that a content states, if any.
func statedVersion(body []byte) gjson.Result { return gjson.GetBytes(body, versionField) }

// decide returns the response to a write, or that the write is to be committed. It relies on committed
// versions only. A version that was committed is acknowledged again, by the digest of its content;
// another content under its number is a conflict, whoever sends it and in either mode of writing.
func (m *Machine) decide(request message.WriteRequest, stated gjson.Result) (response message.StoreResponse, commits bool) {
	if request.Version <= 0 || !slices.Contains(m.settings.ConfigNames, request.ConfigName) {
		faults := []string{"$: want a version above 0 and one of the configurations of the settings"}
		return refusal(request, errcode.ConfigurationBad, "", faults), false
	}
	current, known := m.current(request.ConfigName)
	overtaken := known && request.Version <= current.Version
	if response, decided := m.decideByHistory(request, current, overtaken); decided {
		return response, false
	}
	if fault, found := m.check(request, stated); found {
		return fault, false
	}
	if overtaken {
		return acknowledgement(current), false
	}
	return message.StoreResponse{}, true
}

// decideByHistory returns the response that follows from what was committed before. In the mode where the
// highest version wins, a lower number is no fault: it is acknowledged with the version in force.
func (m *Machine) decideByHistory(
	request message.WriteRequest, current message.StoredConfiguration, overtaken bool,
) (response message.StoreResponse, decided bool) {
	past := m.log.history.outcome(request.ConfigName, request.Version, request.Body)
	highestWins := m.settings.WritePolicy == settings.WritesHighest
	switch {
	case past == committedSame && highestWins:
		return acknowledgement(current), true
	case past == committedSame:
		return refusal(request, errcode.OK, "already committed", nil), true
	case past == committedOther:
		return refusal(request, errcode.ConfigurationConflict, "another content was committed under this number", nil), true
	case past == forgotten && !highestWins:
		return refusal(request, errcode.ConfigurationUnsure, "this number is older than what is remembered", nil), true
	case overtaken && !highestWins:
		return refusal(request, errcode.ConfigurationConflict, currentVersionDetail(current), nil), true
	}
	return message.StoreResponse{}, false
}

// check returns a refusal if the content has faults: those that the registry found or, if it did not
// look, those that are found here.
func (m *Machine) check(request message.WriteRequest, stated gjson.Result) (response message.StoreResponse, found bool) {
	faults, tooLarge := request.Check.Faults, request.Check.TooLarge
	if !request.Check.Done {
		faults, tooLarge = routeconfig.Check(request.Body, m.settings.ConfigurationLimits())
	}
	if tooLarge {
		return refusal(request, errcode.ConfigurationTooLarge, "", faults), true
	}
	if stated.Exists() && stated.Int() != request.Version {
		faults = append(faults, "version: differs from the number put")
	}
	return refusal(request, errcode.ConfigurationBad, "", faults), len(faults) > 0
}

// refusal returns a response with the number that was put.
func refusal(request message.WriteRequest, code errcode.Code, detail string, faults []string) message.StoreResponse {
	return message.StoreResponse{Code: int64(code), Detail: detail, Faults: faults, Version: request.Version}
}

// acknowledgement returns the response to a write that changes nothing: it carries what is in force.
func acknowledgement(current message.StoredConfiguration) message.StoreResponse {
	return message.StoreResponse{Detail: currentVersionDetail(current), Version: current.Version, Body: current.Body}
}

// currentVersionDetail is the text that tells a client which version is in force.
func currentVersionDetail(current message.StoredConfiguration) string {
	return fmt.Sprintf("the current version is %d", current.Version)
}
