// Package foyer is the caller's side of traffic. This file decides, under one short
// lock and with the time given: who asks (gate), which upstream gets the query
// (choose), and what a verdict means for the caller (judge). The stages that run
// these decisions, and the HTTP and wires around them, are in stages.go.
//
// A query that has begun at an upstream is never begun again on a once-only route
// unless its home said that it had not started. "Busy" answers are given only where
// nothing ran.
package foyer

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"beaconvane/internal/blocking"
	"beaconvane/internal/greenroom"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/usher"
)

// Names under which a caller shows its tenant's key.
const (
	KeyHeader = "X-Api-Key"
	KeyParam  = "api_key"
)

// Query is one caller's query on its way.
type Query struct {
	ID       string
	Method   string
	RawPath  string
	RawQuery string
	Header   http.Header
	Host     string
	Body     []byte
	Came     time.Duration // when its first byte was here
	Deadline time.Duration

	Path     string
	Name     string
	Service  string // the one that the route's split fell on
	Priority int64
	Sent     int64 // attempts that reached an upstream, or may have
	Layout   *blocking.Layout
	Route    blocking.Route
	Tenant   string
	Caller   string
	Tried    map[string]bool
	Attempts int
	Target   script.Registration
	Started  bool // some attempt may have started
	begun    bool // counted as open
}

// Final is the answer to the caller.
type Final struct {
	Code       notice.Code
	Status     int
	Headers    []script.HeaderLine
	Body       []byte
	RetryAfter time.Duration
}

// Refusal makes a final answer of a code; busy ones say when to come back.
func Refusal(code notice.Code) *Final {
	final := &Final{Code: code, Status: code.Status()}
	if final.Status == http.StatusServiceUnavailable {
		final.RetryAfter = time.Second
	}
	return final
}

// soon says when a busy answer's cause will most likely be over: news is some askings
// away, a slot is free after a part of a query's time.
func (f *Foyer) soon(final *Final) *Final {
	switch {
	case final.RetryAfter == 0 || !f.config.ByTarget() || final.Code == notice.QueryRouteClosed:
	case final.Code == notice.BusyNotReady || final.Code == notice.BusyStale:
		final.RetryAfter = f.config.NewsEvery() * 2
	default:
		final.RetryAfter = f.config.NewsEvery() * 3 / 2
	}
	return final
}

type peer struct {
	mine       int64
	mineThen   int64   // when the home told
	pace       float64 // logarithm of its time against the usual
	failing    float64 // share of attempts that ended without its whole answer, lately
	reported   int64
	slots      int64
	load       float64
	reportedAt time.Duration
	avoidUntil time.Duration
	readySince time.Duration
	seen       bool
}

const budgetBuckets = 20

// looks is how many homes may turn a query away that no upstream has seen.
const looks = 4

const ownPrefix = "X-Beacon-"

type budget struct {
	bucket  [budgetBuckets + 1]int64
	firsts  [budgetBuckets + 1]int64
	retries [budgetBuckets + 1]int64
}

// Foyer holds the caller's side of one usher.
type Foyer struct {
	config  playbill.Config
	manner  Manner
	passOf  func(pass string) (greenroom.Pass, bool)
	lock    sync.Mutex
	view    *usher.View
	peers   map[string]*peer
	budgets map[string]*budget
	usual   map[string]float64 // by route: logarithm of the time that it takes
	usage   map[int64]map[string]int64
	open    map[string]int64 // by tenant: begun, not answered yet
	tallies map[notice.Code]int64
	again   int64
}

// New makes a foyer; passOf asks the greenroom of the same usher.
func New(config playbill.Config, passOf func(pass string) (greenroom.Pass, bool)) *Foyer {
	return &Foyer{config: config, manner: House{}, passOf: passOf, peers: map[string]*peer{}, budgets: map[string]*budget{}, usual: map[string]float64{}, usage: map[int64]map[string]int64{}, open: map[string]int64{}, tallies: map[notice.Code]int64{}}
}

// Speak sets the callers' manner; before it is used.
func (f *Foyer) Speak(manner Manner) { f.manner = manner }

// Show takes a new view of the control state.
func (f *Foyer) Show(now time.Duration, view *usher.View) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.view = view
	present := map[string]bool{}
	for _, list := range view.Upstreams {
		for _, registration := range list {
			key := peerKey(registration)
			present[key] = true
			held := f.peer(key)
			if registration.State == script.StateReady && !held.seen {
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

func peerKey(registration script.Registration) string {
	return registration.Key() + "/" + registration.Address
}

func (f *Foyer) peer(key string) *peer {
	held, known := f.peers[key]
	if !known {
		held = &peer{}
		f.peers[key] = held
	}
	return held
}

// Ready is the answer to the platform's question.
func (f *Foyer) Ready(now time.Duration) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.view.Ready(now, f.config.StaleReady())
}

// Here says that sheets and roster have been heard in this life.
func (f *Foyer) Here() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.view != nil && f.view.Known && f.view.RosterHere
}

// Patience is how long the read stage waits before the gate has said until when.
func (f *Foyer) Patience(query *Query) time.Duration {
	limit := f.config.QueryLimit()
	if wait := f.manner.Claims(query).Wait; wait > 0 {
		limit = min(limit, wait)
	}
	return limit
}

// Moment is how long a query may wait at a usher that has only just begun.
func (f *Foyer) Moment(query *Query) time.Duration {
	if f.config.ByTarget() {
		return min(f.config.NewsEvery()*4, f.Patience(query)/2)
	}
	return f.config.NewsEvery() * 2
}

// Gate decides who asks for what: key to tenant, caller, route, size.
func (f *Foyer) Gate(now time.Duration, wall time.Time, query *Query) *Final {
	f.lock.Lock()
	view := f.view
	f.lock.Unlock()
	if view == nil || !view.Known {
		return Refusal(notice.BusyNotReady)
	}
	if limit := f.config.StaleGate(); limit > 0 && now-view.FreshAt > limit {
		return Refusal(notice.BusyStale)
	}
	path, code := f.manner.Place(query)
	if code != notice.OK {
		return Refusal(code)
	}
	query.Path = path
	claims := f.manner.Claims(query)
	key := ""
	if len(claims.Keys) > 0 {
		key = claims.Keys[0]
	}
	if f.manner.Shown(query, claims.Keys, view.Layouts) {
		return Refusal(notice.QueryBadPath)
	}
	passed, byPass := greenroom.Pass{}, false
	if claims.Pass != "" {
		if passed, byPass = f.passOf(claims.Pass); !byPass {
			return Refusal(notice.QueryPassInvalid)
		}
	}
	known, open, anyRoute := byPass, false, false
	for _, layout := range view.Layouts {
		route, found := layout.Find(query.Host, query.Method, path)
		_, held := layout.Tenant(key)
		anyRoute = anyRoute || found
		open = open || found && (route.Open || query.Host != "" && layout.Keyless())
		known = known || held
	}
	switch {
	case byPass || open || known:
	case key == "":
		return Refusal(notice.QueryNoKey)
	default:
		return Refusal(notice.QueryKeyUnknown)
	}
	if !anyRoute {
		return Refusal(notice.QueryNoRoute)
	}
	for _, layout := range view.Layouts {
		route, found := layout.Find(query.Host, query.Method, path)
		if !found {
			continue
		}
		tenant, held := layout.Tenant(key)
		claimed := claims.Caller
		if byPass {
			// A pass is worth what its tenant's keys are: nothing once all are withdrawn.
			tenant, claimed, held = passed.Tenant, passed.Service, layout.Honours(passed.Tenant)
		}
		if f.config.Service != "" {
			claimed = f.config.Service
		}
		if !held && !route.Open && !(route.Host != "" && layout.Keyless()) || !route.Allows(tenant, claimed) {
			return Refusal(notice.QueryCallerRefused)
		}
		if route.Calendar != nil && !route.Calendar.Open(wall) {
			final := Refusal(notice.QueryRouteClosed)
			final.RetryAfter = route.Calendar.NextOpen(wall)
			return final
		}
		if route.BodyCap > 0 && int64(len(query.Body)) > route.BodyCap {
			return Refusal(notice.QueryTooLarge)
		}
		query.Layout, query.Route, query.Tenant, query.Caller, query.Name = layout, route, tenant, claimed, claims.Name
		query.Priority = layout.Priority(tenant, route)
		query.Deadline = min(query.Deadline, now+route.Limit)
		if claims.Wait > 0 {
			query.Deadline = min(query.Deadline, query.Came+claims.Wait)
		}
		query.Tried = map[string]bool{}
		f.manner.Scrub(query, claims.Keys, view.Layouts)
		f.begin(query)
		return nil
	}
	return Refusal(notice.QueryNoRoute)
}

func (f *Foyer) bucketOf(now time.Duration, held *budget) int {
	number := int64(now / (f.config.RetryWindow() / budgetBuckets))
	slot := int(number % (budgetBuckets + 1))
	if held.bucket[slot] != number {
		held.bucket[slot], held.firsts[slot], held.retries[slot] = number, 0, 0
	}
	return slot
}

func (f *Foyer) budget(service string) *budget {
	held, known := f.budgets[service]
	if !known {
		held = &budget{}
		f.budgets[service] = held
	}
	return held
}

// begin counts a query that has passed the gate as open, for the usage report.
func (f *Foyer) begin(query *Query) {
	if f.config.CountsBegun() {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	query.begun = true
	f.open[query.Tenant]++
}

// first counts a first try that leaves this usher; what is refused here, for want of
// any upstream, pays for no retries.
func (f *Foyer) first(now time.Duration, service string) {
	held := f.budget(service)
	held.firsts[f.bucketOf(now, held)]++
}

// mayRetry spends from the service's budget: a share of the first tries of the last
// window and this usher's part of the fleet's allowance.
func (f *Foyer) mayRetry(now time.Duration, service string) bool {
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
	// ushers that restart in turn would refill it for the fleet.
	allowance := 0.0
	if now >= f.config.RetryWindow() {
		allowance = float64(f.config.Bounds.RetryAllowance) / float64(max(1, f.view.Ushers))
	}
	if float64(retries+1) > f.config.Bounds.RetryShare*float64(firsts)*0.9+allowance {
		return false
	}
	held.retries[slot]++
	f.again++
	return true
}

// Choose picks the upstream for the next attempt.
func (f *Foyer) Choose(now time.Duration, query *Query, dice *rand.Rand) *Final {
	f.lock.Lock()
	defer f.lock.Unlock()
	if now >= query.Deadline {
		return f.giveUp(query, notice.BusyDeadline)
	}
	near, far := []script.Registration{}, []script.Registration{}
	known := 0
	if query.Service == "" {
		query.Service = query.Route.Pick(dice.Float64())
	}
	for _, registration := range f.view.Upstreams[query.Service] {
		if registration.State != script.StateReady {
			continue
		}
		known++
		held := f.peer(peerKey(registration))
		if query.Tried[peerKey(registration)] || now < held.avoidUntil {
			continue
		}
		if registration.District == f.config.District {
			near = append(near, registration)
		} else {
			far = append(far, registration)
		}
	}
	if len(near)+len(far) == 0 {
		if known > 0 {
			return f.giveUp(query, notice.BusySlotsFull)
		}
		return f.giveUp(query, notice.BusyNoUpstream)
	}
	chosen, cost := f.cheapest(now, near, dice)
	if other, otherCost := f.cheapest(now, far, dice); otherCost < cost {
		chosen = other
	}
	query.Target = chosen
	query.Tried[peerKey(chosen)] = true
	if query.Attempts++; query.Attempts == 1 {
		f.first(now, query.Service)
	}
	f.peer(peerKey(chosen)).mine++
	return nil
}

func (f *Foyer) giveUp(query *Query, code notice.Code) *Final {
	if query.Started {
		return Refusal(notice.UnknownOutcome)
	}
	return Refusal(code)
}

// Judge takes a verdict: a final answer, or nil to choose again.
func (f *Foyer) Judge(now time.Duration, query *Query, verdict script.Verdict) *Final {
	f.lock.Lock()
	defer f.lock.Unlock()
	code := notice.Code(verdict.Code)
	if verdict.Sent || verdict.Kind != script.NotStarted {
		query.Sent++
	}
	held := f.peer(peerKey(query.Target))
	held.mine = max(0, held.mine-1)
	if verdict.Slots > 0 {
		held.reported, held.slots, held.load, held.reportedAt, held.mineThen = verdict.Outstanding, verdict.Slots, verdict.Load, now, held.mine
	}
	if verdict.Kind != script.NotStarted {
		held.learnFailure(verdict.Kind != script.StartedWhole)
	}
	switch verdict.Kind {
	case script.StartedWhole:
		f.learnPace(held, query.Route.Name, time.Duration(verdict.Took))
		return &Final{Code: notice.OK, Status: int(verdict.Status), Headers: notOwn(verdict.Headers), Body: verdict.Body}
	case script.NotStarted:
		f.learn(now, held, query, code)
		if now >= query.Deadline || code == notice.BusyDeadline {
			return f.giveUp(query, notice.BusyDeadline)
		}
		if code.Status() != http.StatusServiceUnavailable {
			return f.giveUp(query, code)
		}
	default:
		query.Started = true
		if query.Route.Once || now >= query.Deadline {
			if code == notice.OK {
				code = notice.UnknownOutcome
			}
			return Refusal(code)
		}
	}
	if query.Route.Attempts > 0 && query.Sent >= query.Route.Attempts {
		if verdict.Kind == script.NotStarted {
			return f.giveUp(query, code)
		}
		return Refusal(notice.UnknownOutcome)
	}
	if f.config.ByTarget() && query.Sent == 0 && query.Attempts < looks {
		// No upstream has seen it, so nothing is spent.
		return nil
	}
	if !f.mayRetry(now, query.Service) {
		if verdict.Kind == script.NotStarted {
			return f.giveUp(query, notice.BusyBudget)
		}
		return Refusal(notice.UnknownOutcome)
	}
	return nil
}

// notOwn leaves out what only the mesh may say: an upstream that sends a result code
// must not pass for the mesh.
func notOwn(headers []script.HeaderLine) []script.HeaderLine {
	return slices.DeleteFunc(slices.Clone(headers), func(line script.HeaderLine) bool {
		return strings.HasPrefix(http.CanonicalHeaderKey(line.Name), ownPrefix)
	})
}

// learn takes a home's refusal into the choice at once.
func (f *Foyer) learn(now time.Duration, held *peer, query *Query, code notice.Code) {
	switch code {
	case notice.BusySlotsFull, notice.BusyPendingFull, notice.BusyUnproven:
		held.avoidUntil = now + f.config.NewsEvery()/4
	case notice.BusyHomeLost:
		for _, list := range f.view.Upstreams {
			for _, registration := range list {
				if registration.HomeAddress == query.Target.HomeAddress {
					f.peer(peerKey(registration)).avoidUntil = now + f.config.NewsEvery()*2
				}
			}
		}
	case notice.BusyUpstreamGone, notice.BusyLeaving:
		held.avoidUntil = now + f.config.BeatEvery()*2
		held.seen = false
	case notice.BusyNotReady, notice.BusyLayoutDiffers:
		held.avoidUntil = now + f.config.NewsEvery()
	}
}

// Abandon says what a caller is told whose time is up while a query is out.
func (f *Foyer) Abandon(query *Query, carried bool, code notice.Code) *Final {
	f.lock.Lock()
	defer f.lock.Unlock()
	if carried {
		return Refusal(notice.UnknownTimeout)
	}
	return f.giveUp(query, code)
}

// Release takes back the count of an attempt whose verdict nobody waits for.
func (f *Foyer) Release(query *Query) {
	f.lock.Lock()
	defer f.lock.Unlock()
	held := f.peer(peerKey(query.Target))
	held.mine = max(0, held.mine-1)
}

// Carry makes the frame for the chosen home.
func (f *Foyer) Carry(now time.Duration, query *Query, self string, attempt string) script.Carry {
	carry := script.Carry{ID: query.ID + "." + attempt, Usher: self, HomeBirth: query.Target.HomeBirth, Sheet: query.Layout.Sheet,
		Version: query.Layout.Version, Route: query.Route.Name, Service: query.Service, Instance: query.Target.Instance,
		Incarnation: query.Target.Incarnation, Tenant: query.Tenant, Caller: query.Caller, Method: query.Method, Path: query.Path,
		RawQuery: query.RawQuery, Headers: []script.HeaderLine{}, Body: query.Body, AnswerCap: f.config.Limits.Answer,
		Host: query.Host, Name: query.Name, Priority: query.Priority, Once: query.Route.Once}
	remaining := query.Deadline - now
	if query.Route.Aim > 0 {
		carry.Aim = max(int64(query.Came+query.Route.Aim-now), 1)
	}
	carry.Remaining = int64(remaining - min(remaining/20, f.config.NewsEvery()/10))
	names := make([]string, 0, len(query.Header))
	for name := range query.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range query.Header[name] {
			carry.Headers = append(carry.Headers, script.HeaderLine{Name: name, Value: value})
		}
	}
	if carry.Body == nil {
		carry.Body = []byte{}
	}
	return carry
}

// Allowed is the home's check of a carried query against its own layouts.
func (f *Foyer) Allowed(carry script.Carry) notice.Code {
	f.lock.Lock()
	view := f.view
	f.lock.Unlock()
	if view == nil || !view.Known {
		return notice.BusyNotReady
	}
	for _, layout := range view.Layouts {
		if layout.Sheet != carry.Sheet {
			continue
		}
		if f.config.ByTarget() && layout.Version <= carry.Version {
			// The sheet that let it in is no older than this one.
			return notice.OK
		}
		if route, found := layout.Find(carry.Host, carry.Method, carry.Path); found && route.Leads(carry.Service) && route.Allows(carry.Tenant, carry.Caller) &&
			(route.Open || layout.Honours(carry.Tenant) || route.Host != "" && layout.Keyless()) {
			return notice.OK
		}
	}
	return notice.BusyLayoutDiffers
}

// Began counts a query that its home has begun, where the usage is of those; Unbegun
// takes it back when the upstream says that it did not run.
func (f *Foyer) Began(wall time.Duration, tenant string) (window int64) {
	window = int64(wall / f.config.UsageWindow())
	f.tally(window, tenant, 1)
	return window
}

// Unbegun takes a count back.
func (f *Foyer) Unbegun(window int64, tenant string) { f.tally(window, tenant, -1) }

func (f *Foyer) tally(window int64, tenant string, count int64) {
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
func (f *Foyer) Count(wall time.Duration, query *Query, final *Final) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.tallies[final.Code]++
	if query.begun && !f.config.CountsBegun() {
		query.begun = false
		if f.open[query.Tenant]--; f.open[query.Tenant] == 0 {
			delete(f.open, query.Tenant)
		}
	}
	if final.Code != notice.OK || query.Tenant == "" || f.config.CountsBegun() {
		return
	}
	window := int64(wall / f.config.UsageWindow())
	if f.usage[window] == nil {
		f.usage[window] = map[string]int64{}
	}
	f.usage[window][query.Tenant]++
}

// Usage gives the windows not sealed yet; those below closed won't change any more.
func (f *Foyer) Usage(wall time.Duration, sealedBelow int64) (usage []script.UsageCount, closed int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	closed = int64(wall / f.config.UsageWindow())
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
		told := script.UsageCount{Window: window, Counts: copied, Open: map[string]int64{}}
		if window == closed {
			told.Open = maps.Clone(f.open)
		}
		usage = append(usage, told)
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].Window < usage[j].Window })
	return usage, closed
}

// Tallies gives the counters.
func (f *Foyer) Tallies() (map[string]int64, int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	tallies := map[string]int64{}
	for code, count := range f.tallies {
		tallies[code.String()] = count
	}
	return tallies, f.again
}
