package distribution

import (
	"slices"
	"strings"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// handleResponse takes what a parent sends: the answer to a request, or a push.
func (d *Distribution) handleResponse(env *statemachine.Env, response message.UpdatesResponse) {
	if response.Parent != d.parent.name {
		d.handleLateResponse(env, response)
		return
	}
	sentAt, isAnswer := d.requests.pending[response.Round]
	if response.Refused {
		if isAnswer {
			d.handleRefusal(env, response)
		}
		return
	}
	if slices.Contains(response.RelayPath, d.membership.Self().Name) {
		d.leaveParent(env, leftForLoop, d.settings.ReparentAfter())
		d.nextRequestAt = env.Now
		return
	}
	if isAnswer {
		if d.rejectParent(env, response, sentAt) {
			return
		}
		d.acceptAnswer(env, response)
	}
	for _, item := range response.Items {
		d.resolveMissing(item.Position)
		d.apply(env, item, sentAt, isAnswer)
	}
}

// handleLateResponse takes what a parent before this one sends: whole contents and changes, but no
// parts, since the next part would be requested from the present parent.
func (d *Distribution) handleLateResponse(env *statemachine.Env, response message.UpdatesResponse) {
	request, isAnswer := d.requests.abandoned[response.Round]
	isAnswer = isAnswer && request.parent == response.Parent
	if response.Refused {
		return
	}
	if isAnswer {
		delete(d.requests.abandoned, response.Round)
		d.selection.unanswered = 0
	}
	for _, item := range response.Items {
		if !item.Snapshot || isComplete(item) {
			d.apply(env, item, request.sentAt, isAnswer)
		}
	}
}

// handleRefusal leaves a parent that refuses. One without the lease names the member that has it.
func (d *Distribution) handleRefusal(env *statemachine.Env, response message.UpdatesResponse) {
	switch response.Reason {
	case message.RefusedNoLease:
		d.dropParent(env.Now, d.settings.UpdatesEvery()*refusedIntervals)
		d.followReferral(env.Now, response)
	case message.RefusedNoPath:
		d.dropParent(env.Now, d.settings.UpdatesEvery()*refusedIntervals)
	default:
		d.dropParent(env.Now, d.settings.ReparentAfter()*backOffReparents)
	}
	d.nextRequestAt = env.Now
}

// followReferral takes the first member that a refusal names as the parent.
func (d *Distribution) followReferral(now time.Duration, response message.UpdatesResponse) {
	if len(response.Alternatives) == 0 {
		return
	}
	member, found := d.membership.Find(response.Alternatives[0])
	if !found || member.State > message.Suspect || member.Name == response.Parent {
		return
	}
	d.selection.readmit(member.Name)
	d.joinParent(now, member, d.parent.lastResort)
}

// rejectParent leaves the parent for another where its answer shows that it is no good one, and
// reports whether it did. A parent that was joined as the last resort is kept.
func (d *Distribution) rejectParent(env *statemachine.Env, response message.UpdatesResponse, sentAt time.Duration) bool {
	if d.parent.lastResort {
		return false
	}
	backOff := d.settings.ReparentAfter() * backOffReparents
	// A member that was full, or can't be reached from here, is a good way to others; a stale one
	// makes every way from it stale.
	if slices.ContainsFunc(response.RelayPath, d.selection.isStale) {
		d.dropParent(env.Now, backOff)
		d.nextRequestAt = env.Now
		return true
	}
	if d.knowsLess(response.Items) {
		// As after a restart.
		d.leaveParent(env, leftForLag, d.settings.UpdatesEvery()*lagIntervals)
		return true
	}
	if !d.parent.answered() && d.noFresher(env.Now, sentAt, response.Items) {
		d.selection.ejectStale(d.parent.name, env.Now+backOff)
		d.dropParent(env.Now, backOff)
		d.nextRequestAt = env.Now
		return true
	}
	return false
}

// knowsLess reports whether the parent lacks a configuration that is known here, or has an older
// version.
func (d *Distribution) knowsLess(items []message.UpdateItem) bool {
	for _, item := range items {
		state, found := d.topics[item.Position.Topic]
		if !found || !state.known || !IsConfiguration(item.Position.Topic) {
			continue
		}
		if !item.HasContent || item.Position.Before(state.position()) {
			return true
		}
	}
	return false
}

// noFresher reports whether a new parent is as stale as the one that was left for it: it has no
// newer version of any configuration, and some configuration that is stale here is stale there too.
func (d *Distribution) noFresher(now, sentAt time.Duration, items []message.UpdateItem) bool {
	for _, item := range items {
		state, found := d.topics[item.Position.Topic]
		if found && IsConfiguration(item.Position.Topic) && state.position().Before(item.Position) {
			// However long ago that was known current.
			return false
		}
	}
	limit := d.settings.ReparentAfter()
	for _, item := range items {
		state, found := d.topics[item.Position.Topic]
		if !found || !IsConfiguration(item.Position.Topic) {
			continue
		}
		staleHere := state.freshAt == never || now-state.freshAt > limit
		staleThere := item.Age < 0 || now-sentAt+time.Duration(item.Age) > limit
		if staleHere && staleThere {
			return true
		}
	}
	return false
}

// acceptAnswer notes that the parent has answered, and its path.
func (d *Distribution) acceptAnswer(env *statemachine.Env, response message.UpdatesResponse) {
	d.parent.answeredAt = env.Now
	d.selection.unanswered = 0
	d.requests.acknowledge(response.Round)
	if !d.parent.answered() {
		env.Event("relay-joined", 0, 0, strings.Join(response.RelayPath, ">"))
		d.selection.leftStale = false
	}
	d.parent.path = response.RelayPath
}

// apply takes what a response says of a topic. Answers to requests tell the age; what is pushed, or
// comes in parts, does not.
func (d *Distribution) apply(env *statemachine.Env, item message.UpdateItem, sentAt time.Duration, isAnswer bool) {
	state := d.topic(item.Position.Topic)
	if !item.HasContent {
		return
	}
	if item.Snapshot && state.position().SameContent(item.Position) {
		state.mismatched = false
	}
	moved := d.applyContent(env, state, item)
	if isAnswer && item.Age >= 0 && state.known && !state.position().Before(item.Position) {
		if state.freshAt == never && !moved {
			d.onChange(env, item.Position.Topic)
		}
		state.freshAt = max(state.freshAt, sentAt-time.Duration(item.Age))
	}
	if moved {
		d.onChange(env, item.Position.Topic)
		d.push(env, item.Position.Topic)
	}
}

// applyContent applies the content of an item, and reports whether the topic moved on.
func (d *Distribution) applyContent(env *statemachine.Env, state *topicState, item message.UpdateItem) bool {
	sizeLimit := d.settings.Limits.Configuration
	switch {
	case item.Snapshot && state.needsSnapshot(item.Position):
		body, complete := d.receiveSnapshot(env, item)
		return complete && state.applySnapshot(item.Position, body, sizeLimit)
	case len(item.Patches) > 0 && state.slice == nil && state.known:
		return state.applyPatches(item.Patches, sizeLimit)
	case len(item.Changes) > 0 && state.slice != nil:
		return state.applyChanges(item.Changes)
	case isInitial(item.Position) && state.slice != nil && !state.known:
		// A slice that no registration has been written to yet is complete without any content.
		state.known = true
		return true
	}
	return false
}

// needsSnapshot reports whether a snapshot at a position is to be applied. A slice whose content
// differs at the same position is replaced; a configuration never is.
func (t *topicState) needsSnapshot(position message.Position) bool {
	if !t.known || t.position().Before(position) {
		return true
	}
	return t.slice != nil && !position.Before(t.position()) && !position.SameContent(t.position())
}

// isInitial reports whether a position is that of a slice without any change.
func isInitial(position message.Position) bool {
	return position.Seq == 0 && position.Epoch == 0 && position.Count == 0
}
