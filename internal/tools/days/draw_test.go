package main

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// allKinds returns the kinds of both catalogues.
func allKinds() kindSet {
	known := kindSet{}
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
	c.Assert(drawDay(7, known, standardDay).text(), qt.Equals, drawDay(7, known, standardDay).text())
	c.Assert(drawDay(7, known, standardDay).text(), qt.Not(qt.Equals), drawDay(8, known, standardDay).text())
}

func TestDrawnDaysHaveOnlyKindsOfTheSite(t *testing.T) {
	c := qt.New(t)
	known := allKinds()
	delete(known, "core_cut")
	delete(known, "srv_grey")
	for seed := range uint64(100) {
		text := drawDay(seed, known, standardDay).text()
		c.Assert(strings.Contains(text, "core_cut") || strings.Contains(text, "srv_grey"), qt.IsFalse)
	}
}

// TestDrawnDaysHaveEveryKind checks that 400 random days include every kind of entry with each of its
// variants, and that at least one day has several core_cut entries.
func TestDrawnDaysHaveEveryKind(t *testing.T) {
	c := qt.New(t)
	allText, repeated, known := strings.Builder{}, false, allKinds()
	for seed := range uint64(400) {
		text := drawDay(seed, known, standardDay).text()
		allText.WriteString(text)
		repeated = repeated || strings.Count(text, `kind = "core_cut"`) > 1
	}
	for _, catalogue := range [][]entryKind{controlEntries, trafficEntries} {
		for _, entry := range catalogue {
			c.Check(strings.Contains(allText.String(), `kind = "`+entry.kind+`"`), qt.IsTrue, qt.Commentf("%s", entry.kind))
			for _, variant := range entry.variants {
				c.Check(strings.Contains(allText.String(), `how = "`+variant), qt.IsTrue, qt.Commentf("%s %s", entry.kind, variant))
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
	matrix, err := options{bench: bench, sites: []string{"x.toml", "y.toml"}, randomDays: 2, firstSeed: 5}.matrix(folder)
	c.Assert(err, qt.IsNil)
	var names []string
	for _, p := range matrix {
		names = append(names, p.String())
		_, err := os.Stat(p.day)
		c.Check(err, qt.IsNil)
	}
	c.Assert(names, qt.DeepEquals, []string{"x x-drawn-5 seed 5", "y y-drawn-5 seed 5", "x x-drawn-6 seed 6", "y y-drawn-6 seed 6"})
}
