// Package checker verifies a finished run against the promises of the mesh. It compares what callers
// sent and received, what upstreams ran, which configurations nodes had in force, who held leases,
// and what the usage collector was told.
//
// The input is a Record, which the fleet of real processes and the simulator both produce; times in
// it are since the start of the run. The output is a Review: the broken promises, the worst figure
// for each promise with a bound, and how often each kind of event was seen, so that a run which never
// exercised a promise can be told from one that kept it.
//
// The promises are the constants of type rule in rules.go, their bounds are in Bounds, and each
// subject has a file of its own with the checks.
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

// violate adds a broken promise.
func (r *Review) violate(broken rule, format string, values ...any) {
	r.Violations = append(r.Violations, Violation{Rule: string(broken), Detail: fmt.Sprintf(format, values...)})
}

// measure keeps the highest value of a figure.
func (r *Review) measure(name figure, value float64) {
	if highest, known := r.Worst[string(name)]; !known || value > highest {
		r.Worst[string(name)] = value
	}
}

// count counts an event.
func (r *Review) count(seen event) { r.Seen[string(seen)]++ }

// Check holds a record against all promises.
func Check(record Record) Review {
	review := Review{Worst: map[string]float64{}, Seen: map[string]int{}}
	runs := runsByID(record)
	requests := requestsByID(record)
	review.checkAnswers(record, runs)
	review.checkRuns(record, requests)
	review.checkConfigurationArrivals(record)
	review.checkConfigurationOrder(record)
	review.checkWithdrawnKeys(record, requests)
	review.checkDrains(record)
	review.checkRetries(record, runs)
	review.checkLostAnswers(record, runs)
	review.checkConfigurationCopies(record)
	review.Seen[string(readinessChecked)] = record.ReadyAsked
	review.checkUsage(record)
	review.checkLeaseHolders(record)
	review.checkPoliteStops(record)
	review.checkSlots(record)
	review.checkLeaseActs(record)
	return review
}

// runsByID returns the runs of each request.
func runsByID(record Record) map[string][]Execution {
	runs := map[string][]Execution{}
	for _, ran := range record.Executions {
		runs[ran.ID] = append(runs[ran.ID], ran)
	}
	return runs
}

// requestsByID returns the requests by the ID that their callers gave them.
func requestsByID(record Record) map[string]CallerRequest {
	requests := map[string]CallerRequest{}
	for _, request := range record.Requests {
		requests[request.ID] = request
	}
	return requests
}
