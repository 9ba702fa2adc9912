package distribution

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// Tiers of candidates: those of the lowest are asked first.
const (
	tierOwnRoots = iota
	tierOwnProxies
	tierOtherRoots
	tierOtherProxies
)

// Bounds of the waits that grow from parent to parent, and of those that a working parent resets.
const (
	constantAnswerLimits = 2 // parents in a row without an answer before the limit begins to grow
	staleGraceIntervals  = 2 // update intervals that a new parent has to bring fresh contents
	maxStaleGrace        = 4 // reparent times
)

// timeouts holds until when something applies to members, by name.
type timeouts map[string]time.Duration

func (t timeouts) expire(now time.Duration) {
	for name, until := range t {
		if now > until {
			delete(t, name)
		}
	}
}

// parentSelection chooses the parent that is asked next, from what was met with those before.
// It knows members by their names.
type parentSelection struct {
	settings settings.Settings

	excluded timeouts // no candidates for now, for whatever reason
	ejected  timeouts // excluded for a failure, not for lack of room
	stale    timeouts // ejected since what they know is old, which makes each path through them stale
	silent   timeouts // did not answer requests

	lastRoot   string // of the parent that was left last
	unanswered int    // parents in a row that never answered

	// leftStale is set from when a parent is left as stale until another has answered. The proxies of
	// this zone are then likely to be stale too.
	leftStale bool

	// staleGrace is how long a parent is kept before it can be left as stale. It grows with each that
	// is left so, for the fault may lie with the source itself.
	staleGrace time.Duration
}

// choice is the member to be asked next.
type choice struct {
	member     message.Member
	lastResort bool // it was excluded, as all are
}

// candidate is a member that may become the parent.
type candidate struct {
	member message.Member
	tier   int
	score  uint64 // spreads children over the members of a tier
}

func newParentSelection(cfg settings.Settings) parentSelection {
	return parentSelection{
		settings:   cfg,
		excluded:   timeouts{},
		ejected:    timeouts{},
		stale:      timeouts{},
		silent:     timeouts{},
		staleGrace: cfg.UpdatesEvery() * staleGraceIntervals,
	}
}

// next returns the best candidate; a root as the last resort where all are excluded; or false where
// there is no root either.
func (p *parentSelection) next(random *rand.Rand, members *membership.Membership) (choice, bool) {
	self := members.Self()
	roots := members.Alive(rootRole(self.Role))
	candidates := p.candidates(members, self, roots)
	if len(candidates) > 0 {
		return choice{member: slices.MinFunc(candidates, compareCandidates).member}, true
	}
	if len(roots) > 0 {
		return choice{member: p.lastResort(random, roots), lastResort: true}, true
	}
	return choice{}, false
}

// rootRole returns the role of the members at the top of the tree for a node of a role.
func rootRole(role string) string {
	if role == message.RoleRegistry {
		return message.RoleConfigStore
	}
	return message.RoleRegistry
}

// candidates returns the members that may become the parent of this node.
func (p *parentSelection) candidates(members *membership.Membership, self message.Member, roots []message.Member) []candidate {
	candidates := []candidate{}
	add := func(member message.Member, tier int) {
		_, excluded := p.excluded[member.Name]
		if excluded || member.Name == self.Name || member.State != message.Alive {
			return
		}
		candidates = append(candidates, candidate{member, tier, score(self.Name, member.Name)})
	}
	for _, root := range roots {
		add(root, p.rootTier(root.Zone == self.Zone))
	}
	if self.Role != message.RoleProxy {
		return candidates
	}
	for _, proxy := range members.Alive(message.RoleProxy) {
		if proxy.Zone == self.Zone {
			add(proxy, tierOwnProxies)
		} else {
			add(proxy, tierOtherProxies)
		}
	}
	return candidates
}

// rootTier returns the tier of a root of this node's zone, or of another. A node that left a stale
// parent asks the roots of other zones before the proxies of its own, which are likely to be below the
// same stale root.
func (p *parentSelection) rootTier(ownZone bool) int {
	if ownZone || p.leftStale {
		return tierOwnRoots
	}
	return tierOtherRoots
}

// score returns a pseudo-random number that is the same each time for a child and a parent.
func score(child, parent string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(child + "|" + parent))
	return hash.Sum64()
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.score, b.score))
}

// lastResort returns the root whose ejection ends first, from a random start, so that the moves
// of several nodes go round all roots. The root that was just left is taken only if it is alone.
func (p *parentSelection) lastResort(random *rand.Rand, roots []message.Member) message.Member {
	isLastRoot := func(root message.Member) bool { return root.Name == p.lastRoot }
	if others := slices.DeleteFunc(slices.Clone(roots), isLastRoot); len(others) > 0 {
		roots = others
	}
	first := random.IntN(len(roots))
	chosen := roots[first]
	for offset := range roots {
		root := roots[(first+offset)%len(roots)]
		if p.ejected[root.Name] < p.ejected[chosen.Name] {
			chosen = root
		}
	}
	return chosen
}

// firstAnswerLimit is how long a new parent has to answer. Each parent may be dead, so it is short at
// first; where links are crowded, asking one after the other would only add to their load, so it grows
// with each that was asked in vain.
func (p *parentSelection) firstAnswerLimit() time.Duration {
	limit := p.settings.UpdatesEvery()
	for range max(p.unanswered-constantAnswerLimits, 0) {
		limit = min(limit*2, p.settings.ReparentAfter())
	}
	return limit
}

// exclude makes a member no candidate until an instant.
func (p *parentSelection) exclude(name string, until time.Duration) { p.excluded[name] = until }

// eject excludes a member that failed.
func (p *parentSelection) eject(name string, until time.Duration) {
	p.exclude(name, until)
	p.ejected[name] = until
}

// ejectStale ejects a member whose knowledge is old.
func (p *parentSelection) ejectStale(name string, until time.Duration) {
	p.eject(name, until)
	p.stale[name] = until
}

// ejectStalePath ejects all members on the path to a stale parent, which are as stale, and makes the
// next move for staleness slower.
func (p *parentSelection) ejectStalePath(now time.Duration, path []string) {
	for _, name := range path {
		p.ejectStale(name, now+p.settings.ReparentAfter()*backOffReparents)
	}
	p.staleGrace = min(p.staleGrace*2, p.settings.ReparentAfter()*maxStaleGrace)
	p.leftStale = true
}

// resetStaleGrace shortens the grace again below a parent that is not stale. The random part keeps
// nodes from moving all at once.
func (p *parentSelection) resetStaleGrace(random *rand.Rand) {
	interval := p.settings.UpdatesEvery()
	p.staleGrace = interval*staleGraceIntervals + time.Duration(random.Int64N(int64(interval)))
}

// markSilent records that a member does not answer requests.
func (p *parentSelection) markSilent(now time.Duration, name string) {
	p.silent[name] = now + p.settings.ReparentAfter()*backOffReparents
}

// isStale reports whether a member was ejected as stale.
func (p *parentSelection) isStale(name string) bool {
	_, stale := p.stale[name]
	return stale
}

// isSilent reports whether a member did not answer requests lately.
func (p *parentSelection) isSilent(name string) bool {
	_, silent := p.silent[name]
	return silent
}

// readmit makes a member a candidate again, though what it failed for still counts.
func (p *parentSelection) readmit(name string) { delete(p.excluded, name) }

// reinstate takes back that a member was stale, since it has shown that it has news.
func (p *parentSelection) reinstate(name string) {
	delete(p.excluded, name)
	delete(p.ejected, name)
	delete(p.stale, name)
}

func (p *parentSelection) expire(now time.Duration) {
	for _, members := range []timeouts{p.excluded, p.ejected, p.stale, p.silent} {
		members.expire(now)
	}
}
