package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

// dayShape defines the length of a random day and the number of its entries. Times are in seconds
// from the start of the day.
type dayShape struct {
	seconds           float64
	lastEntryAt       float64
	minControlEntries int
	maxControlEntries int
	maxTrafficEntries int
	changeCount       span // number of successive configuration changes; the zero span means none
}

// Shapes of random days: standardDay has the length of the days in the site files, longDay contains
// hundreds of configuration changes.
var (
	standardDay = dayShape{seconds: 32, lastEntryAt: 27, minControlEntries: 4, maxControlEntries: 9, maxTrafficEntries: 5}
	longDay     = dayShape{
		seconds: 100, lastEntryAt: 92, minControlEntries: 10, maxControlEntries: 20, maxTrafficEntries: 8, changeCount: span{100, 300},
	}
)

// Parameters of random days. Times are in seconds from the start of the day.
const (
	firstEntryAt        = 1.5
	firstChangeAt       = 3.0
	lastChangeAt        = 85.0
	clusterProbability  = 0.6 // that a control entry follows the previous one within clusterSeconds
	clusterSeconds      = 3.5
	modifierProbability = 0.3 // that an entry has a modifier, if its kind allows one
	goalFloor           = 0.02
	minDownSeconds      = 0.3 // minDownSeconds and maxDownSeconds bound the "down_s" of the closing fault
	maxDownSeconds      = 2.0
)

// dayGenerator builds one random day.
type dayGenerator struct {
	random *rand.Rand
	day    *drawnDay
}

// drawDay generates a day with random entries of the kinds that the site supports. Entries may overlap,
// and a kind may occur more than once. The day depends only on the seed, the kinds and the shape.
func drawDay(seed uint64, supported kindSet, shape dayShape) *drawnDay {
	d := &dayGenerator{random: rand.New(rand.NewPCG(seed, 41)), day: &drawnDay{seed: seed, shape: shape}}
	d.addEntry(entryKind{kind: "config_change", planned: true, variants: []string{"idle"}}, firstEntryAt)
	d.addControlEntries(supported.filter(controlEntries))
	traffic := supported.filter(trafficEntries)
	for range d.random.IntN(shape.maxTrafficEntries + 1) {
		d.addEntry(drawByWeight(d.random, traffic), d.uniform(firstEntryAt, shape.lastEntryAt))
	}
	d.addConfigurationChanges()
	d.day.closing = d.drawClosing()
	return d.day
}

// addConfigurationChanges adds evenly spaced configuration changes between firstChangeAt and
// lastChangeAt, if the shape has any.
func (d *dayGenerator) addConfigurationChanges() {
	if d.day.shape.changeCount == (span{}) {
		return
	}
	count := math.Round(d.uniform(d.day.shape.changeCount.low, d.day.shape.changeCount.high))
	gap := (lastChangeAt - firstChangeAt) / count
	d.addEntry(entryKind{kind: "config_race", planned: true, count: span{count, count}, gap: span{gap, gap}}, firstChangeAt)
}

// addControlEntries adds control entries, most of them shortly after the previous one.
func (d *dayGenerator) addControlEntries(catalogue []entryKind) {
	shape := d.day.shape
	at := d.uniform(firstEntryAt, shape.lastEntryAt/2)
	for range shape.minControlEntries + d.random.IntN(shape.maxControlEntries-shape.minControlEntries+1) {
		d.addEntry(drawByWeight(d.random, catalogue), at)
		if d.random.Float64() < clusterProbability {
			at = min(at+d.uniform(0, clusterSeconds), shape.lastEntryAt)
		} else {
			at = d.uniform(firstEntryAt, shape.lastEntryAt)
		}
	}
}

// drawByWeight returns a random entry of the catalogue, with a probability proportional to its weight.
// The catalogue must not be empty.
func drawByWeight(random *rand.Rand, catalogue []entryKind) entryKind {
	total := 0
	for _, entry := range catalogue {
		total += entry.weight
	}
	remaining := random.IntN(total)
	for _, entry := range catalogue {
		if remaining -= entry.weight; remaining < 0 {
			return entry
		}
	}
	return catalogue[len(catalogue)-1]
}

// addEntry adds an entry with random values to the plan or the faults of the day. The time is in seconds.
func (d *dayGenerator) addEntry(entry entryKind, at float64) {
	fields := []string{fmt.Sprintf("at = %.2f", at), fmt.Sprintf("kind = %q", entry.kind)}
	if len(entry.classes) > 0 {
		if class := entry.classes[d.random.IntN(len(entry.classes))]; class != "" {
			fields = append(fields, fmt.Sprintf("on = %q", class))
		}
	}
	if how := d.drawVariant(entry); how != "" {
		fields = append(fields, fmt.Sprintf("how = %q", how))
	}
	fields = d.appendNumber(fields, "for_s", entry.duration, 2)
	fields = d.appendNumber(fields, "share", entry.share, 2)
	fields = d.appendNumber(fields, "count", entry.count, 0)
	fields = d.appendNumber(fields, "x", entry.strength, 2)
	fields = d.appendNumber(fields, "gap_s", entry.gap, 2)
	line := "{ " + strings.Join(fields, ", ") + " }"
	if entry.planned {
		d.day.plan = append(d.day.plan, line)
	} else {
		d.day.faults = append(d.day.faults, line)
	}
}

// drawVariant returns a random value for the "how" of an entry, with or without a modifier.
func (d *dayGenerator) drawVariant(entry entryKind) string {
	how := ""
	if len(entry.variants) > 0 {
		how = entry.variants[d.random.IntN(len(entry.variants))]
	}
	if len(entry.modifiers) > 0 && d.random.Float64() < modifierProbability {
		how = strings.TrimSpace(how + " " + entry.modifiers[d.random.IntN(len(entry.modifiers))])
	}
	return how
}

// appendNumber appends a field with a random number within the bounds. It appends nothing for the zero span.
func (d *dayGenerator) appendNumber(fields []string, name string, bounds span, digits int) []string {
	if bounds == (span{}) {
		return fields
	}
	value := d.uniform(bounds.low, bounds.high)
	if digits == 0 {
		return append(fields, fmt.Sprintf("%s = %d", name, int(math.Round(value))))
	}
	return append(fields, fmt.Sprintf("%s = %.*f", name, digits, value))
}

// uniform returns a random number between low and high.
func (d *dayGenerator) uniform(low, high float64) float64 { return low + (high-low)*d.random.Float64() }

// drawClosing returns the line of the day file with a random closing fault, or "" for none.
func (d *dayGenerator) drawClosing() string {
	fault := closings[d.random.IntN(len(closings))]
	if fault.kind == "" {
		return ""
	}
	how := fault.variants[d.random.IntN(len(fault.variants))]
	downSeconds := d.uniform(minDownSeconds, maxDownSeconds)
	if how == "" {
		return fmt.Sprintf("closing = { kind = %q, down_s = %.2f }\n", fault.kind, downSeconds)
	}
	return fmt.Sprintf("closing = { kind = %q, down_s = %.2f, how = %q }\n", fault.kind, downSeconds, how)
}
