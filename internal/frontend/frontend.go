// Package frontend is the caller's side of traffic. This file decides, under one short
// lock and with the time given: who asks (gate), which upstream gets the request
// (choose), and what a outcome means for the caller (judge). The stages that run
// these decisions, and the HTTP and connections around them, are in stages.go.
//
// A request that has begun at an upstream is never begun again on a once-only route
// unless its serving proxy said that it had not started. "Busy" answers are given only where
// nothing ran.
package frontend

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
)

// Names under which a caller shows its tenant's key.
const (
	APIKeyHeader = "X-Api-Key"
	KeyParam     = "api_key"
)

type peer struct {
	mine       int64
	mineThen   int64   // when the serving proxy told
	pace       float64 // logarithm of its time against the usual
	failing    float64 // share of attempts that ended without its whole answer, lately
	reported   int64
	slots      int64
	load       float64
	reportedAt time.Duration
	avoidUntil time.Duration
	fullUntil  time.Duration // it is full: no request of a caller is sent to it
	fullTimes  int           // refusals in a row because it is full
	lag        time.Duration // of attempts besides the upstream's work, when it was seen last
	lagSeen    time.Duration
	readySince time.Duration
	seen       bool
}

// looks is how many serving proxies may turn a request away that no upstream has seen.
const looks = 4

const ownPrefix = "X-Beacon-"

// Frontend holds the caller's side of one proxy.
type Frontend struct {
	settings settings.Settings
	protocol Protocol
	passOf   func(pass string) (backend.Delegation, bool)
	lock     sync.Mutex
	snapshot *proxy.Snapshot
	peers    map[string]*peer
	budgets  map[string]*budget
	usual    map[string]float64 // by route: logarithm of the time that it takes
	usage    map[int64]map[string]int64
	open     map[string]int64 // by tenant: begun, not answered yet
	tallies  map[errcode.Code]int64
	again    int64
	limits   callerLimits
	repeats  Repeats
}

// New makes a frontend; passOf asks the backend of the same proxy.
func New(cfg settings.Settings, passOf func(pass string) (backend.Delegation, bool)) *Frontend {
	return &Frontend{settings: cfg, protocol: NativeProtocol{}, passOf: passOf, peers: map[string]*peer{}, budgets: map[string]*budget{}, usual: map[string]float64{}, usage: map[int64]map[string]int64{}, open: map[string]int64{}, tallies: map[errcode.Code]int64{}}
}

// UseProtocol sets the callers' manner; before it is used.
func (f *Frontend) UseProtocol(protocol Protocol) { f.protocol = protocol }

// UpdateSnapshot takes a new snapshot of the control state.
func (f *Frontend) UpdateSnapshot(now time.Duration, snapshot *proxy.Snapshot) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.snapshot = snapshot
	f.limits.take(now, snapshot.Configurations)
	present := map[string]bool{}
	for _, list := range snapshot.Upstreams {
		for _, registration := range list {
			key := peerKey(registration)
			present[key] = true
			held := f.peer(key)
			if registration.State == message.StateReady && !held.seen {
				held.seen, held.readySince = true, now
			}
		}
	}
	for key, held := range f.peers {
		if !present[key] && held.mine == 0 {
			delete(f.peers, key)
		}
	}
}

func peerKey(registration message.Registration) string {
	return registration.Key() + "/" + registration.Address
}

func (f *Frontend) peer(key string) *peer {
	held, known := f.peers[key]
	if !known {
		held = &peer{}
		f.peers[key] = held
	}
	return held
}

// Ready is the answer to the platform's question.
func (f *Frontend) Ready(now time.Duration) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.snapshot.Ready(now, f.settings.MaxAgeReady())
}

// Here says that configurations and roster have been heard in this life.
func (f *Frontend) Here() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.snapshot != nil && f.snapshot.ConfigurationsKnown && f.snapshot.RosterKnown
}

// SelectUpstream picks the upstream for the next attempt.
func (f *Frontend) SelectUpstream(now time.Duration, request *Request, random *rand.Rand) *Response {
	f.lock.Lock()
	defer f.lock.Unlock()
	if now >= request.Deadline {
		return f.giveUp(request, errcode.BusyDeadline)
	}
	if request.Service == "" {
		request.Service = request.Route.PickService(random.Float64())
	}
	near, far, known := f.candidates(now, request, false)
	if len(near)+len(far) == 0 && request.nested() {
		near, far, known = f.candidates(now, request, true)
	}
	if len(near)+len(far) == 0 {
		if known > 0 {
			return f.giveUp(request, errcode.BusySlotsFull)
		}
		return f.giveUp(request, errcode.BusyNoUpstream)
	}
	chosen, cost := f.cheapest(now, near, random)
	if other, otherCost := f.cheapest(now, far, random); otherCost < cost {
		chosen = other
	}
	if request.Attempts == 0 && !f.paysFirst(now, request, random) {
		return f.giveUp(request, errcode.BusyBudget)
	}
	request.Target = chosen
	request.Tried[peerKey(chosen)] = true
	request.Attempts++
	f.peer(peerKey(chosen)).mine++
	request.chosenAt = now
	return nil
}

// candidates lists the upstreams of a request's service that may be tried now, by
// whether they are in this zone, and counts those that are ready at all.
func (f *Frontend) candidates(now time.Duration, request *Request, evenFull bool) (near, far []message.Registration, known int) {
	for _, registration := range f.snapshot.Upstreams[request.Service] {
		if registration.State != message.StateReady {
			continue
		}
		known++
		held := f.peer(peerKey(registration))
		if request.Tried[peerKey(registration)] || now < held.avoidUntil || !evenFull && now < held.fullUntil {
			continue
		}
		if registration.Zone == f.settings.Zone {
			near = append(near, registration)
		} else {
			far = append(far, registration)
		}
	}
	return near, far, known
}

// EvaluateOutcome takes an outcome: a final answer, or nil to choose again.
func (f *Frontend) EvaluateOutcome(now time.Duration, request *Request, outcome message.Outcome) *Response {
	f.lock.Lock()
	defer f.lock.Unlock()
	code, ending := errcode.Code(outcome.Code), EndingOf(outcome)
	request.note(ending)
	held := f.peer(peerKey(request.Target))
	held.mine = max(0, held.mine-1)
	if outcome.Slots > 0 {
		held.reported, held.slots, held.load, held.reportedAt, held.mineThen = outcome.Outstanding, outcome.Slots, outcome.Load, now, held.mine
	}
	held.learnLag(now, now-request.chosenAt-time.Duration(outcome.ServiceTime))
	switch ending {
	case Answered:
		held.notFull()
		held.learnFailure(false)
		f.learnPace(held, request.Route.Name, time.Duration(outcome.ServiceTime))
		return &Response{Code: errcode.OK, Status: int(outcome.Status), Headers: notOwn(outcome.Headers), Body: outcome.Body}
	case Unsure:
		held.notFull()
		held.learnFailure(true)
	default:
		f.learn(now, held, request, code)
	}
	return f.afterAttempt(now, request, ending, code)
}

// notOwn leaves out what only the mesh may say: an upstream that sends a result code
// must not pass for the mesh.
func notOwn(headers []message.HeaderLine) []message.HeaderLine {
	return slices.DeleteFunc(slices.Clone(headers), func(line message.HeaderLine) bool {
		return strings.HasPrefix(http.CanonicalHeaderKey(line.Name), ownPrefix)
	})
}

// notFull notes that an upstream has begun a request.
func (held *peer) notFull() { held.fullTimes, held.fullUntil = 0, 0 }

// fullRest is how long an upstream that was full, so many times in a row, is left alone.
// Where many proxies ask the same upstreams each may ask more seldom, and their requests
// must not fill its proxy's link only to be refused.
func (f *Frontend) fullRest(times int) time.Duration {
	shortest := f.settings.UpdatesEvery() / 4
	longest := min(shortest*time.Duration(max(1, f.snapshot.ProxyCount/proxiesPerRest)), f.settings.UpdatesEvery()*4)
	return min(shortest<<min(times-1, fullDoublings), longest)
}

// How the rest of a full upstream grows: doubled so many times, and up to one shortest
// rest for so many proxies.
const (
	fullDoublings  = 4
	proxiesPerRest = 8
)

// learn takes a serving proxy's refusal into the choice at once.
func (f *Frontend) learn(now time.Duration, held *peer, request *Request, code errcode.Code) {
	switch code {
	case errcode.BusySlotsFull, errcode.BusyQueueFull:
		held.fullTimes++
		held.fullUntil = now + f.fullRest(held.fullTimes)
	case errcode.BusyUnproven:
		held.avoidUntil = now + f.settings.UpdatesEvery()/4
	case errcode.BusyServingProxyLost:
		for _, list := range f.snapshot.Upstreams {
			for _, registration := range list {
				if registration.ServingProxyAddress == request.Target.ServingProxyAddress {
					f.peer(peerKey(registration)).avoidUntil = now + f.settings.UpdatesEvery()*2
				}
			}
		}
	case errcode.BusyUpstreamGone, errcode.BusyLeaving:
		held.avoidUntil = now + f.settings.HeartbeatEvery()*2
		held.seen = false
	case errcode.BusyNotReady, errcode.BusyConfigurationDiffers:
		held.avoidUntil = now + f.settings.UpdatesEvery()
	}
}

// Abandon says what a caller is told whose time is up while a request is out.
func (f *Frontend) Abandon(request *Request, forwarded bool, code errcode.Code) *Response {
	f.lock.Lock()
	defer f.lock.Unlock()
	if forwarded {
		return NewRefusal(errcode.UnknownTimeout)
	}
	return f.giveUp(request, code)
}

// Release takes back the count of an attempt whose outcome nobody waits for.
func (f *Frontend) Release(request *Request) {
	f.lock.Lock()
	defer f.lock.Unlock()
	held := f.peer(peerKey(request.Target))
	held.mine = max(0, held.mine-1)
}

// Unanswered notes that an attempt was given up before an outcome of it was here.
func (f *Frontend) Unanswered(now time.Duration, request *Request) {
	f.lock.Lock()
	defer f.lock.Unlock()
	usual := time.Duration(0)
	if logarithm, known := f.usual[request.Route.Name]; known {
		usual = time.Duration(math.Exp(logarithm))
	}
	f.peer(peerKey(request.Target)).learnUnanswered(now, now-request.chosenAt-usual)
}

// Forward makes the frame for the chosen serving proxy.
func (f *Frontend) Forward(now time.Duration, request *Request, self string, attempt string) message.Forward {
	forward := message.Forward{ID: request.ID + "." + attempt, Proxy: self, ServingProxyStartTime: request.Target.ServingProxyStartTime, ConfigName: request.Configuration.ConfigName,
		Version: request.Configuration.Version, Route: request.Route.Name, Service: request.Service, Instance: request.Target.Instance,
		Incarnation: request.Target.Incarnation, Tenant: request.Tenant, Caller: request.Caller, Method: request.Method, Path: request.Path,
		RawQuery: request.RawQuery, Headers: []message.HeaderLine{}, Body: request.Body, MaxResponseBytes: f.settings.Limits.Answer,
		Host: request.Host, Name: request.Name, Priority: request.Priority, AtMostOnce: request.Route.AtMostOnce, Retried: request.Sent > 0}
	remaining := request.Deadline - now
	if request.Route.LatencyTarget > 0 && !request.nested() {
		forward.TargetRemaining = max(int64(request.ArrivedAt+request.Route.LatencyTarget-now), 1)
	}
	forward.Remaining = int64(remaining - min(remaining/20, f.settings.UpdatesEvery()/10))
	names := make([]string, 0, len(request.Header))
	for name := range request.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range request.Header[name] {
			forward.Headers = append(forward.Headers, message.HeaderLine{Name: name, Value: value})
		}
	}
	if forward.Body == nil {
		forward.Body = []byte{}
	}
	return forward
}
