package membership

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// join asks seeds, and a few known addresses, for the member list.
func (m *Membership) join(env *statemachine.Env) {
	m.joins++
	targets, wait := m.joinTargets(env)
	m.joinAt = env.Now + wait + time.Duration(env.Random.Int64N(int64(wait)/2+1))
	sent := map[string]bool{m.self.Address: true}
	for _, target := range targets {
		if sent[target] {
			continue
		}
		sent[target] = true
		env.Datagram(target, message.JoinRequest{From: m.self, Known: m.digest()})
	}
}

// joinTargets returns whom to ask for the member list, and how long to wait until the next time.
func (m *Membership) joinTargets(env *statemachine.Env) (targets []string, wait time.Duration) {
	wait = m.settings.JoinEvery()
	// A life begins with some requests close together: when many start at one moment, the first ones
	// find nobody up yet.
	early := wait / 8 << min(m.joins, 8)
	alive := m.Alive("")
	switch {
	case len(alive) > 0 && early < wait && m.self.Role == message.RoleProxy:
		// Lists cost its link more than they tell it now.
		return []string{m.randomSeed(env)}, early
	case len(alive) > 0 && early >= wait:
		wait *= 2
		return m.steadyTargets(env, alive), min(wait, early)
	}
	return append(slices.Clone(m.settings.Seeds), m.seen...), min(wait, early)
}

// steadyTargets returns one seed, one member that is alive, one of any state, and one address where a
// member was: a node that was away for long may have come back with settings whose seeds are all gone,
// so it can't find us, and is looked for where it was.
func (m *Membership) steadyTargets(env *statemachine.Env, alive []message.Member) []string {
	targets := []string{m.randomSeed(env), alive[env.Random.IntN(len(alive))].Address}
	if names := m.names(); len(names) > 0 {
		targets = append(targets, m.members[names[env.Random.IntN(len(names))]].member.Address)
	}
	if gone := append(slices.Clone(m.seen), slices.Sorted(maps.Values(m.away))...); len(gone) > 0 {
		targets = append(targets, gone[env.Random.IntN(len(gone))])
	}
	return targets
}

func (m *Membership) randomSeed(env *statemachine.Env) string {
	return m.settings.Seeds[env.Random.IntN(len(m.settings.Seeds))]
}
