package registry

import (
	"maps"
	"sort"
	"strconv"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// usageCounts are the counts of the windows that aren't sealed yet. A proxy's counts are kept by its
// run: a proxy that was started again begins to count from zero.
type usageCounts struct {
	sealed   *sealedWindows
	byWindow map[int64]map[string]message.ProxyUsage // by window and run
	unsaved  map[int64]map[string]bool               // by window and run: changed since the last write

	saving     bool // a write is under way
	nextSaveAt time.Duration
}

func newUsageCounts(sealed *sealedWindows) *usageCounts {
	return &usageCounts{
		sealed:   sealed,
		byWindow: map[int64]map[string]message.ProxyUsage{},
		unsaved:  map[int64]map[string]bool{},
	}
}

// proxyRunOf names a run of a proxy: the time from one start to the next.
func proxyRunOf(update message.UsageUpdate) string {
	return update.Proxy + "/" + strconv.FormatInt(update.StartTime, 36)
}

// add takes the cumulative counts of a proxy; the update with the highest number of a run holds.
func (c *usageCounts) add(update message.UsageUpdate) {
	run := proxyRunOf(update)
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

func (c *usageCounts) put(counts message.ProxyUsage) {
	if c.byWindow[counts.Window] == nil {
		c.byWindow[counts.Window] = map[string]message.ProxyUsage{}
	}
	c.byWindow[counts.Window][counts.ProxyRun] = counts
}

func (c *usageCounts) markUnsaved(window int64, run string) {
	if c.unsaved[window] == nil {
		c.unsaved[window] = map[string]bool{}
	}
	c.unsaved[window][run] = true
}

// restore takes counts from this disk.
func (c *usageCounts) restore(saved message.UnreportedUsage) {
	for _, counts := range saved.Proxies {
		if counts.Sequence >= c.byWindow[counts.Window][counts.ProxyRun].Sequence {
			c.put(counts)
		}
	}
}

// merge takes the counts of another registry, of windows that aren't reported yet.
func (c *usageCounts) merge(others message.UnreportedUsage) {
	for _, counts := range others.Proxies {
		if counts.Window > c.sealed.reported && counts.Sequence > c.byWindow[counts.Window][counts.ProxyRun].Sequence {
			c.put(counts)
		}
	}
}

// dropSealed forgets the counts of windows whose value is known.
func (c *usageCounts) dropSealed() {
	for window := range c.byWindow {
		if c.sealed.hasValue(window) {
			delete(c.byWindow, window)
			delete(c.unsaved, window)
		}
	}
}

// unsealed lists the counts of the windows whose value isn't known, by window and run.
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

// takeUnsaved lists the counts that changed since the last write, and takes them as written.
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

// sum adds the counts of a window up, by tenant.
func (c *usageCounts) sum(window int64) map[string]int64 {
	sums := map[string]int64{}
	for _, counts := range c.byWindow[window] {
		for tenant, count := range counts.Counts {
			sums[tenant] += count
		}
		// Requests that a run had open when it last reported have most likely been answered
		// before its end: they take as long to run as a report takes to be safe.
		for tenant, count := range counts.InFlight {
			sums[tenant] += count
		}
	}
	return sums
}

// saveCounts puts changed counts on disk, one write at a time, the next as soon as the last is
// done. After a write that took longer than SlowSync, the disk is left to the votes for as long.
func (u *usage) saveCounts(env *statemachine.Env) {
	counts := u.counts
	if counts.saving || env.Now < counts.nextSaveAt || len(counts.unsaved) == 0 {
		return
	}
	changed := counts.takeUnsaved()
	if len(changed.Proxies) == 0 {
		return
	}
	counts.saving = true
	began := env.Now
	u.core.Persist(env, changed, func(env *statemachine.Env, _ error) {
		counts.saving = false
		counts.nextSaveAt = began + u.settings.SaveEvery()
		if took := env.Now - began; took > u.settings.SlowSync() {
			counts.nextSaveAt = env.Now + took
		}
		u.saveCounts(env)
	})
}
