package frontend

import (
	"maps"
	"sort"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// maxUsageWindows is the number of windows for which counts are kept until they are sealed.
const maxUsageWindows = 720

// countOpen counts an admitted request as open for the usage report, unless usage counts started
// requests.
func (f *Frontend) countOpen(request *Request) {
	if f.settings.CountsBegun() {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	request.countedOpen = true
	f.openRequests[request.Tenant]++
}

// countStarted counts a request that its serving proxy starts, and returns the window in which it
// counts. It is used where usage counts started requests. uncountStarted reverts it if the upstream
// reports that the request did not run.
func (f *Frontend) countStarted(wall time.Duration, tenant string) (window int64) {
	window = f.usageWindow(wall)
	f.addUsage(window, tenant, 1)
	return window
}

// uncountStarted reverts countStarted for a request that did not run.
func (f *Frontend) uncountStarted(window int64, tenant string) { f.addUsage(window, tenant, -1) }

// usageWindow returns the number of the window that contains a wall-clock time.
func (f *Frontend) usageWindow(wall time.Duration) int64 {
	return int64(wall / f.settings.UsageWindow())
}

// addUsage adds to a tenant's count in a window. Requests without a tenant are not counted.
func (f *Frontend) addUsage(window int64, tenant string, count int64) {
	if tenant == "" {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.usageOf(window)[tenant] += count
}

// usageOf returns a window's counts by tenant and creates them on first use.
func (f *Frontend) usageOf(window int64) map[string]int64 {
	if f.usage[window] == nil {
		f.usage[window] = map[string]int64{}
	}
	return f.usage[window]
}

// countResponse counts a final answer by its code. If usage counts answered requests, it also counts
// an upstream's answer for the usage report.
func (f *Frontend) countResponse(wall time.Duration, request *Request, response *Response) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.resultCounts[response.Code]++
	if f.settings.CountsBegun() {
		return
	}
	if request.countedOpen {
		f.uncountOpen(request)
	}
	if response.Code == errcode.OK && request.Tenant != "" {
		f.usageOf(f.usageWindow(wall))[request.Tenant]++
	}
}

// uncountOpen removes an answered request from the open requests. The caller holds the lock.
func (f *Frontend) uncountOpen(request *Request) {
	request.countedOpen = false
	f.openRequests[request.Tenant]--
	if f.openRequests[request.Tenant] == 0 {
		delete(f.openRequests, request.Tenant)
	}
}

// Usage returns the counts of the windows that are not sealed, in order, and drops sealed windows
// and windows older than maxUsageWindows. The counts of windows below closed are final.
func (f *Frontend) Usage(wall time.Duration, sealedBelow int64) (usage []message.UsageCount, closed int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	closed = f.usageWindow(wall)
	if len(f.openRequests) > 0 {
		f.usageOf(closed)
	}
	for window, counts := range f.usage {
		if window < sealedBelow || window < closed-maxUsageWindows {
			delete(f.usage, window)
			continue
		}
		report := message.UsageCount{Window: window, Counts: maps.Clone(counts), InFlight: map[string]int64{}}
		if window == closed {
			report.InFlight = maps.Clone(f.openRequests)
		}
		usage = append(usage, report)
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].Window < usage[j].Window })
	return usage, closed
}

// ResultCounts returns the number of final answers by the name of their code, and the number of
// retries.
func (f *Frontend) ResultCounts() (answers map[string]int64, retries int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	answers = map[string]int64{}
	for code, count := range f.resultCounts {
		answers[code.String()] = count
	}
	return answers, f.retries
}
