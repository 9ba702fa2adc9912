package backend

import "sync"

// call is one call of an upstream under way.
type call struct {
	attemptID  string
	connection *upstreamConnection // nil until there is one
	cancelled  bool
}

// callRegistry keeps the calls under way, so that one may be cancelled whose caller has left.
type callRegistry struct {
	lock   sync.Mutex
	active map[string]*call // by attempt
}

func newCallRegistry() *callRegistry { return &callRegistry{active: map[string]*call{}} }

// begin notes a call that may be cancelled from now on.
func (r *callRegistry) begin(attemptID string) *call {
	r.lock.Lock()
	defer r.lock.Unlock()
	underway := &call{attemptID: attemptID}
	r.active[attemptID] = underway
	return underway
}

// attach gives a call its connection. It returns false where the call was cancelled before.
func (r *callRegistry) attach(underway *call, connection *upstreamConnection) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	underway.connection = connection
	return !underway.cancelled
}

// end reports whether the call was cancelled. From now on it can't be.
func (r *callRegistry) end(underway *call) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.active, underway.attemptID)
	return underway.cancelled
}

// cancel closes the connection of a call, at which most upstreams drop the request. An attempt
// that isn't under way is passed over.
func (r *callRegistry) cancel(attemptID string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	underway, known := r.active[attemptID]
	if !known {
		return
	}
	underway.cancelled = true
	if underway.connection != nil {
		underway.connection.close()
	}
}
