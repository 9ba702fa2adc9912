package configstore

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// pendingResponse waits until a majority has renewed the lease in a round that began after the request
// came. Before that another voter may have become the holder and committed newer versions, of which this
// response knows nothing.
type pendingResponse struct {
	from       string
	requestID  int64
	receivedAt time.Duration
	build      func() message.StoreResponse // called when the response is sent
}

// respondConfirmed sends a response once it is certain that no other voter held the lease when the
// request came.
func (m *Machine) respondConfirmed(env *statemachine.Env, response pendingResponse) {
	m.responses = append(m.responses, response)
	if !m.leases.ConfirmedSince(settings.ConfigLogLease, response.receivedAt) {
		m.leases.RenewNow(settings.ConfigLogLease, env)
	}
	m.sendConfirmedResponses(env)
}

// sendConfirmedResponses sends the responses whose renewal has been confirmed.
func (m *Machine) sendConfirmedResponses(env *statemachine.Env) {
	if m.leadership.phase != serving {
		return
	}
	waiting := []pendingResponse{}
	for _, response := range m.responses {
		if !m.leases.ConfirmedSince(settings.ConfigLogLease, response.receivedAt) && !guardsOff.confirmedAnswers {
			waiting = append(waiting, response)
			continue
		}
		m.respond(env, response.from, response.build())
	}
	m.responses = waiting
}

// respond sends a response; a large body is compressed.
func (m *Machine) respond(env *statemachine.Env, to string, response message.StoreResponse) {
	if response.Faults == nil {
		response.Faults = []string{}
	}
	if response.Body == nil {
		response.Body = []byte{}
	}
	if len(response.Body) > compressAbove {
		response.Body, response.Compressed = m.encoder.compress(response.Body), true
	}
	if response.Versions == nil {
		response.Versions = []int64{}
	}
	if response.ConfigNames == nil {
		response.ConfigNames = []string{}
	}
	env.Send(to, response)
}

// notServingResponse refuses a request and names the holder of the lease, as far as this voter knows it.
func (m *Machine) notServingResponse(requestID int64) message.StoreResponse {
	code := errcode.ConfigurationNoHolder
	if m.leadership.phase != following {
		code = errcode.ConfigurationBehind
	}
	return message.StoreResponse{RequestID: requestID, Code: int64(code), Holder: m.leaseHolderName()}
}

// handleRead answers a read from the committed versions, as they are when the response is sent.
func (m *Machine) handleRead(env *statemachine.Env, from string, request message.ReadRequest) {
	if m.leadership.phase != serving {
		m.respond(env, from, m.notServingResponse(request.RequestID))
		return
	}
	m.respondConfirmed(env, pendingResponse{
		from:       from,
		requestID:  request.RequestID,
		receivedAt: env.Now,
		build:      func() message.StoreResponse { return m.read(request) },
	})
}

// read returns the list of committed versions, and the content of the one that is asked for.
func (m *Machine) read(request message.ReadRequest) message.StoreResponse {
	response := message.StoreResponse{
		RequestID:   request.RequestID,
		ConfigName:  request.ConfigName,
		ConfigNames: m.log.configNames(),
	}
	list := m.committed(request.ConfigName)
	for _, entry := range list {
		response.Versions = append(response.Versions, entry.Version)
	}
	if request.List {
		return response
	}
	for index := len(list) - 1; index >= 0; index-- {
		if entry := list[index]; request.Version == 0 || entry.Version == request.Version {
			response.Version, response.Body = entry.Version, entry.Body
			return response
		}
	}
	response.Code = int64(errcode.ConfigurationNotFound)
	return response
}

// committed returns the kept versions of a configuration without the write in flight.
func (m *Machine) committed(configName string) []message.StoredConfiguration {
	list := m.log.versions[configName]
	if guardsOff.committedReads || !m.proposal.inFlight() {
		return list
	}
	pending := m.proposal.entry
	if pending.ConfigName == configName && len(list) > 0 && list[len(list)-1].Version == pending.Version {
		list = list[:len(list)-1]
	}
	return list
}

// current returns the newest committed version of a configuration.
func (m *Machine) current(configName string) (message.StoredConfiguration, bool) {
	list := m.committed(configName)
	if len(list) == 0 {
		return message.StoredConfiguration{}, false
	}
	return list[len(list)-1], true
}
