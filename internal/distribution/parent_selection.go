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

// Tiers of candidates. Candidates of a lower tier are chosen first.
const (
	tierOwnRoots = iota
	tierOwnProxies
	tierOtherRoots
	tierOtherProxies
)

// Parameters of the adaptive limits for new parents.
const (
	answerLimitGrowthAfter = 2 // consecutive unanswering parents before firstAnswerLimit starts to grow
	staleGraceIntervals    = 2 // update intervals that a new parent has to deliver fresh content
	maxStaleGraceReparents = 4 // upper bound of staleGrace, in multiples of Settings.ReparentAfter
)

// timeouts contains the expiry time of a condition, by member name.
type timeouts map[string]time.Duration

// expire removes the conditions that have ended.
func (t timeouts) expire(now time.Duration) {
	for name, until := range t {
		if now > until {
			delete(t, name)
		}
	}
}

// parentSelection chooses the next parent, based on the failures of earlier ones. It identifies members
// by name.
type parentSelection struct {
	settings settings.Settings

	excluded timeouts // not candidates for now, for any reason
	ejected  timeouts // excluded because of a failure, not because they were full
	stale    timeouts // ejected because their content is stale, and with it every path through them
	silent   timeouts // did not answer requests

	lastLeftRoot string // root of the path of the parent that was left last
	unanswered   int    // consecutive parents that never answered

	// leftStaleParent is set when a parent is left as stale, until another parent has answered. During
	// that time the proxies of this zone are probably stale too.
	leftStaleParent bool

	// staleGrace is the minimum time after joining before a parent can be left as stale. It doubles
	// each time a parent is left as stale, because the fault may be at the source itself.
	staleGrace time.Duration
}

// selectedParent is the member to join next.
type selectedParent struct {
	member     message.Member
	lastResort bool // all candidates are excluded; the member was chosen despite its exclusion
}

// candidate is a member that may become the parent.
type candidate struct {
	member message.Member
	tier   int
	score  uint64 // distributes children over the members of a tier
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

// selectParent returns the best candidate. If all members are excluded, it returns a root as the last
// resort, and false if there is no root either.
func (p *parentSelection) selectParent(random *rand.Rand, members *membership.Membership) (selectedParent, bool) {
	self := members.Self()
	roots := members.Alive(rootRole(self.Role))
	candidates := p.candidates(members, self, roots)
	if len(candidates) > 0 {
		return selectedParent{member: slices.MinFunc(candidates, compareCandidates).member}, true
	}
	if len(roots) > 0 {
		return selectedParent{member: p.lastResort(random, roots), lastResort: true}, true
	}
	return selectedParent{}, false
}

// rootRole returns the role of the tree's roots for a node of the given role.
func rootRole(role string) string {
	if role == message.RoleRegistry {
		return message.RoleConfigStore
	}
	return message.RoleRegistry
}

// candidates returns the alive members that are not excluded and may become the parent of this node.
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

// rootTier returns the tier of a root, depending on whether it is in this node's zone. After leaving a
// stale parent, roots of other zones rank before the proxies of this zone, which are probably below the
// same stale root.
func (p *parentSelection) rootTier(ownZone bool) int {
	if ownZone || p.leftStaleParent {
		return tierOwnRoots
	}
	return tierOtherRoots
}

// score returns the rendezvous hash of a child and a parent. It is the same on every call.
func score(child, parent string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(child + "|" + parent))
	return hash.Sum64()
}

// compareCandidates orders candidates by tier, then by score.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.score, b.score))
}

// lastResort returns the root whose ejection ends first. It starts at a random index so that concurrent
// moves of several nodes spread over all roots. The root that was just left is chosen only if there is
// no other.
func (p *parentSelection) lastResort(random *rand.Rand, roots []message.Member) message.Member {
	isLastLeftRoot := func(root message.Member) bool { return root.Name == p.lastLeftRoot }
	if others := slices.DeleteFunc(slices.Clone(roots), isLastLeftRoot); len(others) > 0 {
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

// firstAnswerLimit returns how long a new parent has to answer its first request. It is short at first
// because the parent may be dead. On congested links, frequent changes of the parent would only add
// load, so the limit doubles with each consecutive parent that did not answer, up to Settings.ReparentAfter.
func (p *parentSelection) firstAnswerLimit() time.Duration {
	limit := p.settings.UpdatesEvery()
	for range max(p.unanswered-answerLimitGrowthAfter, 0) {
		limit = min(limit*2, p.settings.ReparentAfter())
	}
	return limit
}

// exclude removes a member from the candidates until the given time.
func (p *parentSelection) exclude(name string, until time.Duration) { p.excluded[name] = until }

// eject excludes a member that failed.
func (p *parentSelection) eject(name string, until time.Duration) {
	p.exclude(name, until)
	p.ejected[name] = until
}

// ejectStale ejects a member whose content is stale.
func (p *parentSelection) ejectStale(name string, until time.Duration) {
	p.eject(name, until)
	p.stale[name] = until
}

// ejectStalePath ejects all members on the path to a stale parent, since they are equally stale, and
// doubles the grace before the next parent can be left as stale.
func (p *parentSelection) ejectStalePath(now time.Duration, path []string) {
	for _, name := range path {
		p.ejectStale(name, now+p.settings.ReparentAfter()*backOffReparents)
	}
	p.staleGrace = min(p.staleGrace*2, p.settings.ReparentAfter()*maxStaleGraceReparents)
	p.leftStaleParent = true
}

// resetStaleGrace resets the grace while the parent is not stale. The random component prevents nodes
// from changing their parents simultaneously.
func (p *parentSelection) resetStaleGrace(random *rand.Rand) {
	interval := p.settings.UpdatesEvery()
	p.staleGrace = interval*staleGraceIntervals + time.Duration(random.Int64N(int64(interval)))
}

// markSilent records that a member did not answer requests.
func (p *parentSelection) markSilent(now time.Duration, name string) {
	p.silent[name] = now + p.settings.ReparentAfter()*backOffReparents
}

// isStale reports whether a member is currently ejected as stale.
func (p *parentSelection) isStale(name string) bool {
	_, stale := p.stale[name]
	return stale
}

// isSilent reports whether a member recently did not answer requests.
func (p *parentSelection) isSilent(name string) bool {
	_, silent := p.silent[name]
	return silent
}

// readmit makes a member a candidate again but keeps its recorded failures.
func (p *parentSelection) readmit(name string) { delete(p.excluded, name) }

// reinstate clears the exclusion, ejection and staleness of a member that has proven to have newer
// content.
func (p *parentSelection) reinstate(name string) {
	delete(p.excluded, name)
	delete(p.ejected, name)
	delete(p.stale, name)
}

// expire removes the conditions of all members that have ended.
func (p *parentSelection) expire(now time.Duration) {
	for _, members := range []timeouts{p.excluded, p.ejected, p.stale, p.silent} {
		members.expire(now)
	}
}
