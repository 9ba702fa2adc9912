package membership

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	// firstJoinFraction divides the join interval: the wait between the first requests of a life starts
	// at that part and doubles with each request.
	firstJoinFraction = 8
	// maxJoinDoublings is how often that wait doubles.
	maxJoinDoublings = 8
)

// SetSeeds replaces the seeds, when the settings have changed.
func (m *Membership) SetSeeds(seeds []string) { m.settings.Seeds = slices.Clone(seeds) }

// AddKnownAddresses adds addresses of other nodes that were known in an earlier life.
func (m *Membership) AddKnownAddresses(addresses []string) {
	m.earlierAddresses = append(m.earlierAddresses, addresses...)
}

// KnownAddresses returns the addresses of other nodes that the next life should remember.
func (m *Membership) KnownAddresses() []string {
	list := []string{}
	for _, member := range m.Alive("") {
		list = append(list, member.Address)
	}
	if len(list) == 0 {
		return m.earlierAddresses
	}
	for _, name := range slices.Sorted(maps.Keys(m.forgottenAddresses)) {
		list = append(list, m.forgottenAddresses[name])
	}
	return list
}

// join asks seeds, and a few known addresses, for the member list.
func (m *Membership) join(env *statemachine.Env) {
	m.joinAttempts++
	targets, wait := m.joinTargets(env)
	m.nextJoinAt = env.Now + wait + time.Duration(env.Random.Int64N(int64(wait)/2+1))
	sent := map[string]bool{m.self.Address: true}
	for _, target := range targets {
		if sent[target] {
			continue
		}
		sent[target] = true
		env.Datagram(target, message.JoinRequest{From: m.self, MemberListDigest: m.digest()})
	}
}

// joinTargets returns whom to ask for the member list, and how long to wait until the next time. The
// first requests of a life follow close on each other: when many nodes start at one moment, the first
// requests find nobody up yet.
func (m *Membership) joinTargets(env *statemachine.Env) (targets []string, wait time.Duration) {
	interval := m.settings.JoinEvery()
	early := interval / firstJoinFraction << min(m.joinAttempts, maxJoinDoublings)
	alive := m.Alive("")
	switch {
	case len(alive) > 0 && early < interval && m.self.Role == message.RoleProxy:
		// Whole lists would load a proxy's link more than they are worth in its first moments.
		return []string{m.randomSeed(env)}, early
	case len(alive) > 0 && early >= interval:
		return m.steadyTargets(env, alive), min(interval*2, early)
	}
	return append(slices.Clone(m.settings.Seeds), m.earlierAddresses...), min(interval, early)
}

// steadyTargets returns one seed, one member that is alive, one of any state, and one address where a
// member was. The last is for a node that was away for long and came back with settings whose seeds
// are all gone: it can't find this node, but it may be where it was.
func (m *Membership) steadyTargets(env *statemachine.Env, alive []message.Member) []string {
	targets := []string{m.randomSeed(env), alive[env.Random.IntN(len(alive))].Address}
	if names := m.names(); len(names) > 0 {
		targets = append(targets, m.members[names[env.Random.IntN(len(names))]].member.Address)
	}
	former := append(slices.Clone(m.earlierAddresses), slices.Sorted(maps.Values(m.forgottenAddresses))...)
	if len(former) > 0 {
		targets = append(targets, former[env.Random.IntN(len(former))])
	}
	return targets
}

func (m *Membership) randomSeed(env *statemachine.Env) string {
	return m.settings.Seeds[env.Random.IntN(len(m.settings.Seeds))]
}
