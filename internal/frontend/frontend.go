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
	"maps"
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
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// Names under which a caller shows its tenant's key.
const (
	KeyHeader = "X-Api-Key"
	KeyParam  = "api_key"
)

// Request is one caller's request on its way.
type Request struct {
	ID       string
	Method   string
	RawPath  string
	RawQuery string
	Header   http.Header
	Host     string
	Body     []byte
	Came     time.Duration // when its first byte was here
	Deadline time.Duration

	Path          string
	Name          string
	Service       string // the one that the route's split fell on
	Priority      int64
	Sent          int64 // attempts that reached an upstream, or may have
	Configuration *routeconfig.Configuration
	Route         routeconfig.Route
	Tenant        string
	Caller        string
	Tried         map[string]bool
	Attempts      int
	Target        message.Registration
	chosenAt      time.Duration // when the target was
	Started       bool          // some attempt may have started
	begun         bool          // counted as open
}

// nested says that a running request's upstream makes this one. Refusing it, be it too
// late for its own aim, would waste the work of the running one.
func (r *Request) nested() bool {
	return r.Tenant == "" && r.Configuration != nil && !r.Configuration.Keyless()
}

// since is when the request's time began: with its first byte, where that is known.
func (r *Request) since(now time.Duration) time.Duration {
	if r.Came > 0 {
		return r.Came
	}
	return now
}

// Final is the answer to the caller.
type Final struct {
	Code       errcode.Code
	Status     int
	Headers    []message.HeaderLine
	Body       []byte
	RetryAfter time.Duration
}

// Refusal makes a final answer of a code; busy ones say when to come back.
func Refusal(code errcode.Code) *Final {
	final := &Final{Code: code, Status: code.Status()}
	if final.Status == http.StatusServiceUnavailable || final.Status == http.StatusRequestTimeout {
		final.RetryAfter = time.Second
	}
	return final
}

// soon says when a busy answer's cause will most likely be over: updates is some askings
// away, a slot is free after a part of a request's time.
func (f *Frontend) soon(final *Final) *Final {
	switch {
	case final.RetryAfter == 0 || !f.settings.ByTarget() || final.Code == errcode.RequestRouteClosed:
	case final.Code == errcode.BusyNotReady || final.Code == errcode.BusyStale:
		final.RetryAfter = f.settings.UpdatesEvery() * 2
	default:
		final.RetryAfter = f.settings.UpdatesEvery() * 3 / 2
	}
	return final
}

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

const budgetBuckets = 20

// looks is how many serving proxies may turn a request away that no upstream has seen.
const looks = 4

const ownPrefix = "X-Beacon-"

type budget struct {
	bucket  [budgetBuckets + 1]int64
	firsts  [budgetBuckets + 1]int64
	retries [budgetBuckets + 1]int64
}

// Frontend holds the caller's side of one proxy.
type Frontend struct {
	settings settings.Settings
	protocol Protocol
	passOf   func(pass string) (backend.Pass, bool)
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
func New(cfg settings.Settings, passOf func(pass string) (backend.Pass, bool)) *Frontend {
	return &Frontend{settings: cfg, protocol: Node{}, passOf: passOf, peers: map[string]*peer{}, budgets: map[string]*budget{}, usual: map[string]float64{}, usage: map[int64]map[string]int64{}, open: map[string]int64{}, tallies: map[errcode.Code]int64{}}
}

// UseProtocol sets the callers' manner; before it is used.
func (f *Frontend) UseProtocol(protocol Protocol) { f.protocol = protocol }

// Show takes a new snapshot of the control state.
func (f *Frontend) Show(now time.Duration, snapshot *proxy.Snapshot) {
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
	return f.snapshot.Ready(now, f.settings.StaleReady())
}

// Here says that configurations and roster have been heard in this life.
func (f *Frontend) Here() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.snapshot != nil && f.snapshot.Known && f.snapshot.RosterHere
}

// Patience is how long the read stage waits before the gate has said until when.
func (f *Frontend) Patience(request *Request) time.Duration {
	limit := f.settings.RequestLimit()
	if wait := f.protocol.Claims(request).Wait; wait > 0 {
		limit = min(limit, wait)
	}
	return limit
}

// Moment is how long a request may wait at a proxy that has only just begun.
func (f *Frontend) Moment(request *Request) time.Duration {
	if f.settings.ByTarget() {
		return min(f.settings.UpdatesEvery()*4, f.Patience(request)/2)
	}
	return f.settings.UpdatesEvery() * 2
}

// Admit decides who asks for what: key to tenant, caller, route, size.
func (f *Frontend) Admit(now time.Duration, wall time.Time, request *Request) *Final {
	f.lock.Lock()
	snapshot := f.snapshot
	f.lock.Unlock()
	if snapshot == nil || !snapshot.Known {
		return Refusal(errcode.BusyNotReady)
	}
	if limit := f.settings.StaleAdmit(); limit > 0 && now-snapshot.FreshAt > limit {
		return Refusal(errcode.BusyStale)
	}
	path, code := f.protocol.PathOf(request)
	if code != errcode.OK {
		return Refusal(code)
	}
	request.Path = path
	claims := f.protocol.Claims(request)
	key := ""
	if len(claims.Keys) > 0 {
		key = claims.Keys[0]
	}
	if f.protocol.ShowsKey(request, claims.Keys, snapshot.Configurations) {
		return Refusal(errcode.RequestBadPath)
	}
	passed, byPass := backend.Pass{}, false
	if claims.Pass != "" {
		if passed, byPass = f.passOf(claims.Pass); !byPass {
			return Refusal(errcode.RequestPassInvalid)
		}
	}
	known, open, anyRoute := byPass, false, false
	for _, configuration := range snapshot.Configurations {
		route, found := configuration.Find(request.Host, request.Method, path)
		_, held := configuration.Tenant(key)
		anyRoute = anyRoute || found
		open = open || found && (route.Open || request.Host != "" && configuration.Keyless())
		known = known || held
	}
	switch {
	case byPass || open || known:
	case key == "":
		return Refusal(errcode.RequestNoKey)
	default:
		return Refusal(errcode.RequestKeyUnknown)
	}
	if !anyRoute {
		return Refusal(errcode.RequestNoRoute)
	}
	for _, configuration := range snapshot.Configurations {
		route, found := configuration.Find(request.Host, request.Method, path)
		if !found {
			continue
		}
		tenant, held := configuration.Tenant(key)
		claimed := claims.Caller
		if byPass {
			// A pass is worth what its tenant's keys are: nothing once all are withdrawn.
			tenant, claimed, held = passed.Tenant, passed.Service, configuration.Honours(passed.Tenant)
		}
		if f.settings.Service != "" {
			claimed = f.settings.Service
		}
		if !held && !route.Open && !(route.Host != "" && configuration.Keyless()) || !route.Allows(tenant, claimed) {
			return Refusal(errcode.RequestCallerRefused)
		}
		if route.Calendar != nil && !route.Calendar.Open(wall) {
			final := Refusal(errcode.RequestRouteClosed)
			final.RetryAfter = route.Calendar.NextOpen(wall)
			return final
		}
		if route.BodyCap > 0 && int64(len(request.Body)) > route.BodyCap {
			return Refusal(errcode.RequestTooLarge)
		}
		request.Configuration, request.Route, request.Tenant, request.Caller, request.Name = configuration, route, tenant, claimed, claims.Name
		request.Priority = configuration.Priority(tenant, route)
		request.Deadline = min(request.Deadline, request.since(now)+route.Limit)
		if claims.Wait > 0 {
			request.Deadline = min(request.Deadline, request.Came+claims.Wait)
		}
		request.Tried = map[string]bool{}
		f.protocol.RemoveClaims(request, claims.Keys, snapshot.Configurations)
		f.begin(request)
		return nil
	}
	return Refusal(errcode.RequestNoRoute)
}

func (f *Frontend) bucketOf(now time.Duration, held *budget) int {
	number := int64(now / (f.settings.RetryWindow() / budgetBuckets))
	slot := int(number % (budgetBuckets + 1))
	if held.bucket[slot] != number {
		held.bucket[slot], held.firsts[slot], held.retries[slot] = number, 0, 0
	}
	return slot
}

func (f *Frontend) budget(service string) *budget {
	held, known := f.budgets[service]
	if !known {
		held = &budget{}
		f.budgets[service] = held
	}
	return held
}

// begin counts a request that has passed the gate as open, for the usage report.
func (f *Frontend) begin(request *Request) {
	if f.settings.CountsBegun() {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	request.begun = true
	f.open[request.Tenant]++
}

// first counts a first try that leaves this proxy; what is refused here, for want of
// any upstream, pays for no retries.
func (f *Frontend) first(now time.Duration, service string) {
	held := f.budget(service)
	held.firsts[f.bucketOf(now, held)]++
}

// Repeats is what the serving side of this proxy knows of repeats, and does about them.
type Repeats interface {
	// RepeatShare is the part that repeats have in what starts at the upstreams here.
	RepeatShare() float64
	// BarRepeats lets no repeat start at them until a time.
	BarRepeats(until time.Duration)
}

// RepeatsOf sets the serving side; before it is used.
func (f *Frontend) RepeatsOf(serving Repeats) { f.repeats = serving }

// paysFirst counts a request's first attempt. A call that a running repeat makes is itself
// a repeat at the service called, and draws on its budget; since calls don't say which run
// makes them, the share of repeats among those that start decides. Refusing calls when the
// budget is spent would mostly hit those of first runs; so repeats themselves don't start
// here for a while, which ends what they call.
func (f *Frontend) paysFirst(now time.Duration, request *Request, random *rand.Rand) bool {
	if request.nested() && f.repeats != nil {
		if share := f.repeats.RepeatShare(); share > 0 && random.Float64() < share {
			if f.mayRetry(now, request.Service) {
				return true
			}
			f.repeats.BarRepeats(now + f.settings.RetryWindow()/budgetBuckets)
			return false
		}
	}
	f.first(now, request.Service)
	return true
}

// mayRetry spends from the service's budget: a share of the first tries of the last
// window and this proxy's part of the fleet's allowance.
func (f *Frontend) mayRetry(now time.Duration, service string) bool {
	held := f.budget(service)
	slot := f.bucketOf(now, held)
	firsts, retries := int64(0), int64(0)
	for index := range held.bucket {
		age := held.bucket[slot] - held.bucket[index]
		if age <= budgetBuckets {
			retries += held.retries[index]
		}
		if age < budgetBuckets {
			firsts += held.firsts[index]
		}
	}
	// A life has its part of the allowance only once it is as old as the window, or
	// proxies that restart in turn would refill it for the fleet.
	allowance := 0.0
	if now >= f.settings.RetryWindow() {
		allowance = float64(f.settings.Bounds.RetryAllowance) / float64(max(1, f.snapshot.Proxies))
	}
	if float64(retries+1) > f.settings.Bounds.RetryShare*float64(firsts)*0.9+allowance {
		return false
	}
	held.retries[slot]++
	f.again++
	return true
}

// Choose picks the upstream for the next attempt.
func (f *Frontend) Choose(now time.Duration, request *Request, random *rand.Rand) *Final {
	f.lock.Lock()
	defer f.lock.Unlock()
	if now >= request.Deadline {
		return f.giveUp(request, errcode.BusyDeadline)
	}
	if request.Service == "" {
		request.Service = request.Route.Pick(random.Float64())
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

// Judge takes an outcome: a final answer, or nil to choose again.
func (f *Frontend) Judge(now time.Duration, request *Request, outcome message.Outcome) *Final {
	f.lock.Lock()
	defer f.lock.Unlock()
	code, ending := errcode.Code(outcome.Code), EndingOf(outcome)
	request.note(ending)
	held := f.peer(peerKey(request.Target))
	held.mine = max(0, held.mine-1)
	if outcome.Slots > 0 {
		held.reported, held.slots, held.load, held.reportedAt, held.mineThen = outcome.Outstanding, outcome.Slots, outcome.Load, now, held.mine
	}
	held.learnLag(now, now-request.chosenAt-time.Duration(outcome.Took))
	switch ending {
	case Answered:
		held.notFull()
		held.learnFailure(false)
		f.learnPace(held, request.Route.Name, time.Duration(outcome.Took))
		return &Final{Code: errcode.OK, Status: int(outcome.Status), Headers: notOwn(outcome.Headers), Body: outcome.Body}
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
	longest := min(shortest*time.Duration(max(1, f.snapshot.Proxies/proxiesPerRest)), f.settings.UpdatesEvery()*4)
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
func (f *Frontend) Abandon(request *Request, forwarded bool, code errcode.Code) *Final {
	f.lock.Lock()
	defer f.lock.Unlock()
	if forwarded {
		return Refusal(errcode.UnknownTimeout)
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
	forward := message.Forward{ID: request.ID + "." + attempt, Proxy: self, ServingProxyBirth: request.Target.ServingProxyBirth, ConfigName: request.Configuration.ConfigName,
		Version: request.Configuration.Version, Route: request.Route.Name, Service: request.Service, Instance: request.Target.Instance,
		Incarnation: request.Target.Incarnation, Tenant: request.Tenant, Caller: request.Caller, Method: request.Method, Path: request.Path,
		RawQuery: request.RawQuery, Headers: []message.HeaderLine{}, Body: request.Body, AnswerCap: f.settings.Limits.Answer,
		Host: request.Host, Name: request.Name, Priority: request.Priority, Once: request.Route.Once, Repeat: request.Sent > 0}
	remaining := request.Deadline - now
	if request.Route.Aim > 0 && !request.nested() {
		forward.Aim = max(int64(request.Came+request.Route.Aim-now), 1)
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

// Allowed is the serving proxy's check of a carried request against its own configurations.
func (f *Frontend) Allowed(forward message.Forward) errcode.Code {
	f.lock.Lock()
	snapshot := f.snapshot
	f.lock.Unlock()
	if snapshot == nil || !snapshot.Known {
		return errcode.BusyNotReady
	}
	for _, configuration := range snapshot.Configurations {
		if configuration.ConfigName != forward.ConfigName {
			continue
		}
		if f.settings.ByTarget() && configuration.Version <= forward.Version {
			// The configuration that let it in is no older than this one.
			return errcode.OK
		}
		if route, found := configuration.Find(forward.Host, forward.Method, forward.Path); found && route.Leads(forward.Service) && route.Allows(forward.Tenant, forward.Caller) &&
			(route.Open || configuration.Honours(forward.Tenant) || route.Host != "" && configuration.Keyless()) {
			return errcode.OK
		}
	}
	return errcode.BusyConfigurationDiffers
}

// Began counts a request that its serving proxy has begun, where the usage is of those; Unbegun
// takes it back when the upstream says that it did not run.
func (f *Frontend) Began(wall time.Duration, tenant string) (window int64) {
	window = int64(wall / f.settings.UsageWindow())
	f.tally(window, tenant, 1)
	return window
}

// Unbegun takes a count back.
func (f *Frontend) Unbegun(window int64, tenant string) { f.tally(window, tenant, -1) }

func (f *Frontend) tally(window int64, tenant string, count int64) {
	if tenant == "" {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.usage[window] == nil {
		f.usage[window] = map[string]int64{}
	}
	f.usage[window][tenant] += count
}

// Count notes a final answer: for the counters by code, and for the usage report when
// it is the upstream's own.
func (f *Frontend) Count(wall time.Duration, request *Request, final *Final) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.tallies[final.Code]++
	if request.begun && !f.settings.CountsBegun() {
		request.begun = false
		if f.open[request.Tenant]--; f.open[request.Tenant] == 0 {
			delete(f.open, request.Tenant)
		}
	}
	if final.Code != errcode.OK || request.Tenant == "" || f.settings.CountsBegun() {
		return
	}
	window := int64(wall / f.settings.UsageWindow())
	if f.usage[window] == nil {
		f.usage[window] = map[string]int64{}
	}
	f.usage[window][request.Tenant]++
}

// Usage gives the windows not sealed yet; those below closed won't change any more.
func (f *Frontend) Usage(wall time.Duration, sealedBelow int64) (usage []message.UsageCount, closed int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	closed = int64(wall / f.settings.UsageWindow())
	if len(f.open) > 0 && f.usage[closed] == nil {
		f.usage[closed] = map[string]int64{}
	}
	for window, counts := range f.usage {
		if window < sealedBelow || window < closed-720 {
			delete(f.usage, window)
			continue
		}
		copied := map[string]int64{}
		for tenant, count := range counts {
			copied[tenant] = count
		}
		response := message.UsageCount{Window: window, Counts: copied, Open: map[string]int64{}}
		if window == closed {
			response.Open = maps.Clone(f.open)
		}
		usage = append(usage, response)
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].Window < usage[j].Window })
	return usage, closed
}

// Tallies gives the counters.
func (f *Frontend) Tallies() (map[string]int64, int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	tallies := map[string]int64{}
	for code, count := range f.tallies {
		tallies[code.String()] = count
	}
	return tallies, f.again
}
