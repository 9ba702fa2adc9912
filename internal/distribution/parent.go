package distribution

import (
	"fmt"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// Back-off times after a parent was left, in multiples of Settings.ReparentAfter or Settings.UpdatesEvery.
const (
	backOffReparents      = 2 // silent, unavailable, stale or full
	refusedIntervals      = 2 // temporarily unable to serve
	lagIntervals          = 3 // older configuration than this node's
	disconnectedIntervals = 3 // connection closed
)

// silentRequests is the minimum number of unanswered requests before a parent counts as silent.
const silentRequests = 3

// delayedTicks is the number of tick intervals without a tick after which this node counts as delayed
// itself.
const delayedTicks = 2

// Causes for leaving a parent, as written to the journal.
const (
	leftForLoop       = "loop"
	leftForLag        = "behind"
	leftForConnection = "connection broke"
)

// parentLink describes the current parent and the path from the root to it.
type parentLink struct {
	name       string // member name; empty without a parent
	address    string
	path       []string // members from the root to the parent; empty until the parent has answered
	lastResort bool     // all candidates were excluded; requests ask the parent not to refuse
	joinedAt   time.Duration
	answeredAt time.Duration // time of the last answer; joinedAt until the first one
	changes    int64         // how many times a failed parent was left
}

// exists reports whether there is a parent.
func (p *parentLink) exists() bool { return p.name != "" }

// answered reports whether the parent has answered a request since it was joined.
func (p *parentLink) answered() bool { return len(p.path) > 0 }

// root returns the first member on the path to the parent, or the parent itself while the path is
// unknown.
func (p *parentLink) root() string {
	if len(p.path) > 0 {
		return p.path[0]
	}
	return p.name
}

// pathTo returns the path from the root to a child of the parent.
func (p *parentLink) pathTo(child string) []string {
	return append(append([]string{}, p.path...), child)
}

// clear removes the parent. It keeps the number of changes.
func (p *parentLink) clear() { p.name, p.address, p.path = "", "", nil }

// parentHealth is the assessment of the parent before a request.
type parentHealth struct {
	silent       bool // it has not answered within its limit
	unavailable  bool // it is no longer an alive or suspected member at the same address
	topicOverdue bool // some topic has not been known to be current within its limit
	stale        bool // topicOverdue, and the parent has had longer than the stale grace
}

// cause returns the journal's description of an unhealthy parent.
func (h parentHealth) cause() string {
	return fmt.Sprintf("silent=%t gone=%t stale=%t", h.silent, h.unavailable, h.stale)
}

// Tick sends the next request when it is due, and changes the parent if it is silent, unavailable or
// stale. It must be called once per tick interval.
func (d *Distribution) Tick(env *statemachine.Env) {
	d.compensateOwnDelay(env.Now)
	d.subscribers.expire(env.Now, d.settings.ParentTimeout()*missedParentTimeouts)
	if d.membership.Self().Role == message.RoleConfigStore {
		return
	}
	d.selection.expire(env.Now)
	d.replaceLaggingParent(env)
	// A new parent that has not answered yet has a shorter limit, because it may have been dead before
	// it was chosen.
	unresponsive := d.parentUnresponsive(env.Now)
	if env.Now < d.nextRequestAt && !unresponsive {
		return
	}
	if d.parent.exists() {
		d.reviewParent(env, unresponsive)
	}
	if !d.parent.exists() {
		d.joinNextParent(env)
	}
	if d.parent.exists() {
		d.request(env)
	}
}

// HandleConnectionClosed leaves the parent immediately if the connection to it was closed, instead of waiting
// until it counts as silent.
func (d *Distribution) HandleConnectionClosed(env *statemachine.Env, address string) {
	if d.parent.exists() && d.parent.address == address {
		d.leaveParent(env, leftForConnection, d.settings.UpdatesEvery()*disconnectedIntervals)
		d.nextRequestAt = env.Now
	}
}

// compensateOwnDelay extends the parent's limit if this node's own ticks were delayed: the answer may
// already be in the receive queue.
func (d *Distribution) compensateOwnDelay(now time.Duration) {
	gap := now - d.lastTickAt
	d.lastTickAt = now
	if gap > d.settings.TickEvery()*delayedTicks {
		d.parent.answeredAt = min(d.parent.answeredAt+gap, now)
	}
}

// parentUnresponsive reports whether a new parent has not answered within firstAnswerLimit.
func (d *Distribution) parentUnresponsive(now time.Duration) bool {
	return d.parent.exists() && !d.parent.answered() && now-d.parent.answeredAt > d.selection.firstAnswerLimit()
}

// reviewParent records the health of the parent in the selection, and leaves the parent if it is
// silent, unavailable or stale.
func (d *Distribution) reviewParent(env *statemachine.Env, unresponsive bool) {
	health := d.parentHealth(env.Now, unresponsive)
	switch {
	case health.stale:
		d.selection.ejectStalePath(env.Now, d.parent.path)
	case !health.topicOverdue:
		d.selection.resetStaleGrace(env.Random)
	}
	if health.silent {
		d.selection.markSilent(env.Now, d.parent.name)
	}
	if health.silent && unresponsive {
		d.selection.unanswered++
	}
	if health.silent || health.unavailable || health.stale {
		d.leaveParent(env, health.cause(), d.settings.ReparentAfter()*backOffReparents)
	}
}

// parentHealth assesses the parent. It has no side effects.
func (d *Distribution) parentHealth(now time.Duration, unresponsive bool) parentHealth {
	limit, requests := d.settings.ParentTimeout(), silentRequests
	if unresponsive {
		limit, requests = d.selection.firstAnswerLimit(), 1
	}
	member, found := d.membership.Find(d.parent.name)
	overdue := d.topicOverdue(now)
	return parentHealth{
		silent:       now-d.parent.answeredAt > limit && len(d.requests.pending) >= requests,
		unavailable:  !found || member.State >= message.Dead || member.Address != d.parent.address,
		topicOverdue: overdue,
		stale:        overdue && now-d.parent.joinedAt > d.selection.staleGrace,
	}
}

// topicOverdue reports whether some required topic has not been known to be current for longer than a
// change of its source takes. After the source of a slice has failed, no node has fresher content until
// another source has taken over, so the takeover time is added for slices. For a topic that has never
// been current, the time since the parent was joined counts.
func (d *Distribution) topicOverdue(now time.Duration) bool {
	for _, topic := range d.requiredTopics() {
		limit := d.settings.ReparentAfter()
		if !IsConfiguration(topic) {
			limit += d.settings.LeaseTakeover()
		}
		since := d.topics[topic].freshAt
		if since == neverFresh {
			since = d.parent.joinedAt
		}
		if now-since > limit {
			return true
		}
	}
	return false
}

// joinNextParent joins the member that the selection returns, if there is one.
func (d *Distribution) joinNextParent(env *statemachine.Env) {
	d.parent.lastResort = false
	if selected, found := d.selection.selectParent(env.Random, d.membership); found {
		d.joinParent(env.Now, selected.member, selected.lastResort)
	}
}

// joinParent makes a member the parent and resets the request log.
func (d *Distribution) joinParent(now time.Duration, member message.Member, lastResort bool) {
	d.parent.name, d.parent.address = member.Name, member.Address
	d.parent.lastResort = lastResort
	d.parent.joinedAt, d.parent.answeredAt = now, now
	d.requests.reset(now, d.settings.ReparentAfter()*backOffReparents)
}

// leaveParent leaves a parent that failed: it ejects it from the candidates for the back-off time and
// counts a change of the parent.
func (d *Distribution) leaveParent(env *statemachine.Env, cause string, backOff time.Duration) {
	env.Event("relay-left", 0, 0, d.parent.name+": "+cause)
	d.selection.eject(d.parent.name, env.Now+backOff)
	d.selection.lastLeftRoot = d.parent.root()
	d.requests.abandon(d.parent.name)
	d.parent.clear()
	d.parent.changes++
}

// dropParent leaves a parent that refused this node or is no better than the one before. Unlike
// leaveParent it neither ejects the member nor counts a change.
func (d *Distribution) dropParent(now time.Duration, backOff time.Duration) {
	d.selection.exclude(d.parent.name, now+backOff)
	d.requests.abandon(d.parent.name)
	d.parent.clear()
}
