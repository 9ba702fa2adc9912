package explore

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"beaconvane/internal/goroutine"
)

// Summary aggregates the results of many walks or of a search.
type Summary struct {
	Walks   int64
	Steps   int64
	Epochs  int64
	Answers int64
	Counts  map[Kind]int64
	Found   map[string]Result // by rule: the violation with the lowest seed, the first found of these
	Broken  map[string]int64  // by rule: the number of walks that violated it
	Elapsed time.Duration
}

// Sweep runs walks with consecutive seeds, starting at first, on concurrent workers. It stops after count walks
// or after limit (0: no limit). If progress is not nil, it is called every progressInterval.
func Sweep(options Options, first uint64, count int64, workers int, limit time.Duration, progress func(Summary)) Summary {
	summary := Summary{Counts: map[Kind]int64{}, Found: map[string]Result{}, Broken: map[string]int64{}}
	startTime := time.Now()
	next := atomic.Int64{}
	mutex := sync.Mutex{}
	lastProgress := startTime
	waitGroup := sync.WaitGroup{}
	group := goroutine.New()
	for range workers {
		waitGroup.Add(1)
		group.Go("explore.walk", func(context.Context) {
			defer waitGroup.Done()
			for {
				index := next.Add(1) - 1
				if index >= count || limit > 0 && time.Since(startTime) > limit {
					return
				}
				result := Walk(options, first+uint64(index))
				mutex.Lock()
				summary.add(result)
				if progress != nil && time.Since(lastProgress) > progressInterval {
					lastProgress = time.Now()
					summary.Elapsed = time.Since(startTime)
					progress(summary)
				}
				mutex.Unlock()
			}
		})
	}
	waitGroup.Wait()
	summary.Elapsed = time.Since(startTime)
	return summary
}

// progressInterval is the minimum time between two progress reports.
const progressInterval = 5 * time.Second

// add adds the result of one walk. The caller must serialize calls.
func (s *Summary) add(result Result) {
	s.Walks++
	s.Steps += result.Steps
	s.Epochs += int64(result.Epochs)
	s.Answers += int64(result.Answers)
	for kind, count := range result.Counts {
		s.Counts[kind] += int64(count)
	}
	if result.Violation == nil {
		return
	}
	rule := result.Violation.Rule
	s.Broken[rule]++
	if earlier, recorded := s.Found[rule]; !recorded || result.Plan.Seed < earlier.Plan.Seed {
		s.Found[rule] = result
	}
}

// Find runs walks until one violates a rule. It returns the shrunk counterexample and the number of walks run,
// or false if none of count walks violates a rule.
func Find(options Options, first uint64, count int64, workers int) (Result, int64, bool) {
	batch := int64(workers)
	for played := int64(0); played < count; played += batch {
		summary := Sweep(options, first+uint64(played), min(batch, count-played), workers, 0, nil)
		if len(summary.Found) == 0 {
			continue
		}
		first := slices.MinFunc(slices.Collect(maps.Values(summary.Found)), func(one, other Result) int {
			return cmp.Compare(one.Plan.Seed, other.Plan.Seed)
		})
		return Shrink(first), played + summary.Walks, true
	}
	return Result{}, count, false
}
