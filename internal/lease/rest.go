package lease

// This file keeps the rest between the times that one voter holds a tag. The platform
// sees who acts in a duty, and wants no holder to come back within the rest whoever held
// the duty in between; so for the usage duty every holder of the last rest is written
// down. Of the other tags, which nobody sees from outside, only the one before the last
// rests: there a holder matters more than an order.

import (
	"maps"
	"slices"
	"strings"
	"time"

	"beaconvane/internal/settings"
)

// restSeparator stands between the names in a vote's Resting.
const restSeparator = ","

// resting says that a voter held a tag too lately to hold it again.
func (t *Manager) resting(tag string, state *tagState, voter string, now time.Duration) bool {
	if voter == state.vote.PreviousHolder && now-state.changedAt < t.settings.HolderRest() {
		return true
	}
	left, known := state.leftAt[voter]
	return tag == settings.UsageTag && known && now-left < t.settings.HolderRest()
}

// leave writes down that the holder voted for so far holds no more.
func (t *Manager) leave(tag string, state *tagState, now time.Duration) {
	state.vote.PreviousHolder = state.vote.Holder
	if tag != settings.UsageTag {
		return
	}
	maps.DeleteFunc(state.leftAt, func(_ string, left time.Duration) bool { return now-left >= t.settings.HolderRest() })
	state.leftAt[state.vote.Holder] = now
	state.vote.RecentHolders = strings.Join(slices.Sorted(maps.Keys(state.leftAt)), restSeparator)
}

// restAnew takes all that a vote from disk or from a grant lists to have held until now.
func (t *Manager) restAnew(state *tagState, now time.Duration) {
	state.leftAt = map[string]time.Duration{}
	for _, voter := range strings.Split(state.vote.RecentHolders, restSeparator) {
		if voter != "" {
			state.leftAt[voter] = now
		}
	}
}
