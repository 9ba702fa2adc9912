package registry

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/delta"
	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// forwardedRequests are the operators' reads and writes of configurations that were forwarded to a
// configstore and await its response. A write without a response is sent again with the same bytes,
// which the configstore answers in the same way. At its deadline a write that may have taken effect
// is answered with an unknown outcome, never with a refusal.
type forwardedRequests struct {
	settings     settings.Settings
	core         *quorum.ControlBase
	membership   *membership.Membership
	distribution *distribution.Distribution

	requestIDs statemachine.Sequence
	pending    map[int64]*pendingRequest
	holderHint string // name of the configstore that the latest redirect named as holder
}

// pendingRequest is a forwarded write or read; exactly one of write and read is set.
type pendingRequest struct {
	replyTo  int64                 // request id of the operator's request
	write    *message.WriteRequest // its body is compressed
	body     []byte                // body of the write, uncompressed
	read     *message.ReadRequest
	deadline time.Duration

	nextSendAt      time.Duration
	sentTo          string // address of the latest send; "": the next send is not a repeat
	unresolvedSends int    // sends that were not answered with "nothing was done"
}

// newForwardedRequests returns the forwarded requests of a registry that just started: none.
func newForwardedRequests(cfg settings.Settings, core *quorum.ControlBase, members *membership.Membership,
	tree *distribution.Distribution) *forwardedRequests {
	return &forwardedRequests{
		settings:     cfg,
		core:         core,
		membership:   members,
		distribution: tree,
		pending:      map[int64]*pendingRequest{},
	}
}

// write forwards a write to a configstore.
func (r *forwardedRequests) write(env *statemachine.Env, replyTo int64, request WriteConfiguration) {
	packed := request.CompressedBody
	if packed == nil {
		packed = delta.Encode(nil, request.Body)
	}
	requestID := r.requestIDs.Next(env)
	r.pending[requestID] = &pendingRequest{
		replyTo:  replyTo,
		deadline: env.Now + r.settings.OperatorTimeout(len(request.Body)),
		body:     request.Body,
		write: &message.WriteRequest{
			RequestID:  requestID,
			ConfigName: request.ConfigName,
			Version:    request.Version,
			Body:       packed,
			Compressed: true,
			Check:      request.Check,
		},
	}
	r.tick(env)
}

// read forwards a read to a configstore.
func (r *forwardedRequests) read(env *statemachine.Env, replyTo int64, request ReadConfiguration) {
	requestID := r.requestIDs.Next(env)
	r.pending[requestID] = &pendingRequest{
		replyTo:  replyTo,
		deadline: env.Now + r.settings.OperatorTimeout(0),
		read: &message.ReadRequest{
			RequestID:  requestID,
			ConfigName: request.ConfigName,
			Version:    request.Version,
			List:       request.List,
		},
	}
	r.tick(env)
}

// tick sends the requests that are due, and answers those whose deadline has passed.
func (r *forwardedRequests) tick(env *statemachine.Env) {
	for _, requestID := range slices.Sorted(maps.Keys(r.pending)) {
		request := r.pending[requestID]
		if env.Now >= request.deadline {
			delete(r.pending, requestID)
			env.Reply(request.replyTo, request.timeoutAnswer())
			continue
		}
		if env.Now >= request.nextSendAt {
			r.send(env, request)
		}
	}
}

// timeoutAnswer returns the answer at the deadline. A write that a configstore may have committed
// is reported as of unknown outcome.
func (p *pendingRequest) timeoutAnswer() OperatorResponse {
	if p.write != nil && p.unresolvedSends > 0 {
		return answerCode(errcode.ConfigurationUnsure, "no answer in time")
	}
	return answerCode(errcode.ConfigurationNoHolder, "no holder in time")
}

// send sends a request to the presumed holder and schedules the next attempt.
func (r *forwardedRequests) send(env *statemachine.Env, request *pendingRequest) {
	address, found := r.holderAddress(env)
	request.nextSendAt = env.Now + r.settings.UpdatesEvery()
	if !found {
		return
	}
	if request.sentTo == address {
		// A repeat to the same holder: allow it more time to respond before the next one.
		request.nextSendAt = env.Now + r.settings.Lease()/2
	}
	request.sentTo = address
	if request.write != nil {
		request.unresolvedSends++
		env.Send(address, *request.write)
	} else {
		env.Send(address, *request.read)
	}
}

// holderAddress returns the address of the configstore that presumably holds the lease: the one
// named by the latest redirect, else the parent in the distribution tree, else a random one. It
// returns false if no configstore is alive.
func (r *forwardedRequests) holderAddress(env *statemachine.Env) (string, bool) {
	stores := r.configStores()
	parent, _, _ := r.distribution.Parent()
	for _, name := range []string{r.holderHint, parent} {
		index := slices.IndexFunc(stores, func(store message.Member) bool { return store.Name == name && name != "" })
		if index >= 0 {
			return stores[index].Address, true
		}
	}
	if len(stores) == 0 {
		return "", false
	}
	return stores[env.Random.IntN(len(stores))].Address, true
}

// configStores lists the living configstores, or only the voters among them if there are any.
func (r *forwardedRequests) configStores() []message.Member {
	stores := r.membership.Alive(message.RoleConfigStore)
	voters := slices.DeleteFunc(slices.Clone(stores), func(store message.Member) bool { return store.Voter == "" })
	if len(voters) > 0 {
		return voters
	}
	return stores
}

// handle processes the response of a configstore. It returns false for any other message.
func (r *forwardedRequests) handle(env *statemachine.Env, msg any) bool {
	response, isResponse := msg.(message.StoreResponse)
	if !isResponse {
		return false
	}
	request, known := r.pending[response.RequestID]
	if !known {
		return true
	}
	switch code := errcode.Code(response.Code); code {
	case errcode.ConfigurationNoHolder, errcode.ConfigurationBehind:
		r.redirect(env, request, response)
	case errcode.ConfigurationUnsure:
		// The configstore lost its lease during the write. Sending the same bytes to the next
		// holder settles the outcome.
		request.sentTo = ""
		request.nextSendAt = env.Now + r.settings.UpdatesEvery()
	default:
		delete(r.pending, response.RequestID)
		env.Reply(request.replyTo, r.finalAnswer(env, request, response))
	}
	return true
}

// redirect schedules another attempt after a configstore has answered that it is not the holder or
// is behind. The attempt goes to the holder that the response names.
func (r *forwardedRequests) redirect(env *statemachine.Env, request *pendingRequest, response message.StoreResponse) {
	r.holderHint = response.Holder
	request.unresolvedSends--
	request.nextSendAt = env.Now + r.settings.UpdatesEvery()/2
	if response.Holder != "" && errcode.Code(response.Code) == errcode.ConfigurationNoHolder {
		request.sentTo = ""
	}
}

// finalAnswer returns the answer to a request whose response is final, and publishes the version of
// a write that succeeded.
func (r *forwardedRequests) finalAnswer(env *statemachine.Env, request *pendingRequest,
	response message.StoreResponse) OperatorResponse {
	body, err := r.decompressBody(response)
	if err != nil {
		return answerCode(errcode.Internal, err.Error())
	}
	code := errcode.Code(response.Code)
	if request.read != nil && code == errcode.OK {
		return readAnswer(*request.read, response, body)
	}
	if request.write != nil && code == errcode.OK {
		r.publish(env, request, response, body)
	}
	return answerJSON(code, writeAnswer{
		Code:          code,
		Result:        code.String(),
		Configuration: response.ConfigName,
		Version:       response.Version,
		Detail:        response.Detail,
		Faults:        response.Faults,
	})
}

// decompressBody returns the body of a response, decompressed if it was compressed.
func (r *forwardedRequests) decompressBody(response message.StoreResponse) ([]byte, error) {
	if !response.Compressed {
		return response.Body, nil
	}
	return delta.Apply(nil, response.Body, r.settings.Limits.Configuration)
}

// readAnswer returns the answer to a read that succeeded.
func readAnswer(read message.ReadRequest, response message.StoreResponse, body []byte) OperatorResponse {
	if !read.List {
		return OperatorResponse{Code: errcode.OK, Body: body, Raw: true}
	}
	return answerJSON(errcode.OK, versionsAnswer{
		Configuration:  response.ConfigName,
		Versions:       response.Versions,
		Configurations: response.ConfigNames,
	})
}

// publish passes a committed version to the distribution tree and to the peers at once, so that it
// spreads even if the configstore that committed it fails. The response has a body if the version
// in force is not the written one.
func (r *forwardedRequests) publish(env *statemachine.Env, request *pendingRequest,
	response message.StoreResponse, responseBody []byte) {
	body, packed := request.body, request.write.Body
	if len(responseBody) > 0 {
		body, packed = responseBody, response.Body
		if !response.Compressed {
			packed = delta.Encode(nil, body)
		}
	}
	r.distribution.WriteConfiguration(env, response.ConfigName, response.Version, body)
	committed := message.ConfigurationCommitted{ConfigName: response.ConfigName, Version: response.Version, Body: packed}
	for _, peer := range r.core.Peers() {
		env.Send(peer.Address, committed)
	}
}
