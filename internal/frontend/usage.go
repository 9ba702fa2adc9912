package frontend

// This file counts requests for the usage report, and answers by their codes.

import (
	"maps"
	"sort"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// begin counts a request that has passed the gate as open, for the usage report.
func (f *Frontend) begin(request *Request) {
	if f.settings.CountsBegun() {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	request.begun = true
	f.open[request.Tenant]++
}

// Began counts a request that its serving proxy has begun, where the usage is of those; Unbegun
// takes it back when the upstream says that it did not run.
func (f *Frontend) Began(wall time.Duration, tenant string) (window int64) {
	window = int64(wall / f.settings.UsageWindow())
	f.tally(window, tenant, 1)
	return window
}

// Unbegun takes a count back.
func (f *Frontend) Unbegun(window int64, tenant string) { f.tally(window, tenant, -1) }

func (f *Frontend) tally(window int64, tenant string, count int64) {
	if tenant == "" {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.usage[window] == nil {
		f.usage[window] = map[string]int64{}
	}
	f.usage[window][tenant] += count
}

// Count notes a final answer: for the counters by code, and for the usage report when
// it is the upstream's own.
func (f *Frontend) Count(wall time.Duration, request *Request, final *Response) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.tallies[final.Code]++
	if request.begun && !f.settings.CountsBegun() {
		request.begun = false
		if f.open[request.Tenant]--; f.open[request.Tenant] == 0 {
			delete(f.open, request.Tenant)
		}
	}
	if final.Code != errcode.OK || request.Tenant == "" || f.settings.CountsBegun() {
		return
	}
	window := int64(wall / f.settings.UsageWindow())
	if f.usage[window] == nil {
		f.usage[window] = map[string]int64{}
	}
	f.usage[window][request.Tenant]++
}

// Usage gives the windows not sealed yet; those below closed won't change any more.
func (f *Frontend) Usage(wall time.Duration, sealedBelow int64) (usage []message.UsageCount, closed int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	closed = int64(wall / f.settings.UsageWindow())
	if len(f.open) > 0 && f.usage[closed] == nil {
		f.usage[closed] = map[string]int64{}
	}
	for window, counts := range f.usage {
		if window < sealedBelow || window < closed-720 {
			delete(f.usage, window)
			continue
		}
		copied := map[string]int64{}
		for tenant, count := range counts {
			copied[tenant] = count
		}
		response := message.UsageCount{Window: window, Counts: copied, Open: map[string]int64{}}
		if window == closed {
			response.Open = maps.Clone(f.open)
		}
		usage = append(usage, response)
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].Window < usage[j].Window })
	return usage, closed
}

// ResultCounts gives the counters.
func (f *Frontend) ResultCounts() (map[string]int64, int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	tallies := map[string]int64{}
	for code, count := range f.tallies {
		tallies[code.String()] = count
	}
	return tallies, f.again
}
