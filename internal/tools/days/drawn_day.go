package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// drawnDay is a random day. Its plan, its faults and its closing fault are lines in the syntax of the
// day files.
type drawnDay struct {
	seed    uint64
	plan    []string
	faults  []string
	closing string
	shape   dayShape
}

// name returns the name of the day, which is also part of the file name.
func (d *drawnDay) name() string {
	if d.shape == longDay {
		return fmt.Sprintf("drawn-long-%d", d.seed)
	}
	return fmt.Sprintf("drawn-%d", d.seed)
}

// extraFlags returns the flags, besides the seed, that reproduce the day on the command line.
func (d *drawnDay) extraFlags() string {
	if d.shape == longDay {
		return " --long"
	}
	return ""
}

// text returns the day file for the bench.
func (d *drawnDay) text() string {
	text := strings.Builder{}
	fmt.Fprintf(&text, "# Drawn by `days --draw-seed %d --draw 1%s`.\n[[day]]\nname = %q\nslot = \"trouble\"\nseed = %d\nlength_s = %.1f\n",
		d.seed, d.extraFlags(), d.name(), d.seed, d.shape.seconds)
	text.WriteString(d.closing)
	fmt.Fprintf(&text, "goal = { floor = %g }\n", goalFloor)
	fmt.Fprintf(&text, "plan = [\n  %s,\n]\n", strings.Join(d.plan, ",\n  "))
	fmt.Fprintf(&text, "faults = [\n  %s,\n]\n", strings.Join(d.faults, ",\n  "))
	return text.String()
}

// drawDays generates days for a site from consecutive seeds, writes them into a folder and returns
// the paths of the files.
func drawDays(folder, site string, supported kindSet, shape dayShape, firstSeed uint64, count int) ([]string, error) {
	paths := []string{}
	for seed := firstSeed; seed < firstSeed+uint64(count); seed++ {
		day := drawDay(seed, supported, shape)
		path := filepath.Join(folder, baseName(site)+"-"+day.name()+".toml")
		if err := os.WriteFile(path, []byte(day.text()), 0o644); err != nil {
			return nil, err
		}
		paths = append(paths, path)
	}
	return paths, nil
}
