package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"beaconvane/internal/settings"
)

// A voter that held a tag may not hold it again within the cool-down (holder_rest_ms in the settings).
// The platform sees which voter reports usage, and requires that no voter reports again within its
// cool-down, whichever voters held the tag in between. For the usage tag, acceptors therefore record all
// holders of the last cool-down period. The holders of other tags aren't visible outside the mesh, and
// having a holder matters more there than the order of holders, so only the previous holder cools down.

// coolDownSeparator separates the voters in message.Vote.RecentHolders.
const coolDownSeparator = ","

// inCoolDown reports whether a voter held the tag less than coolDown ago, as far as the acceptor records
// it, and so may not be granted the tag again.
func (a *acceptorState) inCoolDown(voter string, now, coolDown time.Duration) bool {
	if voter == a.vote.PreviousHolder && now-a.coolDownStartedAt < coolDown {
		return true
	}
	heldAt, known := a.lastHeldAt[voter]
	return a.tracksAllHolders() && known && now-heldAt < coolDown
}

// tracksAllHolders reports whether the acceptor records all holders of the last cool-down period instead
// of only the previous holder.
func (a *acceptorState) tracksAllHolders() bool { return a.vote.LeaseName == settings.UsageLease }

// startCoolDown records that the holder of the current vote ceases to hold the tag. It is called before
// the vote changes to another candidate.
func (a *acceptorState) startCoolDown(now, coolDown time.Duration) {
	a.vote.PreviousHolder = a.vote.Holder
	if !a.tracksAllHolders() {
		return
	}
	maps.DeleteFunc(a.lastHeldAt, func(_ string, heldAt time.Duration) bool { return now-heldAt >= coolDown })
	a.lastHeldAt[a.vote.Holder] = now
	a.vote.RecentHolders = strings.Join(slices.Sorted(maps.Keys(a.lastHeldAt)), coolDownSeparator)
}

// restartCoolDowns starts a full cool-down for every voter listed in vote.RecentHolders. The vote doesn't
// record when they held the tag, so now is used as the upper bound.
func (a *acceptorState) restartCoolDowns(now time.Duration) {
	a.lastHeldAt = map[string]time.Duration{}
	for _, voter := range strings.Split(a.vote.RecentHolders, coolDownSeparator) {
		if voter != "" {
			a.lastHeldAt[voter] = now
		}
	}
}
