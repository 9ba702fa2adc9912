package checker

import (
	"sort"
	"time"
)

// leastFirstTries is how many first tries a window needs before its share is told as a figure.
const leastFirstTries = 20

// try is one attempt or run; again says that it was not the request's first.
type try struct {
	at    time.Duration
	again bool
}

// retries checks the tries past the first of a request against the traffic of its service, in any
// span of the window: those that left a proxy, and those that ran.
func (r *Review) retries(record Record, runs map[string][]Ran) {
	for service, tries := range r.tries(record, runs) {
		if !r.retryShare(record, service, tries) {
			return
		}
	}
}

// tries collects the attempts and the runs, by service.
func (r *Review) tries(record Record, runs map[string][]Ran) map[string][]try {
	tries := map[string][]try{}
	for _, attempt := range record.Attempts {
		key := "attempts at " + attempt.Service
		tries[key] = append(tries[key], try{attempt.At, attempt.Again})
		if attempt.Again {
			r.Seen["tries again"]++
		}
	}
	for _, list := range runs {
		sort.Slice(list, func(i, j int) bool { return list[i].At < list[j].At })
		for index, ran := range list {
			tries[ran.Service] = append(tries[ran.Service], try{ran.At, index > 0})
			if index > 0 {
				r.Seen["retries seen"]++
			}
		}
	}
	return tries
}

// retryShare slides the window over the tries of a service; it returns false at the first window
// that breaks the bound.
func (r *Review) retryShare(record Record, service string, tries []try) bool {
	sort.Slice(tries, func(i, j int) bool { return tries[i].at < tries[j].at })
	first, again, begin := 0, 0, 0
	count := func(counted try, by int) {
		if counted.again {
			again += by
		} else {
			first += by
		}
	}
	for _, now := range tries {
		count(now, 1)
		for now.at-tries[begin].at > record.Bounds.RetryWindow {
			count(tries[begin], -1)
			begin++
		}
		if float64(again) > record.Bounds.RetryShare*float64(first)+float64(record.Bounds.RetryMore) {
			r.add("retry-share", "%s: %d retries to %d first tries before %s", service, again, first, now.at)
			return false
		}
		if first > leastFirstTries {
			r.worst("retry-share", float64(again)/float64(first))
		}
	}
	return true
}
