package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"beaconvane/internal/settings"
)

// A voter that held a tag may not hold it again within the cool-down (holder_rest_ms in the settings).
// The platform sees who reports the usage, and wants nobody back within the cool-down, whoever held
// the tag in between: of the usage tag all holders of the last cool-down are kept. Of the other tags,
// whose holders nobody sees from outside, only the holder before the last cools down: there a holder
// matters more than an order.

// coolDownSeparator stands between the voters in message.Vote.RecentHolders.
const coolDownSeparator = ","

// inCoolDown reports whether a voter held the tag too recently to hold it again.
func (a *acceptorState) inCoolDown(voter string, now, coolDown time.Duration) bool {
	if voter == a.vote.PreviousHolder && now-a.coolDownFrom < coolDown {
		return true
	}
	heldUntil, known := a.heldUntil[voter]
	return a.keepsAllHolders() && known && now-heldUntil < coolDown
}

// keepsAllHolders reports whether all holders of the last cool-down are kept, not only the former.
func (a *acceptorState) keepsAllHolders() bool { return a.vote.LeaseName == settings.UsageLease }

// startCoolDown writes down that the holder voted for so far holds the tag no longer.
func (a *acceptorState) startCoolDown(now, coolDown time.Duration) {
	a.vote.PreviousHolder = a.vote.Holder
	if !a.keepsAllHolders() {
		return
	}
	maps.DeleteFunc(a.heldUntil, func(_ string, heldUntil time.Duration) bool { return now-heldUntil >= coolDown })
	a.heldUntil[a.vote.Holder] = now
	a.vote.RecentHolders = strings.Join(slices.Sorted(maps.Keys(a.heldUntil)), coolDownSeparator)
}

// restartCoolDowns begins the cool-down of all voters that the vote lists anew, since the vote doesn't
// say when they held the tag.
func (a *acceptorState) restartCoolDowns(now time.Duration) {
	a.heldUntil = map[string]time.Duration{}
	for _, voter := range strings.Split(a.vote.RecentHolders, coolDownSeparator) {
		if voter != "" {
			a.heldUntil[voter] = now
		}
	}
}
