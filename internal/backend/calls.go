package backend

import "beaconvane/internal/locking"

// call is a request that is being sent to an upstream or awaits its response. It is guarded by
// callRegistry.lock.
type call struct {
	attemptID  string
	connection *upstreamConnection // nil until it is attached
	cancelled  bool
}

// callRegistry tracks the active calls, so that a call can be cancelled after its caller disconnected.
type callRegistry struct {
	lock   locking.Mutex
	active map[string]*call // by attempt id
}

func newCallRegistry() *callRegistry { return &callRegistry{active: map[string]*call{}} }

// begin registers a call, which can be cancelled from now on.
func (r *callRegistry) begin(attemptID string) *call {
	r.lock.Lock()
	defer r.lock.Unlock()
	activeCall := &call{attemptID: attemptID}
	r.active[attemptID] = activeCall
	return activeCall
}

// attach sets the connection of a call. It returns false if the call has already been cancelled.
func (r *callRegistry) attach(activeCall *call, connection *upstreamConnection) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	activeCall.connection = connection
	return !activeCall.cancelled
}

// end removes a call, so that it can no longer be cancelled, and reports whether it was cancelled.
func (r *callRegistry) end(activeCall *call) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.active, activeCall.attemptID)
	return activeCall.cancelled
}

// cancel closes the connection of a call, on which most upstreams abort the request. It ignores an
// attempt that is not active.
func (r *callRegistry) cancel(attemptID string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	activeCall, known := r.active[attemptID]
	if !known {
		return
	}
	activeCall.cancelled = true
	if activeCall.connection != nil {
		activeCall.connection.close()
	}
}
