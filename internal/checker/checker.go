// Package checker verifies a finished run against the guarantees of the mesh. It compares what callers
// sent and received, what upstreams ran, which configurations were in force on the nodes, which voters
// held leases, and which reports the usage collector received.
//
// The input is a Record, which the fleet of real processes and the simulator both produce; its times
// are relative to the start of the run. The output is a Review: the violations, the worst figure for
// each guarantee with a bound, and the number of events of each kind, which shows whether the run
// exercised a guarantee at all.
//
// The guarantees are the constants of type rule in rules.go, and their bounds are in Bounds. The checks
// of each subject are in a separate file.
package checker

import "fmt"

// Violation is one violation of a guarantee. Rule is the name of the rule.
type Violation struct {
	Rule   string
	Detail string
}

// Review is the result of a check: the violations, the worst value of each figure by the figure's name,
// and the number of events by the event's name.
type Review struct {
	Violations []Violation
	Worst      map[string]float64
	Seen       map[string]int
}

// addViolation adds a violation of a rule.
func (r *Review) addViolation(violated rule, format string, values ...any) {
	r.Violations = append(r.Violations, Violation{Rule: string(violated), Detail: fmt.Sprintf(format, values...)})
}

// recordWorst records a value of a figure if it is the highest so far.
func (r *Review) recordWorst(name figure, value float64) {
	if highest, known := r.Worst[string(name)]; !known || value > highest {
		r.Worst[string(name)] = value
	}
}

// count increments the number of events of one kind.
func (r *Review) count(observed event) { r.Seen[string(observed)]++ }

// Check checks a record against all rules.
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
	review.checkGracefulStops(record)
	review.checkSlots(record)
	review.checkHolderActions(record)
	return review
}

// runsByID groups the runs by the ID of their request.
func runsByID(record Record) map[string][]Execution {
	runs := map[string][]Execution{}
	for _, execution := range record.Executions {
		runs[execution.ID] = append(runs[execution.ID], execution)
	}
	return runs
}

// requestsByID indexes the requests by the ID that their callers assigned.
func requestsByID(record Record) map[string]CallerRequest {
	requests := map[string]CallerRequest{}
	for _, request := range record.Requests {
		requests[request.ID] = request
	}
	return requests
}
