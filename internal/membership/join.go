package membership

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	// firstJoinDivisor divides the join interval to give the wait after the first join request since
	// the process started. The wait doubles with each further request.
	firstJoinDivisor = 8
	// maxJoinDoublings is the maximum number of times that the wait doubles.
	maxJoinDoublings = 8
)

// SetSeeds replaces the seeds after a settings change. The list must not be empty.
func (m *Membership) SetSeeds(seeds []string) { m.settings.Seeds = slices.Clone(seeds) }

// AddKnownAddresses adds addresses of other nodes that an earlier process of this node stored.
func (m *Membership) AddKnownAddresses(addresses []string) {
	m.previousRunAddresses = append(m.previousRunAddresses, addresses...)
}

// KnownAddresses returns the addresses of other nodes to store for the next process of this node.
func (m *Membership) KnownAddresses() []string {
	list := []string{}
	for _, member := range m.Alive("") {
		list = append(list, member.Address)
	}
	if len(list) == 0 {
		return m.previousRunAddresses
	}
	for _, name := range slices.Sorted(maps.Keys(m.removedAddresses)) {
		list = append(list, m.removedAddresses[name])
	}
	return list
}

// join requests the member list from seeds and a few known addresses.
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

// joinTargets returns the addresses to request the member list from, and the wait until the next
// request. The first requests follow each other quickly: when many nodes start simultaneously, the
// first requests reach no running node.
func (m *Membership) joinTargets(env *statemachine.Env) (targets []string, wait time.Duration) {
	interval := m.settings.JoinEvery()
	initialWait := interval / firstJoinDivisor << min(m.joinAttempts, maxJoinDoublings)
	alive := m.Alive("")
	switch {
	case len(alive) > 0 && initialWait < interval && m.self.Role == message.RoleProxy:
		// Requesting complete lists from several nodes would load a proxy's link too much during
		// startup.
		return []string{m.randomSeed(env)}, initialWait
	case len(alive) > 0 && initialWait >= interval:
		return m.steadyTargets(env, alive), min(interval*2, initialWait)
	}
	return append(slices.Clone(m.settings.Seeds), m.previousRunAddresses...), min(interval, initialWait)
}

// steadyTargets returns the addresses of one seed, one alive member and one member of any state, and
// one previously known address. The last one serves a node that was disconnected for long and returned
// with settings whose seeds no longer exist: it cannot find this node, but may still have its old
// address.
func (m *Membership) steadyTargets(env *statemachine.Env, alive []message.Member) []string {
	targets := []string{m.randomSeed(env), alive[env.Random.IntN(len(alive))].Address}
	if names := m.names(); len(names) > 0 {
		targets = append(targets, m.members[names[env.Random.IntN(len(names))]].member.Address)
	}
	previousAddresses := append(slices.Clone(m.previousRunAddresses), slices.Sorted(maps.Values(m.removedAddresses))...)
	if len(previousAddresses) > 0 {
		targets = append(targets, previousAddresses[env.Random.IntN(len(previousAddresses))])
	}
	return targets
}

// randomSeed returns the address of a random seed.
func (m *Membership) randomSeed(env *statemachine.Env) string {
	return m.settings.Seeds[env.Random.IntN(len(m.settings.Seeds))]
}
