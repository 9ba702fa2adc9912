package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

// drawnShape is how long a drawn day is and how much happens on it.
type drawnShape struct {
	seconds       float64
	lastEntryAt   float64
	fewestControl int
	mostControl   int
	mostTraffic   int
	changes       span // of the configuration, one after the other; none for the zero span
}

// usualDay is as long as the sites' own days; longDay holds hundreds of changes.
var (
	usualDay = drawnShape{seconds: 32, lastEntryAt: 27, fewestControl: 4, mostControl: 9, mostTraffic: 5}
	longDay  = drawnShape{seconds: 100, lastEntryAt: 92, fewestControl: 10, mostControl: 20, mostTraffic: 8, changes: span{100, 300}}
)

// Bounds of a drawn day.
const (
	firstEntryAt       = 1.5
	changesFrom        = 3.0
	changesUntil       = 85.0
	clusteredShare     = 0.6 // of the control entries follow another within clusterSeconds
	clusterSeconds     = 3.5
	markShare          = 0.3 // of the entries that may bear a mark
	drawnFloor         = 0.02
	shortestDownSecond = 0.3
	longestDownSecond  = 2.0
)

// drawer holds a day that is being drawn, and its random source.
type drawer struct {
	random *rand.Rand
	day    *drawnDay
}

// drawDay draws a day: entries of every kind that the site knows at random moments, several at once and
// the same kind more than once. The day is a function of its seed.
func drawDay(seed uint64, known kinds, shape drawnShape) *drawnDay {
	d := &drawer{random: rand.New(rand.NewPCG(seed, 41)), day: &drawnDay{seed: seed, shape: shape}}
	d.add(entryKind{kind: "config_change", planned: true, variants: []string{"idle"}}, firstEntryAt)
	d.addControl(known.among(controlEntries))
	traffic := known.among(trafficEntries)
	for range d.random.IntN(shape.mostTraffic + 1) {
		d.add(pick(d.random, traffic), d.between(firstEntryAt, shape.lastEntryAt))
	}
	d.addChanges()
	d.day.closing = d.drawClosing()
	return d.day
}

// addChanges adds a row of changes of the configuration over most of a long day.
func (d *drawer) addChanges() {
	if d.day.shape.changes == (span{}) {
		return
	}
	count := math.Round(d.between(d.day.shape.changes.low, d.day.shape.changes.high))
	gap := (changesUntil - changesFrom) / count
	d.add(entryKind{kind: "config_race", planned: true, count: span{count, count}, gap: span{gap, gap}}, changesFrom)
}

// addControl adds entries of the control side, most of them soon after another.
func (d *drawer) addControl(catalogue []entryKind) {
	shape := d.day.shape
	at := d.between(firstEntryAt, shape.lastEntryAt/2)
	for range shape.fewestControl + d.random.IntN(shape.mostControl-shape.fewestControl+1) {
		d.add(pick(d.random, catalogue), at)
		if d.random.Float64() < clusteredShare {
			at = min(at+d.between(0, clusterSeconds), shape.lastEntryAt)
		} else {
			at = d.between(firstEntryAt, shape.lastEntryAt)
		}
	}
}

// pick draws from a catalogue by weight.
func pick(random *rand.Rand, catalogue []entryKind) entryKind {
	total := 0
	for _, entry := range catalogue {
		total += entry.weight
	}
	left := random.IntN(total)
	for _, entry := range catalogue {
		if left -= entry.weight; left < 0 {
			return entry
		}
	}
	return catalogue[len(catalogue)-1]
}

// add writes one entry of the day.
func (d *drawer) add(entry entryKind, at float64) {
	fields := []string{fmt.Sprintf("at = %.2f", at), fmt.Sprintf("kind = %q", entry.kind)}
	if len(entry.classes) > 0 {
		if class := entry.classes[d.random.IntN(len(entry.classes))]; class != "" {
			fields = append(fields, fmt.Sprintf("on = %q", class))
		}
	}
	if how := d.variant(entry); how != "" {
		fields = append(fields, fmt.Sprintf("how = %q", how))
	}
	fields = d.number(fields, "for_s", entry.duration, 2)
	fields = d.number(fields, "share", entry.share, 2)
	fields = d.number(fields, "count", entry.count, 0)
	fields = d.number(fields, "x", entry.strength, 2)
	fields = d.number(fields, "gap_s", entry.gap, 2)
	line := "{ " + strings.Join(fields, ", ") + " }"
	if entry.planned {
		d.day.plan = append(d.day.plan, line)
	} else {
		d.day.faults = append(d.day.faults, line)
	}
}

// variant draws the "how" of an entry, with a mark behind it at times.
func (d *drawer) variant(entry entryKind) string {
	how := ""
	if len(entry.variants) > 0 {
		how = entry.variants[d.random.IntN(len(entry.variants))]
	}
	if len(entry.marks) > 0 && d.random.Float64() < markShare {
		how = strings.TrimSpace(how + " " + entry.marks[d.random.IntN(len(entry.marks))])
	}
	return how
}

// number adds a field with a number from a span; a zero span adds none.
func (d *drawer) number(fields []string, name string, from span, digits int) []string {
	if from == (span{}) {
		return fields
	}
	value := d.between(from.low, from.high)
	if digits == 0 {
		return append(fields, fmt.Sprintf("%s = %d", name, int(math.Round(value))))
	}
	return append(fields, fmt.Sprintf("%s = %.*f", name, digits, value))
}

func (d *drawer) between(low, high float64) float64 { return low + (high-low)*d.random.Float64() }

func (d *drawer) drawClosing() string {
	drawn := closings[d.random.IntN(len(closings))]
	if drawn.kind == "" {
		return ""
	}
	how := drawn.variants[d.random.IntN(len(drawn.variants))]
	down := d.between(shortestDownSecond, longestDownSecond)
	if how == "" {
		return fmt.Sprintf("closing = { kind = %q, down_s = %.2f }\n", drawn.kind, down)
	}
	return fmt.Sprintf("closing = { kind = %q, down_s = %.2f, how = %q }\n", drawn.kind, down, how)
}
