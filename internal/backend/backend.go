package backend

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// tokenBytes is the length of a delegation token, drawn at random.
const tokenBytes = 24

// never is a time before all others.
const never = time.Duration(-1 << 62)

// Decision is what is to be done with a forwarded request: start it at its upstream, or refuse it.
type Decision struct {
	Forward message.Forward
	Start   bool
	Code    errcode.Code // why it is refused
	Target  Target
	Window  int64 // of the usage report, in which it was counted as started
}

// Target is an upstream as it was registered when a request was started.
type Target struct {
	Key             string // service and instance
	Address         string
	Incarnation     int64
	DelegationToken string // of the request; "" where the target stands for connections only
}

// Delegation is the running request on whose behalf its upstream may call on.
type Delegation struct {
	Tenant  string
	Service string
	Key     string // the id of the attempt
}

// Authorizer checks a forwarded request against this serving proxy's own configurations.
type Authorizer func(forward message.Forward) errcode.Code

// upstream is one registration here.
type upstream struct {
	announcement Announcement
	announcedAt  time.Duration
	lastSeenAt   time.Duration // when it last gave a sign of life: an announcement or an answer
	broken       bool          // a connection to it broke, and no heartbeat has come since
	brokenAt     time.Duration

	running      map[string]runningRequest // by attempt
	lingering    []time.Duration           // until when slots count as taken by requests that may still run
	queue        []queuedRequest
	routeLatency map[string]time.Duration // by route: the usual time of a request here
	meanLatency  time.Duration            // of requests of any route
}

// Backend decides on the requests for the upstreams that announce themselves here.
type Backend struct {
	settings  settings.Settings
	authorize Authorizer
	newToken  func() string

	lock         sync.Mutex // of what follows
	upstreams    map[string]*upstream
	retired      map[string]time.Duration // instances whose names never come back, and since when
	delegations  map[string]Delegation    // by token
	draining     bool
	lastExpireAt time.Duration

	records         map[string]*attemptRecord
	recordOrder     []string // ids of attempts, oldest first
	recordsWithBody []string // ids of those whose outcomes still have their answers, oldest first

	retriesPausedUntil time.Duration
	retryShare         float64 // of retries among the starts of requests that may be repeated
}

// New makes a backend.
func New(cfg settings.Settings, authorize Authorizer) *Backend {
	return &Backend{
		settings:    cfg,
		authorize:   authorize,
		newToken:    randomToken,
		upstreams:   map[string]*upstream{},
		retired:     map[string]time.Duration{},
		delegations: map[string]Delegation{},
		records:     map[string]*attemptRecord{},
	}
}

// UseTokenSource replaces the source of delegation tokens, so that a simulated run draws the same
// ones each time.
func (b *Backend) UseTokenSource(newToken func() string) { b.newToken = newToken }

func randomToken() string {
	var token [tokenBytes]byte
	// Never fails: crypto/rand ends the program where the system has no randomness.
	_, _ = rand.Read(token[:])
	return hex.EncodeToString(token[:])
}

// LookupDelegation returns the running request that a token stands for.
func (b *Backend) LookupDelegation(token string) (Delegation, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	delegation, known := b.delegations[token]
	return delegation, known
}

// Running counts the requests that have started and those that wait for a slot.
func (b *Backend) Running() (running, queued int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, registered := range b.upstreams {
		running += len(registered.running)
		queued += len(registered.queue)
	}
	return running, queued
}

// Drain refuses all that has not started, from now on.
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

// sortedKeys returns the keys of the upstreams in a steady order, so that a simulated run decides
// the same each time.
func (b *Backend) sortedKeys() []string { return slices.Sorted(maps.Keys(b.upstreams)) }

// refusal is the decision to refuse a request.
func refusal(forward message.Forward, code errcode.Code) Decision {
	return Decision{Forward: forward, Code: code}
}

// upstreamKey names an upstream by service and instance.
func upstreamKey(service, instance string) string { return service + "/" + instance }
