package configstore

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// pendingResponse is a response that waits until a majority has renewed the lease in a round that began
// after the request was received. Without such a round, another voter may already have become the holder
// and committed newer versions that the response would miss.
type pendingResponse struct {
	from       string
	requestID  int64
	receivedAt time.Duration
	build      func() message.StoreResponse // called when the response is sent
}

// respondConfirmed queues a response that is sent once a renewal of the lease confirms that no other voter
// held it when the request was received. It starts a renewal if necessary.
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

// respond sends a response. It replaces nil slices by empty ones and compresses a large body.
func (m *Machine) respond(env *statemachine.Env, to string, response message.StoreResponse) {
	if response.Faults == nil {
		response.Faults = []string{}
	}
	if response.Body == nil {
		response.Body = []byte{}
	}
	if len(response.Body) > compressionThreshold {
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

// notServingResponse returns a refusal that names the holder of the lease, if this voter knows it.
func (m *Machine) notServingResponse(requestID int64) message.StoreResponse {
	code := errcode.ConfigurationNoHolder
	if m.leadership.phase != following {
		code = errcode.ConfigurationBehind
	}
	return message.StoreResponse{RequestID: requestID, Code: int64(code), Holder: m.leaseHolderName()}
}

// handleRead responds to a read with the versions that are committed when the response is sent.
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

// read returns the list of committed versions and, unless only the list is requested, the content of the
// requested version; version 0 requests the current one.
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

// committed returns the versions of a configuration in the log, without the write in flight.
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

// current returns the last committed version of a configuration, if there is one.
func (m *Machine) current(configName string) (message.StoredConfiguration, bool) {
	list := m.committed(configName)
	if len(list) == 0 {
		return message.StoredConfiguration{}, false
	}
	return list[len(list)-1], true
}
