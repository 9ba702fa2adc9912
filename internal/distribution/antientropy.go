package distribution

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// missingIntervals is how many update intervals the parent has to bring a version that others told
// of. It is asked at least once in that time, and a change on its way down the tree arrives.
const missingIntervals = 2

// missingVersion is a position of a configuration that registries have and this node lacks. They
// answer each heartbeat of a proxy that has an older configuration with the newer position. A parent
// that goes on without it is left for the registry that told: below a root that is cut off from the
// configstore, the age of what it says tells of the cut only once the lost lease has run out and the
// age has passed its limit, which may be later than a configuration has to be in force.
type missingVersion struct {
	position   message.Position
	reportedBy string        // the member that told last, of those that answer requests
	since      time.Duration // when the position was first told of
}

// HandleNewerPositions takes the positions of configurations that a registry has and this node, by its
// heartbeat, has not.
func (d *Distribution) HandleNewerPositions(env *statemachine.Env, registry string, positions []message.Position) {
	for _, position := range positions {
		state, found := d.topics[position.Topic]
		if !found || !d.subscribed[position.Topic] || !state.position().Before(position) || d.selection.isSilent(registry) {
			continue
		}
		d.selection.reinstate(registry)
		missing, reported := d.missing[position.Topic]
		if !reported {
			d.missing[position.Topic] = missingVersion{position: position, reportedBy: registry, since: env.Now}
			continue
		}
		// The older position stays: a row of changes must not put the move off.
		missing.reportedBy = registry
		d.missing[position.Topic] = missing
	}
}

// NewerThan returns the positions of the configurations of which this node has a newer version than
// another node, given the positions of that one.
func (d *Distribution) NewerThan(positions []message.Position) []message.Position {
	newer := []message.Position{}
	for _, position := range positions {
		state, found := d.topics[position.Topic]
		if found && state.known && IsConfiguration(position.Topic) && position.Before(state.position()) {
			newer = append(newer, state.position())
		}
	}
	return newer
}

// resolveMissing takes a position that the parent has: it will bring the content, so that the node has
// no reason to leave it for a registry.
func (d *Distribution) resolveMissing(position message.Position) {
	if missing, reported := d.missing[position.Topic]; reported && !position.Before(missing.position) {
		delete(d.missing, position.Topic)
	}
}

// missingLimit is how long the parent has to bring a version that others told of.
func (d *Distribution) missingLimit() time.Duration {
	return d.settings.UpdatesEvery() * missingIntervals
}

// leaveForNewer moves to the registry that told of a newer version, where the parent has not brought
// it in time.
func (d *Distribution) leaveForNewer(env *statemachine.Env) {
	for _, topic := range d.topicNames() {
		missing, reported := d.missing[topic]
		if !reported {
			continue
		}
		if !d.topics[topic].position().Before(missing.position) {
			delete(d.missing, topic)
			continue
		}
		if env.Now-missing.since < d.missingLimit() || d.parent.name == missing.reportedBy {
			continue
		}
		delete(d.missing, topic)
		d.joinReporter(env, missing.reportedBy)
		return
	}
}

// joinReporter takes the member that told of a newer version as the parent, which may not refuse.
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
