package main

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// allKinds are the kinds of both catalogues.
func allKinds() kinds {
	known := kinds{}
	for _, catalogue := range [][]entryKind{controlEntries, trafficEntries} {
		for _, entry := range catalogue {
			known[entry.kind] = true
		}
	}
	return known
}

func TestDrawnDayIsAFunctionOfItsSeed(t *testing.T) {
	c := qt.New(t)
	known := allKinds()
	c.Assert(drawDay(7, known, usualDay).text(), qt.Equals, drawDay(7, known, usualDay).text())
	c.Assert(drawDay(7, known, usualDay).text(), qt.Not(qt.Equals), drawDay(8, known, usualDay).text())
}

func TestDrawnDaysHaveOnlyKindsThatTheSiteKnows(t *testing.T) {
	c := qt.New(t)
	known := allKinds()
	delete(known, "core_cut")
	delete(known, "srv_grey")
	for seed := range uint64(100) {
		text := drawDay(seed, known, usualDay).text()
		c.Assert(strings.Contains(text, "core_cut") || strings.Contains(text, "srv_grey"), qt.IsFalse)
	}
}

// Over some hundreds of days every kind of entry comes, every variant and mark of the
// control side, and some kind more than once on one day.
func TestDrawnDaysHaveEveryKind(t *testing.T) {
	c := qt.New(t)
	all, repeated, known := strings.Builder{}, false, allKinds()
	for seed := range uint64(400) {
		text := drawDay(seed, known, usualDay).text()
		all.WriteString(text)
		repeated = repeated || strings.Count(text, `kind = "core_cut"`) > 1
	}
	for _, catalogue := range [][]entryKind{controlEntries, trafficEntries} {
		for _, entry := range catalogue {
			c.Check(strings.Contains(all.String(), `kind = "`+entry.kind+`"`), qt.IsTrue, qt.Commentf("%s", entry.kind))
			for _, variant := range entry.variants {
				c.Check(strings.Contains(all.String(), `how = "`+variant), qt.IsTrue, qt.Commentf("%s %s", entry.kind, variant))
			}
		}
	}
	c.Check(repeated, qt.IsTrue)
}

func TestLongDaysHaveHundredsOfChanges(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		text := drawDay(seed, allKinds(), longDay).text()
		c.Assert(strings.Contains(text, "length_s = 100.0"), qt.IsTrue)
		c.Assert(strings.Contains(text, `at = 3.00, kind = "config_race", count = `), qt.IsTrue)
	}
}

func TestDrawnMatrixPlaysEachDayOnEachSite(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	script := "#!/bin/sh\n[ \"$1\" = kinds ] || exit 2\necho 'core_cut: cut'\necho 'node_kill: killed'\n"
	bench := writeFile(c, c.TempDir(), "bench", script, 0o755)
	matrix, err := options{bench: bench, sites: []string{"x.toml", "y.toml"}, draw: 2, drawSeed: 5}.matrix(folder)
	c.Assert(err, qt.IsNil)
	var names []string
	for _, p := range matrix {
		names = append(names, p.String())
		_, err := os.Stat(p.day)
		c.Check(err, qt.IsNil)
	}
	c.Assert(names, qt.DeepEquals, []string{"x x-drawn-5 seed 5", "y y-drawn-5 seed 5", "x x-drawn-6 seed 6", "y y-drawn-6 seed 6"})
}
