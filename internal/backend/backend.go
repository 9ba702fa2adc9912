package backend

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/locking"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// tokenBytes is the length of a random delegation token, before its hexadecimal encoding.
const tokenBytes = 24

// distantPast is earlier than any clock reading. Subtracting it from a reading does not overflow.
const distantPast = time.Duration(-1 << 62)

// Decision tells whether a forwarded request is started at its upstream or refused.
type Decision struct {
	Forward message.Forward
	Start   bool
	Code    errcode.Code // reason of the refusal
	Target  Target
	Window  int64 // usage window in which the request was counted as started
}

// Target identifies the registration of an upstream for which a request was started.
type Target struct {
	Key             string // service and instance
	Address         string
	Incarnation     int64
	DelegationToken string // of the request; "" in a target that identifies connections
}

// Delegation identifies the running request on behalf of which its upstream may call other services.
type Delegation struct {
	Tenant  string
	Service string
	Key     string // id of the attempt
}

// Authorizer checks a forwarded request against the configurations of this serving proxy. It returns
// errcode.OK for an allowed request. It is called with Backend.lock held, so it must not take a lock.
type Authorizer func(forward message.Forward) errcode.Code

// upstream is the state of one registration at this proxy. It is guarded by Backend.lock.
type upstream struct {
	announcement Announcement
	announcedAt  time.Duration
	adoptedUntil time.Duration // end of an adopted registration; 0: the upstream has announced itself
	lastSeenAt   time.Duration // time of the last announcement or response
	broken       bool          // a connection was lost, and no heartbeat has arrived since
	brokenAt     time.Duration

	running      map[string]runningRequest // by attempt id
	lingering    []time.Duration           // expiry times of slots held for ended requests that may still run
	queue        []queuedRequest
	routeLatency map[string]time.Duration // moving average of the service time, by route
	meanLatency  time.Duration            // moving average over all routes
}

// Backend decides on requests to the upstreams that announce themselves to this proxy. Its methods may
// be called concurrently, except UseTokenSource.
type Backend struct {
	settings  settings.Settings
	authorize Authorizer
	newToken  func() string

	lock         locking.Mutex // guards the fields below
	upstreams    map[string]*upstream
	retired      map[string]time.Duration // time of retirement by instance; announcements of these instances are ignored
	replaced     map[string]replacement   // by key of the upstream that another one replaced at its address
	delegations  map[string]Delegation    // by delegation token
	draining     bool
	lastExpireAt time.Duration

	records         map[string]*attemptRecord
	recordOrder     []string // attempt ids, oldest first
	recordsWithBody []string // attempt ids whose outcomes still have a body, oldest first

	retriesPausedUntil time.Duration
	retryShare         float64 // moving average of the share of retries among the starts of repeatable requests
}

// New returns a Backend without registrations.
func New(cfg settings.Settings, authorize Authorizer) *Backend {
	return &Backend{
		settings:    cfg,
		authorize:   authorize,
		newToken:    randomToken,
		upstreams:   map[string]*upstream{},
		retired:     map[string]time.Duration{},
		replaced:    map[string]replacement{},
		delegations: map[string]Delegation{},
		records:     map[string]*attemptRecord{},
	}
}

// UseTokenSource replaces the generator of delegation tokens, so that simulated runs are reproducible.
// It must be called before the first request.
func (b *Backend) UseTokenSource(newToken func() string) { b.newToken = newToken }

func randomToken() string {
	var token [tokenBytes]byte
	// rand.Read returns no error: it terminates the program when the system provides no randomness.
	_, _ = rand.Read(token[:])
	return hex.EncodeToString(token[:])
}

// LookupDelegation returns the running request to which a delegation token was issued.
func (b *Backend) LookupDelegation(token string) (Delegation, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	delegation, known := b.delegations[token]
	return delegation, known
}

// Running returns the number of running requests and of requests queued for a slot.
func (b *Backend) Running() (running, queued int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, registered := range b.upstreams {
		running += len(registered.running)
		queued += len(registered.queue)
	}
	return running, queued
}

// Drain refuses all queued requests, and makes HandleForward refuse every request from now on.
func (b *Backend) Drain() []Decision {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.draining = true
	decisions := []Decision{}
	for _, key := range b.sortedKeys() {
		decisions = append(decisions, b.upstreams[key].refuseQueued(errcode.BusyLeaving)...)
	}
	return decisions
}

// sortedKeys returns the keys of the upstreams in a deterministic order, so that simulated runs are
// reproducible.
func (b *Backend) sortedKeys() []string { return slices.Sorted(maps.Keys(b.upstreams)) }

// refusal returns the decision to refuse a request with a code.
func refusal(forward message.Forward, code errcode.Code) Decision {
	return Decision{Forward: forward, Code: code}
}

// upstreamKey returns the key of an upstream in Backend.upstreams.
func upstreamKey(service, instance string) string { return service + "/" + instance }
