package distribution

import (
	"slices"
	"strings"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// handleResponse processes an answer to a request or a push. Messages of an earlier parent go to
// handleLateResponse.
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

// handleLateResponse processes a response of an earlier parent. It applies complete snapshots,
// differences and changes, but no chunks, because the next chunk would be requested from the current
// parent.
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

// handleRefusal leaves a parent that refused a request. If it refused because it does not have the
// lease, the response names the lease holder, which is joined instead.
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

// followReferral joins the first alternative of a refusal, if it is alive or suspected.
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

// rejectParent leaves the parent if its answer shows that it is unsuitable, and reports whether it did.
// A parent that was joined as the last resort is always kept.
func (d *Distribution) rejectParent(env *statemachine.Env, response message.UpdatesResponse, sentAt time.Duration) bool {
	if d.parent.lastResort {
		return false
	}
	backOff := d.settings.ReparentAfter() * backOffReparents
	// Only stale members disqualify a path. A member that was full, or is unreachable from this node,
	// is still a valid relay for others.
	if slices.ContainsFunc(response.RelayPath, d.selection.isStale) {
		d.dropParent(env.Now, backOff)
		d.nextRequestAt = env.Now
		return true
	}
	if d.lacksKnownConfiguration(response.Items) {
		// A parent that has just restarted may have lost its content.
		d.leaveParent(env, leftForLag, d.settings.UpdatesEvery()*lagIntervals)
		return true
	}
	if !d.parent.answered() && d.equallyStale(env.Now, sentAt, response.Items) {
		d.selection.ejectStale(d.parent.name, env.Now+backOff)
		d.dropParent(env.Now, backOff)
		d.nextRequestAt = env.Now
		return true
	}
	return false
}

// lacksKnownConfiguration reports whether the parent lacks a configuration that this node has, or has
// an older version of it.
func (d *Distribution) lacksKnownConfiguration(items []message.UpdateItem) bool {
	for _, item := range items {
		state, found := d.topics[item.Position.Topic]
		if !found || !state.hasContent || !IsConfiguration(item.Position.Topic) {
			continue
		}
		if !item.HasContent || item.Position.Before(state.position()) {
			return true
		}
	}
	return false
}

// equallyStale reports whether a new parent is no improvement on the stale one before: it has no newer
// version of any configuration, and some configuration that is stale on this node is stale on the
// parent too.
func (d *Distribution) equallyStale(now, sentAt time.Duration, items []message.UpdateItem) bool {
	for _, item := range items {
		state, found := d.topics[item.Position.Topic]
		if found && IsConfiguration(item.Position.Topic) && state.position().Before(item.Position) {
			// A newer version is an improvement regardless of its age.
			return false
		}
	}
	limit := d.settings.ReparentAfter()
	for _, item := range items {
		state, found := d.topics[item.Position.Topic]
		if !found || !IsConfiguration(item.Position.Topic) {
			continue
		}
		staleHere := state.freshAt == neverFresh || now-state.freshAt > limit
		staleThere := item.Age < 0 || now-sentAt+time.Duration(item.Age) > limit
		if staleHere && staleThere {
			return true
		}
	}
	return false
}

// acceptAnswer records the answer of the parent and its path.
func (d *Distribution) acceptAnswer(env *statemachine.Env, response message.UpdatesResponse) {
	d.parent.answeredAt = env.Now
	d.selection.unanswered = 0
	d.requests.acknowledge(response.Round)
	if !d.parent.answered() {
		env.Event("relay-joined", 0, 0, strings.Join(response.RelayPath, ">"))
		d.selection.leftStaleParent = false
	}
	d.parent.path = response.RelayPath
}

// apply applies one item of a response. Only answers to requests update the age; pushes and chunks do
// not contain one.
func (d *Distribution) apply(env *statemachine.Env, item message.UpdateItem, sentAt time.Duration, isAnswer bool) {
	state := d.topic(item.Position.Topic)
	if !item.HasContent {
		return
	}
	if item.Snapshot && state.position().SameContent(item.Position) {
		state.mismatched = false
	}
	advanced := d.applyContent(env, state, item)
	if isAnswer && item.Age >= 0 && state.hasContent && !state.position().Before(item.Position) {
		if state.freshAt == neverFresh && !advanced {
			d.onChange(env, item.Position.Topic)
		}
		state.freshAt = max(state.freshAt, sentAt-time.Duration(item.Age))
	}
	if advanced {
		d.onChange(env, item.Position.Topic)
		d.push(env, item.Position.Topic)
	}
}

// applyContent applies the content of an item and reports whether the topic changed.
func (d *Distribution) applyContent(env *statemachine.Env, state *topicState, item message.UpdateItem) bool {
	sizeLimit := d.settings.Limits.Configuration
	switch {
	case item.Snapshot && state.needsSnapshot(item.Position):
		body, complete := d.receiveSnapshot(env, item)
		return complete && state.applySnapshot(item.Position, body, sizeLimit)
	case len(item.Patches) > 0 && state.slice == nil && state.hasContent:
		return state.applyPatches(item.Patches, sizeLimit)
	case len(item.Changes) > 0 && state.slice != nil:
		return state.applyChanges(item.Changes)
	case isInitial(item.Position) && state.slice != nil && !state.hasContent:
		// The slice has no registrations at its source either, so it is complete without any content.
		state.hasContent = true
		return true
	}
	return false
}

// needsSnapshot reports whether a snapshot at a position must be applied. A slice is also replaced if
// its content differs at the same position; a configuration is not.
func (t *topicState) needsSnapshot(position message.Position) bool {
	if !t.hasContent || t.position().Before(position) {
		return true
	}
	return t.slice != nil && !position.Before(t.position()) && !position.SameContent(t.position())
}

// isInitial reports whether a position is that of a slice that has never been changed.
func isInitial(position message.Position) bool {
	return position.Seq == 0 && position.Epoch == 0 && position.Count == 0
}
