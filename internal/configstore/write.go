// This file decides what becomes of a write. What was taken is acknowledged again, by the
// digest of its content; another content under a taken number is a conflict, whoever
// sends it and in either mode; what is in order is committed. No answer is given
// before a majority is known to have stood behind this holder since the write came: a
// commit shows that by itself, every other answer waits for a renewal.

package configstore

import (
	"fmt"
	"slices"

	"github.com/tidwall/gjson"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// begin takes the next write; nothing is in flight here.
func (m *Machine) begin(s *statemachine.Env, next queuedWrite) {
	number := gjson.GetBytes(next.write.Body, "version")
	if next.write.Version == 0 {
		next.write.Version = number.Int()
	}
	response, commits := m.decide(next.write, number)
	if commits {
		m.commit(s, next, next.write)
		return
	}
	response.RequestID, response.ConfigName = next.write.RequestID, next.write.ConfigName
	m.answerLater(s, unconfirmedAnswer{next.from, next.write.RequestID, next.at, func() message.StoreResponse { return response }})
}

// decide gives the answer to a write, or says that it is to be committed. It relies on
// committed versions only.
func (m *Machine) decide(write message.WriteRequest, number gjson.Result) (response message.StoreResponse, commits bool) {
	if write.Version <= 0 || !slices.Contains(m.settings.ConfigNames, write.ConfigName) {
		return refusal(write, errcode.ConfigurationBad, "", []string{"$: want a version above 0 and one of the configurations of the settings"}), false
	}
	past := m.history.outcome(write.ConfigName, write.Version, write.Body)
	current, known := m.current(write.ConfigName)
	highest := m.settings.Writes == settings.WritesHighest
	overtaken := known && write.Version <= current.Version
	switch {
	case past == takenAlike && highest:
		return acknowledgement(current), false
	case past == takenAlike:
		return refusal(write, errcode.OK, "already committed", nil), false
	case past == takenOther:
		return refusal(write, errcode.ConfigurationConflict, "another content was committed under this number", nil), false
	case past == forgotten && !highest:
		return refusal(write, errcode.ConfigurationUnsure, "this number is older than what is remembered", nil), false
	case overtaken && !highest:
		return refusal(write, errcode.ConfigurationConflict, fmt.Sprintf("the current version is %d", current.Version), nil), false
	}
	if fault, found := m.check(write, number); found {
		return fault, false
	}
	if overtaken {
		return acknowledgement(current), false
	}
	return message.StoreResponse{}, true
}

// check tells the faults in the content, as the registry found them or, if it did not look, as
// they are found here.
func (m *Machine) check(write message.WriteRequest, number gjson.Result) (response message.StoreResponse, found bool) {
	faults, tooLarge := write.Check.Faults, write.Check.TooLarge
	if !write.Check.Done {
		faults, tooLarge = routeconfig.Check(write.Body, m.settings.ConfigurationLimits())
	}
	if tooLarge {
		return refusal(write, errcode.ConfigurationTooLarge, "", faults), true
	}
	if number.Exists() && number.Int() != write.Version {
		faults = append(faults, "version: differs from the number put")
	}
	return refusal(write, errcode.ConfigurationBad, "", faults), len(faults) > 0
}

func refusal(write message.WriteRequest, code errcode.Code, detail string, faults []string) message.StoreResponse {
	return message.StoreResponse{Code: int64(code), Detail: detail, Faults: faults, Version: write.Version}
}

// acknowledgement of a write that alters nothing: it names what is in force.
func acknowledgement(current message.StoredConfiguration) message.StoreResponse {
	return message.StoreResponse{Detail: fmt.Sprintf("the current version is %d", current.Version), Version: current.Version, Body: current.Body}
}
