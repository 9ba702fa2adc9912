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

// operatorRequests are the operators' reads and writes of configurations that were forwarded to the
// configstore and are not answered yet. A write without an answer is sent again with the same
// bytes, which the configstore answers alike. When its time is up the outcome is said to be
// unknown, never that it was refused.
type operatorRequests struct {
	settings     settings.Settings
	core         *quorum.ControlBase
	membership   *membership.Membership
	distribution *distribution.Distribution

	lastRequestID int64
	pending       map[int64]*pendingRequest
	holderHint    string // name of the configstore that was last said to hold the lease
}

// pendingRequest is a request that was forwarded: a write or a read.
type pendingRequest struct {
	replyTo  int64                 // request id of the question
	write    *message.WriteRequest // its body is packed
	body     []byte                // of the write, unpacked
	read     *message.ReadRequest
	deadline time.Duration

	nextSendAt time.Duration
	sentTo     string // address it was last sent to; "": send at once wherever the holder is
	undecided  int    // how many times it was sent without being told that nothing was done
}

func newOperatorRequests(cfg settings.Settings, core *quorum.ControlBase, members *membership.Membership,
	tree *distribution.Distribution) *operatorRequests {
	return &operatorRequests{
		settings:     cfg,
		core:         core,
		membership:   members,
		distribution: tree,
		pending:      map[int64]*pendingRequest{},
	}
}

// write forwards a write.
func (r *operatorRequests) write(env *statemachine.Env, replyTo int64, asked WriteConfiguration) {
	r.lastRequestID++
	packed := asked.CompressedBody
	if packed == nil {
		packed = delta.Encode(nil, asked.Body)
	}
	r.pending[r.lastRequestID] = &pendingRequest{
		replyTo:  replyTo,
		deadline: env.Now + r.settings.OperatorTimeout(len(asked.Body)),
		body:     asked.Body,
		write: &message.WriteRequest{
			RequestID:  r.lastRequestID,
			ConfigName: asked.ConfigName,
			Version:    asked.Version,
			Body:       packed,
			Compressed: true,
			Check:      asked.Check,
		},
	}
	r.tick(env)
}

// read forwards a read.
func (r *operatorRequests) read(env *statemachine.Env, replyTo int64, asked ReadConfiguration) {
	r.lastRequestID++
	r.pending[r.lastRequestID] = &pendingRequest{
		replyTo:  replyTo,
		deadline: env.Now + r.settings.OperatorTimeout(0),
		read: &message.ReadRequest{
			RequestID:  r.lastRequestID,
			ConfigName: asked.ConfigName,
			Version:    asked.Version,
			List:       asked.List,
		},
	}
	r.tick(env)
}

// tick sends the requests whose time has come and ends those whose time is up.
func (r *operatorRequests) tick(env *statemachine.Env) {
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

// timeoutAnswer is the answer when the time is up.
func (p *pendingRequest) timeoutAnswer() OperatorResponse {
	if p.write != nil && p.undecided > 0 {
		return answerCode(errcode.ConfigurationUnsure, "no answer in time")
	}
	return answerCode(errcode.ConfigurationNoHolder, "no holder in time")
}

func (r *operatorRequests) send(env *statemachine.Env, request *pendingRequest) {
	address, found := r.holderAddress(env)
	request.nextSendAt = env.Now + r.settings.UpdatesEvery()
	if !found {
		return
	}
	if request.sentTo == address {
		// Sent there already: give that holder time before asking the same again.
		request.nextSendAt = env.Now + r.settings.Lease()/2
	}
	request.sentTo = address
	if request.write != nil {
		request.undecided++
		env.Send(address, *request.write)
	} else {
		env.Send(address, *request.read)
	}
}

// holderAddress guesses which configstore holds the lease: the one that the last answer hinted at,
// else the one that the updates come from, else any.
func (r *operatorRequests) holderAddress(env *statemachine.Env) (string, bool) {
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

// configStores lists the living configstores, and only the voters among them if there are any.
func (r *operatorRequests) configStores() []message.Member {
	stores := r.membership.Alive(message.RoleConfigStore)
	voters := slices.DeleteFunc(slices.Clone(stores), func(store message.Member) bool { return store.Voter == "" })
	if len(voters) > 0 {
		return voters
	}
	return stores
}

// handle takes the answer of a configstore; false for any other message.
func (r *operatorRequests) handle(env *statemachine.Env, msg any) bool {
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
		// The configstore lost its lease midway; the same bytes settle it at the next holder.
		request.sentTo = ""
		request.nextSendAt = env.Now + r.settings.UpdatesEvery()
	default:
		delete(r.pending, response.RequestID)
		env.Reply(request.replyTo, r.conclude(env, request, response))
	}
	return true
}

// redirect has a request sent again, to the configstore that the one asked took for the holder.
func (r *operatorRequests) redirect(env *statemachine.Env, request *pendingRequest, response message.StoreResponse) {
	r.holderHint = response.Holder
	request.undecided--
	request.nextSendAt = env.Now + r.settings.UpdatesEvery()/2
	if response.Holder != "" && errcode.Code(response.Code) == errcode.ConfigurationNoHolder {
		request.sentTo = ""
	}
}

// conclude makes the answer of a final response, and takes the effects of a write that succeeded.
func (r *operatorRequests) conclude(env *statemachine.Env, request *pendingRequest,
	response message.StoreResponse) OperatorResponse {
	body, err := r.unpack(response)
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

func (r *operatorRequests) unpack(response message.StoreResponse) ([]byte, error) {
	if !response.Compressed {
		return response.Body, nil
	}
	return delta.Apply(nil, response.Body, r.settings.Limits.Configuration)
}

// readAnswer is the answer to a read that succeeded.
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

// publish passes a committed version on to the distribution tree and to the peers at once, whatever
// becomes of the configstore that committed it. The response has a body where another version
// than the written one is in force.
func (r *operatorRequests) publish(env *statemachine.Env, request *pendingRequest,
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
