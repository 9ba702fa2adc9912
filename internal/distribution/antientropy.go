package distribution

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// missingIntervals is the number of update intervals the parent has to deliver a version that
// registries have reported. This is enough for at least one request to the parent and for a change to
// propagate down the tree.
const missingIntervals = 2

// missingVersion is the position of a configuration version that a registry has and this node lacks.
// Registries answer each heartbeat of a proxy whose configuration is older with the newer position. A
// parent that does not deliver the version in time is left for the registry that reported it.
//
// Ages alone do not detect this case soon enough: below a root that is partitioned from the
// configstore, the age starts to grow only after the lost lease has expired, and then has to exceed its
// limit. This may take longer than a configuration is allowed to take until it is in force.
type missingVersion struct {
	position        message.Position
	reportedBy      string        // the last registry that reported it, among those that answer requests
	firstReportedAt time.Duration // when the topic was first reported as behind
}

// HandleNewerPositions processes the configuration positions that a registry has returned because they
// are newer than those in this node's heartbeat.
func (d *Distribution) HandleNewerPositions(env *statemachine.Env, registry string, positions []message.Position) {
	for _, position := range positions {
		state, found := d.topics[position.Topic]
		if !found || !d.subscribed[position.Topic] || !state.position().Before(position) || d.selection.isSilent(registry) {
			continue
		}
		d.selection.reinstate(registry)
		missing, reported := d.missing[position.Topic]
		if !reported {
			d.missing[position.Topic] = missingVersion{position: position, reportedBy: registry, firstReportedAt: env.Now}
			continue
		}
		// The older position and its time are kept: consecutive versions must not delay leaving the
		// parent.
		missing.reportedBy = registry
		d.missing[position.Topic] = missing
	}
}

// NewerThan returns this node's positions of those configurations of which it has a newer version than
// the node with the given positions.
func (d *Distribution) NewerThan(positions []message.Position) []message.Position {
	newer := []message.Position{}
	for _, position := range positions {
		state, found := d.topics[position.Topic]
		if found && state.hasContent && IsConfiguration(position.Topic) && position.Before(state.position()) {
			newer = append(newer, state.position())
		}
	}
	return newer
}

// resolveMissing drops a missing version that the parent has, given the parent's position. The parent
// will deliver the content, so there is no reason to leave it for a registry.
func (d *Distribution) resolveMissing(position message.Position) {
	if missing, reported := d.missing[position.Topic]; reported && !position.Before(missing.position) {
		delete(d.missing, position.Topic)
	}
}

// missingLimit returns how long the parent has to deliver a version that registries have reported.
func (d *Distribution) missingLimit() time.Duration {
	return d.settings.UpdatesEvery() * missingIntervals
}

// replaceLaggingParent joins the registry that reported a newer version, if the parent has not
// delivered it within missingLimit.
func (d *Distribution) replaceLaggingParent(env *statemachine.Env) {
	for _, topic := range d.topicNames() {
		missing, reported := d.missing[topic]
		if !reported {
			continue
		}
		if !d.topics[topic].position().Before(missing.position) {
			delete(d.missing, topic)
			continue
		}
		if env.Now-missing.firstReportedAt < d.missingLimit() || d.parent.name == missing.reportedBy {
			continue
		}
		delete(d.missing, topic)
		d.joinReporter(env, missing.reportedBy)
		return
	}
}

// joinReporter joins the member that reported a newer version. It joins as the last resort, so that the
// member does not refuse.
func (d *Distribution) joinReporter(env *statemachine.Env, reporter string) {
	member, found := d.membership.Find(reporter)
	if !found || member.State > message.Suspect {
		return
	}
	if d.parent.exists() {
		d.leaveParent(env, "lacks what "+reporter+" has", d.settings.ReparentAfter()*backOffReparents)
	}
	d.joinParent(env.Now, member, true)
	d.nextRequestAt = env.Now
}
