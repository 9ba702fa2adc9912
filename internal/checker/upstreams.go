package checker

// checkDrains checks that an upstream gets no new request for long after it announced that it is
// draining.
func (r *Review) checkDrains(record Record) {
	for _, leaving := range record.DrainStarts {
		r.count(drainSeen)
		for _, ran := range record.Executions {
			if !leaving.ranAfter(ran) {
				continue
			}
			late := ran.At - leaving.At
			r.measure(drainMS, float64(late.Milliseconds()))
			if late > record.Bounds.Drain {
				r.violate(drainLate, "%s got %s %s after it said it leaves", leaving.Instance, ran.ID, late)
			}
		}
	}
}

// ranAfter reports whether a run began at the draining incarnation after its announcement.
func (l DrainStart) ranAfter(ran Execution) bool {
	return ran.Service == l.Service && ran.Instance == l.Instance && ran.Incarnation == l.Incarnation && ran.At >= l.At
}

// checkSlots checks that no upstream ran more at one time than it has slots.
func (r *Review) checkSlots(record Record) {
	for _, peak := range record.Peaks {
		r.measure(slotsUsed, float64(peak.MaxRunning)/float64(peak.Slots))
		if peak.MaxRunning > peak.Slots {
			r.violate(slotsExceeded, "%s ran %d at one time, slots %d", peak.Instance, peak.MaxRunning, peak.Slots)
		}
	}
}
