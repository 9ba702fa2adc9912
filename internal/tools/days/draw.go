package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
)

// This file draws random days: troubles of every kind at random moments, several at once
// and the same one more than once. A day is a function of its seed.

// drawnShape is how long a drawn day is and how much happens on it.
type drawnShape struct {
	seconds       float64
	lastTroubleAt float64
	fewestControl int
	mostControl   int
	mostTraffic   int
	changes       span // of the configuration, one after the other; none for the zero span
}

// usualDay is as long as the sites' own days; longDay holds hundreds of changes.
var (
	usualDay = drawnShape{seconds: 32, lastTroubleAt: 27, fewestControl: 4, mostControl: 9, mostTraffic: 5}
	longDay  = drawnShape{seconds: 100, lastTroubleAt: 92, fewestControl: 10, mostControl: 20, mostTraffic: 8, changes: span{100, 300}}
)

// Bounds of a drawn day.
const (
	firstTroubleAt     = 1.5
	changesFrom        = 3.0
	changesUntil       = 85.0
	clusteredShare     = 0.6 // of the control troubles follow another within clusterSeconds
	clusterSeconds     = 3.5
	markShare          = 0.3 // of the entries that may bear a mark
	drawnFloor         = 0.02
	shortestDownSecond = 0.3
	longestDownSecond  = 2.0
)

// drawnDay is a day made from a seed.
type drawnDay struct {
	seed    uint64
	plan    []string
	faults  []string
	closing string
	shape   drawnShape
}

// drawer makes the random choices of one day.
type drawer struct {
	random *rand.Rand
	day    *drawnDay
}

// drawDay makes the day of a seed from the kinds that a site knows.
func drawDay(seed uint64, known kinds, shape drawnShape) *drawnDay {
	d := &drawer{random: rand.New(rand.NewPCG(seed, 41)), day: &drawnDay{seed: seed, shape: shape}}
	d.add(trouble{kind: "config_change", planned: true, variants: []string{"idle"}}, firstTroubleAt)
	d.addControl(known.among(controlTroubles))
	traffic := known.among(trafficTroubles)
	for range d.random.IntN(shape.mostTraffic + 1) {
		d.add(pick(d.random, traffic), d.between(firstTroubleAt, shape.lastTroubleAt))
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
	d.add(trouble{kind: "config_race", planned: true, count: span{count, count}, gap: span{gap, gap}}, changesFrom)
}

// addControl adds troubles of the control side, most of them close behind another.
func (d *drawer) addControl(catalogue []trouble) {
	shape := d.day.shape
	at := d.between(firstTroubleAt, shape.lastTroubleAt/2)
	for range shape.fewestControl + d.random.IntN(shape.mostControl-shape.fewestControl+1) {
		d.add(pick(d.random, catalogue), at)
		if d.random.Float64() < clusteredShare {
			at = min(at+d.between(0, clusterSeconds), shape.lastTroubleAt)
		} else {
			at = d.between(firstTroubleAt, shape.lastTroubleAt)
		}
	}
}

// pick draws from a catalogue by weight.
func pick(random *rand.Rand, catalogue []trouble) trouble {
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
func (d *drawer) add(entry trouble, at float64) {
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
func (d *drawer) variant(entry trouble) string {
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

// name is the day's name and that of its file.
func (d *drawnDay) name() string {
	if d.shape == longDay {
		return fmt.Sprintf("drawn-long-%d", d.seed)
	}
	return fmt.Sprintf("drawn-%d", d.seed)
}

// flag is what else the command line has that draws the day.
func (d *drawnDay) flag() string {
	if d.shape == longDay {
		return " --long"
	}
	return ""
}

// text is the day as a file for the bench.
func (d *drawnDay) text() string {
	text := strings.Builder{}
	fmt.Fprintf(&text, "# Drawn by `days --draw-seed %d --draw 1%s`.\n[[day]]\nname = %q\nslot = \"trouble\"\nseed = %d\nlength_s = %.1f\n",
		d.seed, d.flag(), d.name(), d.seed, d.shape.seconds)
	text.WriteString(d.closing)
	fmt.Fprintf(&text, "goal = { floor = %g }\n", drawnFloor)
	fmt.Fprintf(&text, "plan = [\n  %s,\n]\n", strings.Join(d.plan, ",\n  "))
	fmt.Fprintf(&text, "faults = [\n  %s,\n]\n", strings.Join(d.faults, ",\n  "))
	return text.String()
}

// drawDays writes a site's days of consecutive seeds into a folder and lists the files.
func drawDays(folder, site string, known kinds, shape drawnShape, firstSeed uint64, count int) ([]string, error) {
	paths := []string{}
	for seed := firstSeed; seed < firstSeed+uint64(count); seed++ {
		day := drawDay(seed, known, shape)
		path := filepath.Join(folder, baseName(site)+"-"+day.name()+".toml")
		if err := os.WriteFile(path, []byte(day.text()), 0o644); err != nil {
			return nil, err
		}
		paths = append(paths, path)
	}
	return paths, nil
}
