// Package checker checks the brief's list from the records of both ends: what callers
// asked and were told, what upstreams ran, what nodes had in force, what the platform
// was reported. It serves the real fleet and the simulator alike. Each check gives
// its violations and the worst figure seen; a run that never exercised what it was
// for is reported as empty.
package checker

import (
	"fmt"
	"hash/fnv"
	"sort"
	"time"
)

// Asked is one request as its caller saw it.
type Asked struct {
	ID         string        `json:"id"`
	Proxy      string        `json:"proxy"`
	Route      string        `json:"route"`
	Service    string        `json:"service"`
	Tenant     string        `json:"tenant"`
	Caller     string        `json:"caller"`
	Key        string        `json:"-"`
	Once       bool          `json:"once"`
	Intended   time.Duration `json:"intended"`
	Sent       time.Duration `json:"sent"`
	Done       time.Duration `json:"done"`
	Status     int           `json:"status"`
	Code       int           `json:"code"`
	Retry      bool          `json:"retry_after"`
	Connection bool          `json:"connection_error"` // no answer at all
	Body       string        `json:"body"`
	Mark       string        `json:"mark"` // the header by which an upstream marks its answer
}

// Ran is one run at an upstream.
type Ran struct {
	ID           string        `json:"id"`
	Service      string        `json:"service"`
	Instance     string        `json:"instance"`
	Address      string        `json:"address"`
	Path         string        `json:"path"`
	Tenant       string        `json:"tenant"`
	Caller       string        `json:"caller"`
	KeySeen      bool          `json:"key_seen"`
	At           time.Duration `json:"at"`
	Whole        time.Duration `json:"whole"` // when the answer was sent whole; 0: never
	Answer       string        `json:"answer"`
	Status       int           `json:"status"`
	Mark         string        `json:"mark"`
	Life         int64         `json:"incarnation"`
	ServingProxy string        `json:"serving_proxy"` // machine of the serving proxy proxy, where known
}

// Put is an acknowledged configuration: who it allows from then on.
type Write struct {
	ConfigName string
	Version    int64
	At         time.Duration
	Services   map[string]string // route to service
	Keys       map[string]string // key to tenant
	Digest     string            // of its bytes
}

// Digest names bytes in the record.
func Digest(body []byte) string {
	hash := fnv.New64a()
	hash.Write(body)
	return fmt.Sprintf("%x", hash.Sum64())
}

// Kept is a version as a voter gives it back at the end of the day.
type Kept struct {
	Voter      string
	ConfigName string
	Version    int64
	Digest     string
}

// Attempt is one try of a request that left a proxy towards a serving proxy; Again says that
// it was not the request's first.
type Attempt struct {
	Service string
	At      time.Duration
	Again   bool
}

// Force is a node taking a version into force.
type Force struct {
	Node       string
	ConfigName string
	Version    int64
	At         time.Duration
}

// Span is a stretch of time on a node or upstream.
type Span struct {
	Name string
	From time.Duration
	To   time.Duration
	Born time.Duration // when this life of the node began, before From after a cut
}

// Peak is the most that an upstream ran at one time, against its slots.
type Peak struct {
	Instance string
	Most     int
	Slots    int
}

// Leaving is an upstream that said it leaves.
type Leaving struct {
	Service  string
	Instance string
	Life     int64
	At       time.Duration
}

// Reported is a usage window as the collector got it.
type Reported struct {
	Window int64
	From   string
	Counts map[string]int64
	At     time.Duration
	End    time.Duration // end of the window on the same clock
}

// Keeping is one voter acting for a tag.
type Keeping struct {
	Tag   string
	Voter string
	Epoch int64
	At    time.Duration
}

// Record is all that a run left.
type Record struct {
	Asked      []Asked
	Ran        []Ran
	Writes     []Write
	Forced     []Force
	Up         []Span // nodes alive and connected to the core, by name
	Held       []Span // machines frozen or cut off, by name
	Peaks      []Peak // the most that ran at one time, by upstream
	Hurt       []Span // hard ends of machines and upstreams, by name
	Stopped    []Span // polite stops of proxies, from the signal to the exit
	Untold     []Span // stretches whose counts died with a proxy that was cut off
	Leaving    []Leaving
	Reported   []Reported
	Reread     []Reported // windows as the voters give them back
	Attempts   []Attempt
	Kept       []Kept
	ReadyAsked int // how often the platform asked a node whether it is ready
	KeptMost   int // how many versions a voter must keep
	End        time.Duration
	Keeping    []Keeping
	Acts       []Keeping     // changes made by a holder, with the epoch
	Window     time.Duration // length of a usage window; 0: counts are not checked
	Epoch      time.Duration // time of day at time 0
	Bounds     Bounds
}

// Bounds are the promises to hold the record against.
type Bounds struct {
	ConfigurationInForce time.Duration
	SlipBack             time.Duration
	KeyWithdrawal        time.Duration
	Drain                time.Duration
	AnswerHold           time.Duration
	HolderRest           time.Duration
	UsageLate            time.Duration
	UsageOff             float64
	RetryShare           float64
	RetryWindow          time.Duration
	RetryMore            int
}

// BriefBounds are the brief's numbers.
func BriefBounds(withdrawal bool) Bounds {
	bounds := Bounds{ConfigurationInForce: 2 * time.Second, SlipBack: 250 * time.Millisecond, Drain: 2 * time.Second, AnswerHold: 200 * time.Millisecond,
		HolderRest: 3 * time.Second, UsageLate: 10 * time.Second, UsageOff: 0.05, RetryShare: 0.2, RetryWindow: 10 * time.Second, RetryMore: 10}
	if withdrawal {
		bounds.KeyWithdrawal = 5 * time.Second
	}
	return bounds
}

// edge is how far from a window's end an answer may count on either side.
const edge = 80 * time.Millisecond

// Stretch loosens the bounds in time, for a smoke on a machine of unknown speed; what
// must never happen at all stays as it is.
func (b Bounds) Stretch(by float64) Bounds {
	for _, bound := range []*time.Duration{&b.ConfigurationInForce, &b.SlipBack, &b.KeyWithdrawal, &b.Drain, &b.AnswerHold, &b.UsageLate} {
		*bound = time.Duration(float64(*bound) * by)
	}
	b.UsageOff *= by
	return b
}

// Violation is a broken promise.
type Violation struct {
	Rule   string
	Detail string
}

// Review is the outcome on a run.
type Review struct {
	Violations []Violation
	Worst      map[string]float64
	Seen       map[string]int
}

func (r *Review) add(rule, format string, values ...any) {
	r.Violations = append(r.Violations, Violation{rule, fmt.Sprintf(format, values...)})
}

func (r *Review) worst(rule string, value float64) {
	if held, known := r.Worst[rule]; !known || value > held {
		r.Worst[rule] = value
	}
}

// Check holds a record against the list.
func Check(record Record) Review {
	review := Review{Worst: map[string]float64{}, Seen: map[string]int{}}
	runs := map[string][]Ran{}
	for _, ran := range record.Ran {
		runs[ran.ID] = append(runs[ran.ID], ran)
	}
	asked := map[string]Asked{}
	for _, request := range record.Asked {
		asked[request.ID] = request
	}
	review.requests(record, runs)
	review.runs(record, asked)
	review.configurations(record)
	review.keys(record)
	review.drains(record)
	review.retries(record, runs)
	review.dropped(record, runs)
	review.kept(record)
	review.Seen["asked whether ready"] = record.ReadyAsked
	review.usage(record)
	review.holders(record)
	review.stops(record)
	for _, peak := range record.Peaks {
		review.worst("slots-used", float64(peak.Most)/float64(peak.Slots))
		if peak.Most > peak.Slots {
			review.add("slots", "%s ran %d at one time, slots %d", peak.Instance, peak.Most, peak.Slots)
		}
	}
	review.acts(record)
	return review
}

func (r *Review) requests(record Record, runs map[string][]Ran) {
	for _, request := range record.Asked {
		mine := runs[request.ID]
		r.Seen["asked"]++
		if request.Once && len(mine) > 1 {
			r.add("once", "%s (%s) ran %d times", request.ID, request.Route, len(mine))
		}
		switch {
		case request.Connection:
			r.Seen["no answer"]++
		case request.Code != 0 && request.Status == 503:
			r.Seen["busy"]++
			if len(mine) > 0 {
				r.add("busy-ran", "%s was told busy (%d) and ran at %s", request.ID, request.Code, mine[0].Instance)
			}
			if !request.Retry {
				r.add("retry-after", "%s was told busy (%d) without Retry-After", request.ID, request.Code)
			}
		case request.Code == 0:
			r.Seen["answered"]++
			own := false
			held, excused := time.Duration(1<<62), false
			for _, ran := range mine {
				if ran.Answer == request.Body && ran.Status == request.Status && ran.Mark == request.Mark && ran.Whole > 0 {
					own = true
					held = min(held, request.Done-ran.Whole)
					excused = Within(record.Held, request.Proxy, ran.Whole, request.Done) || Within(record.Held, ran.ServingProxy, ran.Whole, request.Done)
				}
			}
			if !own {
				r.add("own-answer", "%s got status %d, mark %q and a body of %d bytes that no run of it sent", request.ID, request.Status, request.Mark, len(request.Body))
				continue
			}
			if excused {
				r.Seen["answers over a frozen or cut machine"]++
				continue
			}
			r.worst("answer-hold-ms", float64(held.Milliseconds()))
			if held > record.Bounds.AnswerHold {
				r.add("answer-hold", "%s was held for %s", request.ID, held)
			}
		default:
			r.Seen["refused or unknown"]++
			if request.Status >= 502 {
				r.Seen["unknown"]++
			}
		}
	}
}

// Within says that a machine has a span that touches a stretch of time.
func Within(spans []Span, machine string, from, to time.Duration) bool {
	for _, span := range spans {
		if span.Name == machine && span.From <= to && span.To >= from {
			return true
		}
	}
	return false
}

func (r *Review) runs(record Record, asked map[string]Asked) {
	allowed := map[string]bool{}
	for _, write := range record.Writes {
		for route, service := range write.Services {
			allowed[route+">"+service] = true
		}
	}
	for _, ran := range record.Ran {
		r.Seen["ran"]++
		request, known := asked[ran.ID]
		if !known {
			r.add("stray", "%s ran unknown request %q", ran.Instance, ran.ID)
			continue
		}
		if ran.Tenant != request.Tenant || ran.Caller != request.Caller {
			r.add("identity", "%s ran as tenant %q caller %q, want %q %q", ran.ID, ran.Tenant, ran.Caller, request.Tenant, request.Caller)
		}
		if ran.KeySeen {
			r.add("key-seen", "%s showed the key to %s", ran.ID, ran.Instance)
		}
		if ran.Service != request.Service || len(allowed) > 0 && !allowed[request.Route+">"+ran.Service] {
			r.add("landing", "%s for %s landed at %s %s", ran.ID, request.Service, ran.Service, ran.Address)
		}
	}
}

// configurations: in force in time on every node that was up and connected all the while,
// and never back to an older one.
func (r *Review) configurations(record Record) {
	for _, write := range record.Writes {
		for _, span := range record.Up {
			if span.From > write.At || span.To < write.At+record.Bounds.ConfigurationInForce {
				continue
			}
			at := time.Duration(-1)
			for _, force := range record.Forced {
				if force.Node == span.Name && force.ConfigName == write.ConfigName && force.Version >= write.Version && force.At >= span.Born && (at < 0 || force.At < at) {
					at = force.At
				}
			}
			r.Seen["configuration arrivals"]++
			if at < 0 || at > write.At+record.Bounds.ConfigurationInForce {
				r.add("configuration-late", "version %d acknowledged at %s is in force on %s at %s", write.Version, write.At, span.Name, at)
				continue
			}
			r.worst("configuration-in-force-ms", float64(max(0, at-write.At).Milliseconds()))
		}
	}
	newest := map[string]Force{}
	for _, force := range record.Forced {
		key := force.Node + "|" + force.ConfigName
		if last, known := newest[key]; known && force.Version < last.Version && force.At > last.At+record.Bounds.SlipBack {
			r.add("configuration-slip", "%s went from %d to %d", force.Node, last.Version, force.Version)
		} else if !known || force.Version >= last.Version {
			newest[key] = force
		}
	}
}

// kept: at the end of the day each voter gives back the very bytes of every version
// that was acknowledged, as far as it must keep them.
func (r *Review) kept(record Record) {
	type topicState struct{ voter, configName string }
	topicStates, lowest := map[topicState]map[int64]string{}, map[topicState]int64{}
	for _, kept := range record.Kept {
		r.Seen["versions read back"]++
		at := topicState{kept.Voter, kept.ConfigName}
		if topicStates[at] == nil {
			topicStates[at], lowest[at] = map[int64]string{}, kept.Version
		}
		topicStates[at][kept.Version], lowest[at] = kept.Digest, min(lowest[at], kept.Version)
	}
	for at, versions := range topicStates {
		for _, write := range record.Writes {
			digest, held := versions[write.Version]
			switch {
			case write.ConfigName != at.configName || !held && len(versions) >= record.KeptMost && write.Version < lowest[at]:
			case !held:
				r.add("configuration-lost", "%s %d was acknowledged, %s does not give it back", at.configName, write.Version, at.voter)
			case digest != write.Digest:
				r.add("configuration-lost", "%s %d comes back from %s with other bytes", at.configName, write.Version, at.voter)
			}
		}
	}
}

// dropped: whoever's request was answered whole by an upstream gets that answer, unless
// its proxy, its serving proxy or the upstream was ended hard, frozen or cut off meanwhile.
func (r *Review) dropped(record Record, runs map[string][]Ran) {
	for _, request := range record.Asked {
		if request.Code == 0 && !request.Connection {
			continue
		}
		for _, ran := range runs[request.ID] {
			if ran.Whole == 0 || request.Done > 0 && ran.Whole > request.Done-record.Bounds.AnswerHold/4 {
				continue
			}
			excused := false
			for _, name := range []string{request.Proxy, ran.ServingProxy, ran.Instance} {
				excused = excused || Within(record.Hurt, name, request.Sent, ran.Whole+record.Bounds.AnswerHold) ||
					Within(record.Held, name, request.Sent, ran.Whole+record.Bounds.AnswerHold)
			}
			if excused {
				r.Seen["answers lost with a machine"]++
				continue
			}
			r.add("dropped", "%s was answered whole by %s at %s and its caller got %d (%d), connection %t, at %s", request.ID, ran.Instance, ran.Whole, request.Status, request.Code, request.Connection, request.Done)
		}
	}
}

// keys: a withdrawn key is not honoured past its bound.
func (r *Review) keys(record Record) {
	if record.Bounds.KeyWithdrawal == 0 {
		return
	}
	withdrawn := map[string]time.Duration{}
	writes := append([]Write{}, record.Writes...)
	sort.Slice(writes, func(i, j int) bool { return writes[i].Version < writes[j].Version })
	for index := 1; index < len(writes); index++ {
		for key := range writes[index-1].Keys {
			if _, still := writes[index].Keys[key]; !still {
				withdrawn[key] = writes[index].At
			}
		}
		for key := range writes[index].Keys {
			delete(withdrawn, key)
		}
	}
	asked := map[string]Asked{}
	for _, request := range record.Asked {
		asked[request.ID] = request
	}
	for _, ran := range record.Ran {
		request := asked[ran.ID]
		at, gone := withdrawn[request.Key]
		if !gone || request.Key == "" {
			continue
		}
		r.Seen["withdrawn key runs"]++
		if late := request.Sent - at; late > record.Bounds.KeyWithdrawal {
			r.add("key-late", "%s ran with a key withdrawn %s before it was sent", ran.ID, late)
		} else if late > 0 {
			r.worst("key-withdrawal-ms", float64(late.Milliseconds()))
		}
	}
}

func (r *Review) drains(record Record) {
	for _, leaving := range record.Leaving {
		r.Seen["drains"]++
		for _, ran := range record.Ran {
			if ran.Service != leaving.Service || ran.Instance != leaving.Instance || ran.Life != leaving.Life || ran.At < leaving.At {
				continue
			}
			late := ran.At - leaving.At
			r.worst("drain-ms", float64(late.Milliseconds()))
			if late > record.Bounds.Drain {
				r.add("drain-late", "%s got %s %s after it said it leaves", leaving.Instance, ran.ID, late)
			}
		}
	}
}

// retries: tries past the first of a request, against the traffic of its service, in
// any span of the window: those that left a proxy, and those that ran.
func (r *Review) retries(record Record, runs map[string][]Ran) {
	type event struct {
		at    time.Duration
		again bool
	}
	events := map[string][]event{}
	for _, attempt := range record.Attempts {
		events["attempts at "+attempt.Service] = append(events["attempts at "+attempt.Service], event{attempt.At, attempt.Again})
		if attempt.Again {
			r.Seen["tries again"]++
		}
	}
	for _, list := range runs {
		sort.Slice(list, func(i, j int) bool { return list[i].At < list[j].At })
		for index, ran := range list {
			events[ran.Service] = append(events[ran.Service], event{ran.At, index > 0})
			if index > 0 {
				r.Seen["retries seen"]++
			}
		}
	}
	for service, list := range events {
		sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
		first, again, begin := 0, 0, 0
		for _, now := range list {
			if now.again {
				again++
			} else {
				first++
			}
			for now.at-list[begin].at > record.Bounds.RetryWindow {
				if list[begin].again {
					again--
				} else {
					first--
				}
				begin++
			}
			if float64(again) > record.Bounds.RetryShare*float64(first)+float64(record.Bounds.RetryMore) {
				r.add("retry-share", "%s: %d retries to %d first tries before %s", service, again, first, now.at)
				return
			}
			if first > 20 {
				r.worst("retry-share", float64(again)/float64(first))
			}
		}
	}
}

func (r *Review) usage(record Record) {
	values := map[int64]Reported{}
	for _, report := range record.Reported {
		r.Seen["usage reports"]++
		first, known := values[report.Window]
		if !known {
			values[report.Window] = report
			late := report.At - report.End
			r.worst("usage-late-ms", float64(late.Milliseconds()))
			if late > record.Bounds.UsageLate {
				r.add("usage-late", "window %d came %s after its end", report.Window, late)
			}
			continue
		}
		if fmt.Sprint(first.Counts) != fmt.Sprint(report.Counts) {
			r.add("usage-twice", "window %d was %v, then %v", report.Window, first.Counts, report.Counts)
		}
	}
	for _, reread := range record.Reread {
		r.Seen["windows read back"]++
		if first, known := values[reread.Window]; known && fmt.Sprint(first.Counts) != fmt.Sprint(reread.Counts) {
			r.add("usage-twice", "window %d was reported as %v, %s gives back %v", reread.Window, first.Counts, reread.From, reread.Counts)
		}
	}
	if record.Window == 0 {
		return
	}
	// An answer near a window's edge may count on either side, by clock and way.
	least, most := map[int64]map[string]int64{}, map[int64]map[string]int64{}
	add := func(counts map[int64]map[string]int64, window int64, tenant string) {
		if counts[window] == nil {
			counts[window] = map[string]int64{}
		}
		counts[window][tenant]++
	}
	for _, request := range record.Asked {
		if request.Code != 0 || request.Connection {
			continue
		}
		early := int64((record.Epoch + request.Done - edge) / record.Window)
		late := int64((record.Epoch + request.Done + edge) / record.Window)
		add(most, early, request.Tenant)
		if Within(record.Untold, request.Proxy, request.Done, request.Done) {
			continue
		}
		if early == late {
			add(least, early, request.Tenant)
		} else {
			add(most, late, request.Tenant)
		}
	}
	first, last := int64(1<<62), int64(0)
	for window := range values {
		first, last = min(first, window), max(last, window)
	}
	for window := range least {
		due := time.Duration(window+1)*record.Window - record.Epoch + record.Bounds.UsageLate
		if _, reported := values[window]; !reported && due <= record.End {
			r.add("usage-missing", "window %d had answers and was never reported", window)
		}
	}
	for window := first; window < last; window++ {
		if _, reported := values[window]; !reported {
			r.add("usage-missing", "window %d is a gap among those reported", window)
		}
	}
	for window, report := range values {
		r.usageOff(record, window, report.Counts, least[window], most[window])
	}
}

// tenantLeast is how many answers a tenant has in a window before its own share of
// error is looked at; below it one request would be too much.
const tenantLeast = 100

// usageOff sums what is off tenant by tenant, so that counts under a wrong tenant
// show twice, and looks at each busy tenant by itself.
func (r *Review) usageOff(record Record, window int64, counts, least, most map[string]int64) {
	tenants := map[string]bool{}
	for _, list := range []map[string]int64{counts, least, most} {
		for tenant := range list {
			tenants[tenant] = true
		}
	}
	off, all, worst := int64(0), int64(0), 0.0
	for tenant := range tenants {
		mine := max(0, least[tenant]-counts[tenant], counts[tenant]-most[tenant])
		off, all = off+mine, all+most[tenant]
		if most[tenant] >= tenantLeast {
			worst = max(worst, float64(mine)/float64(most[tenant]))
		}
	}
	if all == 0 && off == 0 {
		return
	}
	share := max(worst, float64(off)/float64(max(1, all)))
	r.worst("usage-off", share)
	if share > record.Bounds.UsageOff {
		r.add("usage-off", "window %d reported %v, callers saw %v to %v", window, counts, least, most)
	}
}

// stops: a polite stop drops no request that was sent before the signal.
func (r *Review) stops(record Record) {
	for _, stop := range record.Stopped {
		r.Seen["polite stops"]++
		for _, request := range record.Asked {
			if request.Proxy == stop.Name && request.Connection && request.Sent < stop.From && stop.From-request.Sent < 10*time.Second && request.Done == 0 {
				r.add("dropped", "%s, sent %s before %s was stopped, was never answered", request.ID, stop.From-request.Sent, stop.Name)
			}
		}
	}
}

// acts: once a holder of a higher epoch has acted, no lower one does.
func (r *Review) acts(record Record) {
	highest := map[string]int64{}
	for _, act := range record.Acts {
		r.Seen["holder acts"]++
		if act.Epoch < highest[act.Tag] {
			r.add("stale-act", "%s: %s acted in epoch %d after %d", act.Tag, act.Voter, act.Epoch, highest[act.Tag])
		}
		highest[act.Tag] = max(highest[act.Tag], act.Epoch)
	}
}

// holders: no voter gets a tag back from another within the rest, and no epoch has two.
func (r *Review) holders(record Record) {
	byTag := map[string][]Keeping{}
	for _, keeping := range record.Keeping {
		byTag[keeping.Tag] = append(byTag[keeping.Tag], keeping)
	}
	for tag, list := range byTag {
		sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
		owner := map[int64]string{}
		for index, keeping := range list {
			r.Seen["leases"]++
			if voter, known := owner[keeping.Epoch]; known && voter != keeping.Voter {
				r.add("two-holders", "%s epoch %d: %s and %s", tag, keeping.Epoch, voter, keeping.Voter)
			}
			owner[keeping.Epoch] = keeping.Voter
			if index == 0 || list[index-1].Voter == keeping.Voter {
				continue
			}
			r.Seen["takeovers"]++
			for back := index - 2; back >= 0; back-- {
				if list[back].Voter == keeping.Voter && keeping.At-list[back+1].At < record.Bounds.HolderRest {
					r.add("back-and-forth", "%s: %s, %s, %s within %s", tag, keeping.Voter, list[back+1].Voter, keeping.Voter, keeping.At-list[back+1].At)
				}
				if list[back].Voter != list[back+1].Voter {
					break
				}
			}
		}
	}
}
