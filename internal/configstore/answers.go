package configstore

// This file answers operators. An answer without a commit waits until a majority has renewed
// the lease in a round begun after the request came.

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// unconfirmedAnswer is kept back until a majority has renewed the lease in a round begun
// after the request came.
type unconfirmedAnswer struct {
	from      string
	requestID int64
	at        time.Duration
	response  func() message.StoreResponse
}

func (m *Machine) tell(s *statemachine.Env, to string, response message.StoreResponse) {
	if response.Faults == nil {
		response.Faults = []string{}
	}
	if response.Body == nil {
		response.Body = []byte{}
	}
	if len(response.Body) > packedFrom {
		response.Body, response.Packed = m.packer.whole(response.Body), true
	}
	if response.Versions == nil {
		response.Versions = []int64{}
	}
	if response.ConfigNames == nil {
		response.ConfigNames = []string{}
	}
	s.Send(to, response)
}

func (m *Machine) notServing() errcode.Code {
	if m.mode != idle {
		return errcode.ConfigurationBehind
	}
	return errcode.ConfigurationNoHolder
}

// current is the newest settled version.
func (m *Machine) current(configName string) (message.StoredConfiguration, bool) {
	list := m.committed(configName)
	if len(list) == 0 {
		return message.StoredConfiguration{}, false
	}
	return list[len(list)-1], true
}

func (m *Machine) committed(configName string) []message.StoredConfiguration {
	list := m.configurations[configName]
	if guardsOff.committedReads {
		return list
	}
	if m.inFlight != nil && m.inFlight.ConfigName == configName && len(list) > 0 && list[len(list)-1].Version == m.inFlight.Version {
		list = list[:len(list)-1]
	}
	return list
}

// answerLater keeps an answer back until it is sure that no other voter held the lease
// when the request came.
func (m *Machine) answerLater(s *statemachine.Env, answer unconfirmedAnswer) {
	m.answers = append(m.answers, answer)
	if !m.leases.ConfirmedSince(settings.ConfigLogTag, answer.at) {
		m.leases.RenewNow(settings.ConfigLogTag, s)
	}
	m.answerConfirmed(s)
}

// answerConfirmed gives the answers behind which a renewal has been confirmed.
func (m *Machine) answerConfirmed(s *statemachine.Env) {
	if m.mode != serving {
		return
	}
	waiting := []unconfirmedAnswer{}
	for _, answer := range m.answers {
		if !m.leases.ConfirmedSince(settings.ConfigLogTag, answer.at) && !guardsOff.confirmedAnswers {
			waiting = append(waiting, answer)
			continue
		}
		m.tell(s, answer.from, answer.response())
	}
	m.answers = waiting
}

func (m *Machine) read(get message.ReadRequest) message.StoreResponse {
	response := message.StoreResponse{RequestID: get.RequestID, ConfigName: get.ConfigName, ConfigNames: m.configNames()}
	list := m.committed(get.ConfigName)
	for _, held := range list {
		response.Versions = append(response.Versions, held.Version)
	}
	if get.List {
		return response
	}
	for index := len(list) - 1; index >= 0; index-- {
		if held := list[index]; get.Version == 0 || held.Version == get.Version {
			response.Version, response.Body = held.Version, held.Body
			return response
		}
	}
	response.Code = int64(errcode.ConfigurationNotFound)
	return response
}
