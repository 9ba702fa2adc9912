// Package checker holds the records of both ends against the promises of the mesh: what callers
// asked and were told, what upstreams ran, what nodes had in force, what the collector was told. It
// serves the fleet of real processes and the simulator alike. Each check gives its violations and
// the worst figure seen, and counts what it saw, so that a run which never exercised a promise shows.
//
// The checks stand in one file a subject: requests, configurations, upstreams, retries, usage,
// leases.
package checker

import "fmt"

// Violation is a broken promise.
type Violation struct {
	Rule   string
	Detail string
}

// Review is the outcome of a check: the broken promises, the worst figure by name, and how often
// each kind of event was seen.
type Review struct {
	Violations []Violation
	Worst      map[string]float64
	Seen       map[string]int
}

func (r *Review) add(rule, format string, values ...any) {
	r.Violations = append(r.Violations, Violation{rule, fmt.Sprintf(format, values...)})
}

func (r *Review) worst(rule string, value float64) {
	if held, known := r.Worst[rule]; !known || value > held {
		r.Worst[rule] = value
	}
}

// Check holds a record against all promises.
func Check(record Record) Review {
	review := Review{Worst: map[string]float64{}, Seen: map[string]int{}}
	runs := runsByID(record)
	asked := askedByID(record)
	review.requests(record, runs)
	review.runs(record, asked)
	review.configurations(record)
	review.slips(record)
	review.keys(record, asked)
	review.drains(record)
	review.retries(record, runs)
	review.dropped(record, runs)
	review.kept(record)
	review.Seen["asked whether ready"] = record.ReadyAsked
	review.usage(record)
	review.holders(record)
	review.stops(record)
	review.slots(record)
	review.acts(record)
	return review
}

func runsByID(record Record) map[string][]Ran {
	runs := map[string][]Ran{}
	for _, ran := range record.Ran {
		runs[ran.ID] = append(runs[ran.ID], ran)
	}
	return runs
}

func askedByID(record Record) map[string]Asked {
	asked := map[string]Asked{}
	for _, request := range record.Asked {
		asked[request.ID] = request
	}
	return asked
}
