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

// Summary joins the results of many walks or of a search.
type Summary struct {
	Walks   int64
	Steps   int64
	Epochs  int64
	Answers int64
	Counts  map[Kind]int64
	Found   map[string]Result // the first of each rule
	Broken  map[string]int64  // walks by rule
	Elapsed time.Duration
}

// Sweep plays walks from a first seed on, some at a time, until count are played or the
// time is up (0: no limit); progress is told now and then.
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

const progressInterval = 5 * time.Second

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
	if earlier, found := s.Found[rule]; !found || result.Plan.Seed < earlier.Plan.Seed {
		s.Found[rule] = result
	}
}

// Find plays walks until one breaks a promise, and gives the shrunk counterexample and how
// many walks it took; false when none of count does.
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
