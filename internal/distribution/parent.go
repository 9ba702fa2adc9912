package distribution

import (
	"fmt"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// Back-off: how long a member is not asked again after it was left, in reparent times or in update
// intervals of the settings.
const (
	backOffReparents      = 2 // one that was silent, gone or stale, or had no room
	refusedIntervals      = 2 // one that could not serve for the moment
	lagIntervals          = 3 // one that knew less
	disconnectedIntervals = 3 // one whose connection ended
)

// silentRequests is how many requests must be unanswered before a parent counts as silent.
const silentRequests = 3

// delayedTicks is how many tick intervals may pass without a tick before a node counts as delayed.
const delayedTicks = 2

// Causes for which a parent is left, as the journal tells them.
const (
	leftForLoop       = "loop"
	leftForLag        = "behind"
	leftForConnection = "connection broke"
)

// parentLink is the edge of the tree from this node to its parent.
type parentLink struct {
	name       string // of the member; empty without a parent
	address    string
	path       []string // the members from the root to the parent; empty until it has answered
	lastResort bool     // no other member would do, so that the parent is asked not to refuse
	joinedAt   time.Duration
	answeredAt time.Duration // its last answer; joinedAt before the first
	changes    int64         // how often a parent was left
}

func (p *parentLink) exists() bool { return p.name != "" }

// answered reports whether the parent has answered a request since it was joined.
func (p *parentLink) answered() bool { return len(p.path) > 0 }

// root returns the first member on the path to the parent, or the parent where its path is not known.
func (p *parentLink) root() string {
	if len(p.path) > 0 {
		return p.path[0]
	}
	return p.name
}

// pathTo returns the path to a child of the parent.
func (p *parentLink) pathTo(child string) []string {
	return append(append([]string{}, p.path...), child)
}

func (p *parentLink) clear() { p.name, p.address, p.path = "", "", nil }

// parentHealth is what a node makes of its parent at the time of a request.
type parentHealth struct {
	silent bool // it has not answered for long
	gone   bool // its process has ended or left
	behind bool // some topic has not been known current for longer than it should
	stale  bool // behind for as long as other parents are given
}

func (h parentHealth) cause() string {
	return fmt.Sprintf("silent=%t gone=%t stale=%t", h.silent, h.gone, h.stale)
}

// Tick sends the request that is due, and moves to another parent where this one is silent, gone or
// stale.
func (d *Distribution) Tick(env *statemachine.Env) {
	d.excuseOwnDelay(env.Now)
	d.subscribers.expire(env.Now, d.settings.ParentTimeout()*missedParentLimits)
	if d.membership.Self().Role == message.RoleConfigStore {
		return
	}
	d.selection.expire(env.Now)
	d.leaveForNewer(env)
	// One that has never answered is given up sooner: it may have been dead before.
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

// HandleConnectionClosed leaves a parent whose process has ended, without waiting for its silence.
func (d *Distribution) HandleConnectionClosed(env *statemachine.Env, address string) {
	if d.parent.exists() && d.parent.address == address {
		d.leaveParent(env, leftForConnection, d.settings.UpdatesEvery()*disconnectedIntervals)
		d.nextRequestAt = env.Now
	}
}

// excuseOwnDelay gives the parent more time where this node itself was held up: the answer may have
// been waiting for it.
func (d *Distribution) excuseOwnDelay(now time.Duration) {
	gap := now - d.tickedAt
	d.tickedAt = now
	if gap > d.settings.TickEvery()*delayedTicks {
		d.parent.answeredAt = min(d.parent.answeredAt+gap, now)
	}
}

// parentUnresponsive reports whether a new parent has not answered within its limit.
func (d *Distribution) parentUnresponsive(now time.Duration) bool {
	return d.parent.exists() && !d.parent.answered() && now-d.parent.answeredAt > d.selection.firstAnswerLimit()
}

// reviewParent leaves the parent if its health says so.
func (d *Distribution) reviewParent(env *statemachine.Env, unresponsive bool) {
	health := d.parentHealth(env.Now, unresponsive)
	switch {
	case health.stale:
		d.selection.ejectStalePath(env.Now, d.parent.path)
	case !health.behind:
		d.selection.resetStaleGrace(env.Random)
	}
	if health.silent {
		d.selection.markSilent(env.Now, d.parent.name)
	}
	if health.silent && unresponsive {
		d.selection.unanswered++
	}
	if health.silent || health.gone || health.stale {
		d.leaveParent(env, health.cause(), d.settings.ReparentAfter()*backOffReparents)
	}
}

// parentHealth judges the parent. It changes nothing.
func (d *Distribution) parentHealth(now time.Duration, unresponsive bool) parentHealth {
	limit, requests := d.settings.ParentTimeout(), silentRequests
	if unresponsive {
		limit, requests = d.selection.firstAnswerLimit(), 1
	}
	member, found := d.membership.Find(d.parent.name)
	behind := d.behind(now)
	return parentHealth{
		silent: now-d.parent.answeredAt > limit && len(d.requests.pending) >= requests,
		gone:   !found || member.State >= message.Dead || member.Address != d.parent.address,
		behind: behind,
		stale:  behind && now-d.parent.joinedAt > d.selection.staleGrace,
	}
}

// behind reports whether some topic has not been known current for longer than a change of its
// source takes. A slice whose source died is nowhere fresher until another source has taken over.
// For what was never known current the time since the parent was joined counts.
func (d *Distribution) behind(now time.Duration) bool {
	for _, topic := range d.wanted() {
		limit := d.settings.ReparentAfter()
		if !IsConfiguration(topic) {
			limit += d.settings.LeaseTakeover()
		}
		since := d.topics[topic].freshAt
		if since == never {
			since = d.parent.joinedAt
		}
		if now-since > limit {
			return true
		}
	}
	return false
}

// joinNextParent takes the member that the selection offers, if it offers any.
func (d *Distribution) joinNextParent(env *statemachine.Env) {
	d.parent.lastResort = false
	if next, found := d.selection.next(env.Random, d.membership); found {
		d.joinParent(env.Now, next.member, next.lastResort)
	}
}

func (d *Distribution) joinParent(now time.Duration, member message.Member, lastResort bool) {
	d.parent.name, d.parent.address = member.Name, member.Address
	d.parent.lastResort = lastResort
	d.parent.joinedAt, d.parent.answeredAt = now, now
	d.requests.restart(now, d.settings.ReparentAfter()*backOffReparents)
}

// leaveParent leaves a parent that failed, which counts as a change of the parent.
func (d *Distribution) leaveParent(env *statemachine.Env, cause string, backOff time.Duration) {
	env.Event("relay-left", 0, 0, d.parent.name+": "+cause)
	d.selection.eject(d.parent.name, env.Now+backOff)
	d.selection.lastRoot = d.parent.root()
	d.requests.abandon(d.parent.name)
	d.parent.clear()
	d.parent.changes++
}

// dropParent leaves a parent that did not take this node, or that is no better than the last one.
func (d *Distribution) dropParent(now time.Duration, backOff time.Duration) {
	d.selection.exclude(d.parent.name, now+backOff)
	d.requests.abandon(d.parent.name)
	d.parent.clear()
}
