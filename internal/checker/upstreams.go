package checker

// drains checks that an upstream gets no new work for long after it said that it leaves.
func (r *Review) drains(record Record) {
	for _, leaving := range record.Leaving {
		r.Seen["drains"]++
		for _, ran := range record.Ran {
			if ran.Service != leaving.Service || ran.Instance != leaving.Instance || ran.Life != leaving.Life || ran.At < leaving.At {
				continue
			}
			late := ran.At - leaving.At
			r.worst("drain-ms", float64(late.Milliseconds()))
			if late > record.Bounds.Drain {
				r.add("drain-late", "%s got %s %s after it said it leaves", leaving.Instance, ran.ID, late)
			}
		}
	}
}

// slots checks that no upstream ran more at one time than it has slots.
func (r *Review) slots(record Record) {
	for _, peak := range record.Peaks {
		r.worst("slots-used", float64(peak.Most)/float64(peak.Slots))
		if peak.Most > peak.Slots {
			r.add("slots", "%s ran %d at one time, slots %d", peak.Instance, peak.Most, peak.Slots)
		}
	}
}
