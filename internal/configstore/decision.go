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

// versionField is the optional JSON field of a configuration that contains its version number.
const versionField = "version"

// statedVersion returns the version field of a content; it may be absent.
func statedVersion(body []byte) gjson.Result { return gjson.GetBytes(body, versionField) }

// decide returns the response to a write, or reports that the write must be committed. It considers
// committed versions only. A repeated write of a committed version is recognised by the digest of its
// content and acknowledged again. Different content under a committed number is a conflict in both write
// modes.
func (m *Machine) decide(request message.WriteRequest, stated gjson.Result) (response message.StoreResponse, commits bool) {
	if request.Version <= 0 || !slices.Contains(m.settings.ConfigNames, request.ConfigName) {
		faults := []string{"$: want a version above 0 and one of the configurations of the settings"}
		return refusal(request, errcode.ConfigurationBad, "", faults), false
	}
	current, known := m.current(request.ConfigName)
	notNewer := known && request.Version <= current.Version
	if response, decided := m.decideByHistory(request, current, notNewer); decided {
		return response, false
	}
	if refused, faulty := m.checkContent(request, stated); faulty {
		return refused, false
	}
	if notNewer {
		return acknowledgement(current), false
	}
	return message.StoreResponse{}, true
}

// decideByHistory returns the response that the committed versions alone determine, if they do. In the
// mode settings.WritesHighest a lower number is not refused but acknowledged with the current version.
func (m *Machine) decideByHistory(
	request message.WriteRequest, current message.StoredConfiguration, notNewer bool,
) (response message.StoreResponse, decided bool) {
	outcome := m.log.history.outcome(request.ConfigName, request.Version, request.Body)
	highestWins := m.settings.WritePolicy == settings.WritesHighest
	switch {
	case outcome == committedSame && highestWins:
		return acknowledgement(current), true
	case outcome == committedSame:
		return refusal(request, errcode.OK, "already committed", nil), true
	case outcome == committedOther:
		return refusal(request, errcode.ConfigurationConflict, "another content was committed under this number", nil), true
	case outcome == olderThanHistory && !highestWins:
		return refusal(request, errcode.ConfigurationUnsure, "this number is older than what is remembered", nil), true
	case notNewer && !highestWins:
		return refusal(request, errcode.ConfigurationConflict, currentVersionDetail(current), nil), true
	}
	return message.StoreResponse{}, false
}

// checkContent returns a refusal if the content has faults. It uses the result of the registry's check, and
// checks the content itself only if the registry didn't.
func (m *Machine) checkContent(request message.WriteRequest, stated gjson.Result) (response message.StoreResponse, faulty bool) {
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

// refusal returns a response that carries the version number of the request.
func refusal(request message.WriteRequest, code errcode.Code, detail string, faults []string) message.StoreResponse {
	return message.StoreResponse{Code: int64(code), Detail: detail, Faults: faults, Version: request.Version}
}

// acknowledgement returns the response to a write that changes nothing: it carries the current version.
func acknowledgement(current message.StoredConfiguration) message.StoreResponse {
	return message.StoreResponse{Detail: currentVersionDetail(current), Version: current.Version, Body: current.Body}
}

// currentVersionDetail returns the detail text that names the current version.
func currentVersionDetail(current message.StoredConfiguration) string {
	return fmt.Sprintf("the current version is %d", current.Version)
}
