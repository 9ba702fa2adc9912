package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// drawnDay is a day that was drawn from a seed: the entries of its plan, its faults, and the fault with
// which it ends, all in the form of the day files.
type drawnDay struct {
	seed    uint64
	plan    []string
	faults  []string
	closing string
	shape   drawnShape
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
