package checker

// checkDrains checks that an upstream receives no new request later than Bounds.Drain after it
// announced that it is draining.
func (r *Review) checkDrains(record Record) {
	for _, drain := range record.DrainStarts {
		r.count(drainStarted)
		for _, execution := range record.Executions {
			if !drain.precedes(execution) {
				continue
			}
			delay := execution.At - drain.At
			r.recordWorst(drainMS, float64(delay.Milliseconds()))
			if delay > record.Bounds.Drain {
				r.addViolation(requestAfterDrain, "%s received %s %s after it announced that it is draining",
					drain.Instance, execution.ID, delay)
			}
		}
	}
}

// precedes reports whether a run began at the draining incarnation at or after its announcement.
func (d DrainStart) precedes(execution Execution) bool {
	return execution.Service == d.Service && execution.Instance == d.Instance &&
		execution.Incarnation == d.Incarnation && execution.At >= d.At
}

// checkSlots checks that no upstream ran more requests concurrently than it has slots.
func (r *Review) checkSlots(record Record) {
	for _, peak := range record.Peaks {
		r.recordWorst(slotsUsed, float64(peak.MaxRunning)/float64(peak.Slots))
		if peak.MaxRunning > peak.Slots {
			r.addViolation(slotsExceeded, "%s ran %d requests concurrently, has %d slots", peak.Instance, peak.MaxRunning, peak.Slots)
		}
	}
}
