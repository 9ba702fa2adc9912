package registry

import (
	"maps"
	"sort"
	"strconv"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// usageCounts holds the counts of the windows that aren't sealed yet. They are kept separately for
// each run of a proxy, since a restarted proxy counts from zero.
type usageCounts struct {
	sealed   *sealedWindows
	byWindow map[int64]map[string]message.ProxyUsage // by window and run
	unsaved  map[int64]map[string]bool               // by window and run: changed since the last write to disk

	saving     bool // a write to disk is in progress
	nextSaveAt time.Duration
}

// newUsageCounts returns empty counts, which ignore the windows that have a value in sealed.
func newUsageCounts(sealed *sealedWindows) *usageCounts {
	return &usageCounts{
		sealed:   sealed,
		byWindow: map[int64]map[string]message.ProxyUsage{},
		unsaved:  map[int64]map[string]bool{},
	}
}

// proxyRunID identifies a run of a proxy, which is the time from one start to the next.
func proxyRunID(update message.UsageUpdate) string {
	return update.Proxy + "/" + strconv.FormatInt(update.StartTime, 36)
}

// add records the cumulative counts of a proxy. Within a run, the update with the highest number
// replaces the others.
func (c *usageCounts) add(update message.UsageUpdate) {
	run := proxyRunID(update)
	for _, window := range update.Counts {
		last, known := c.byWindow[window.Window][run]
		if c.sealed.hasValue(window.Window) || known && update.Sequence <= last.Sequence {
			continue
		}
		c.put(message.ProxyUsage{
			Window:   window.Window,
			ProxyRun: run,
			Sequence: update.Sequence,
			Counts:   window.Counts,
			InFlight: window.InFlight,
		})
		if !known || !maps.Equal(last.Counts, window.Counts) || !maps.Equal(last.InFlight, window.InFlight) {
			c.markUnsaved(window.Window, run)
		}
	}
}

// put stores the counts of one run in one window.
func (c *usageCounts) put(counts message.ProxyUsage) {
	if c.byWindow[counts.Window] == nil {
		c.byWindow[counts.Window] = map[string]message.ProxyUsage{}
	}
	c.byWindow[counts.Window][counts.ProxyRun] = counts
}

// markUnsaved marks the counts of one run in one window to be written to disk.
func (c *usageCounts) markUnsaved(window int64, run string) {
	if c.unsaved[window] == nil {
		c.unsaved[window] = map[string]bool{}
	}
	c.unsaved[window][run] = true
}

// restore adds counts that were read from the local disk.
func (c *usageCounts) restore(saved message.UnreportedUsage) {
	for _, counts := range saved.Proxies {
		if counts.Sequence >= c.byWindow[counts.Window][counts.ProxyRun].Sequence {
			c.put(counts)
		}
	}
}

// merge adds the counts that another registry has sent, of windows that aren't reported yet.
func (c *usageCounts) merge(received message.UnreportedUsage) {
	for _, counts := range received.Proxies {
		if counts.Window > c.sealed.reported && counts.Sequence > c.byWindow[counts.Window][counts.ProxyRun].Sequence {
			c.put(counts)
		}
	}
}

// dropSealed removes the counts of the windows that have a sealed value.
func (c *usageCounts) dropSealed() {
	for window := range c.byWindow {
		if c.sealed.hasValue(window) {
			delete(c.byWindow, window)
			delete(c.unsaved, window)
		}
	}
}

// unsealed lists the counts of the windows without a sealed value, ordered by window and run.
func (c *usageCounts) unsealed() message.UnreportedUsage {
	list := message.UnreportedUsage{Proxies: []message.ProxyUsage{}}
	for window, runs := range c.byWindow {
		if c.sealed.hasValue(window) {
			continue
		}
		for _, counts := range runs {
			list.Proxies = append(list.Proxies, counts)
		}
	}
	sort.Slice(list.Proxies, func(i, j int) bool {
		left, right := list.Proxies[i], list.Proxies[j]
		return left.Window < right.Window || left.Window == right.Window && left.ProxyRun < right.ProxyRun
	})
	return list
}

// takeUnsaved returns the counts that changed since the last write to disk, and marks them as
// saved.
func (c *usageCounts) takeUnsaved() message.UnreportedUsage {
	changed := message.UnreportedUsage{Proxies: []message.ProxyUsage{}}
	for _, counts := range c.unsealed().Proxies {
		if c.unsaved[counts.Window][counts.ProxyRun] {
			changed.Proxies = append(changed.Proxies, counts)
		}
	}
	c.unsaved = map[int64]map[string]bool{}
	return changed
}

// sum returns the total counts of a window by tenant.
func (c *usageCounts) sum(window int64) map[string]int64 {
	sums := map[string]int64{}
	for _, counts := range c.byWindow[window] {
		for tenant, count := range counts.Counts {
			sums[tenant] += count
		}
		// Requests that were open in the last update of a run are counted: most likely they were
		// answered before the run ended, since a request takes about as long as an update takes to
		// be stored safely.
		for tenant, count := range counts.InFlight {
			sums[tenant] += count
		}
	}
	return sums
}

// saveCounts writes the changed counts to disk, with one write at a time and at least SaveEvery
// between the starts of two. After a write that took longer than SlowSync it pauses for as long as
// that write took, so that the disk is free for votes.
func (u *usageManager) saveCounts(env *statemachine.Env) {
	counts := u.counts
	if counts.saving || env.Now < counts.nextSaveAt || len(counts.unsaved) == 0 {
		return
	}
	changed := counts.takeUnsaved()
	if len(changed.Proxies) == 0 {
		return
	}
	counts.saving = true
	startedAt := env.Now
	u.core.Persist(env, changed, func(env *statemachine.Env, _ error) {
		counts.saving = false
		counts.nextSaveAt = startedAt + u.settings.SaveEvery()
		if elapsed := env.Now - startedAt; elapsed > u.settings.SlowSync() {
			counts.nextSaveAt = env.Now + elapsed
		}
		u.saveCounts(env)
	})
}
