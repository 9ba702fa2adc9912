package main

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDrawnDayIsAFunctionOfItsSeed(t *testing.T) {
	c := qt.New(t)
	c.Assert(drawDay(7).text(), qt.Equals, drawDay(7).text())
	c.Assert(drawDay(7).text(), qt.Not(qt.Equals), drawDay(8).text())
}

// Over some hundreds of days every kind of trouble comes, every variant and mark of the
// control side, and some kind more than once on one day.
func TestDrawnDaysHoldEveryTrouble(t *testing.T) {
	c := qt.New(t)
	all, repeated := strings.Builder{}, false
	for seed := range uint64(400) {
		text := drawDay(seed).text()
		all.WriteString(text)
		repeated = repeated || strings.Count(text, `kind = "core_cut"`) > 1
	}
	for _, catalogue := range [][]trouble{controlTroubles, trafficTroubles} {
		for _, entry := range catalogue {
			c.Check(strings.Contains(all.String(), `kind = "`+entry.kind+`"`), qt.IsTrue, qt.Commentf("%s", entry.kind))
			for _, variant := range entry.variants {
				c.Check(strings.Contains(all.String(), `how = "`+variant), qt.IsTrue, qt.Commentf("%s %s", entry.kind, variant))
			}
		}
	}
	c.Check(repeated, qt.IsTrue)
}

func TestDrawnMatrixPlaysEachDayOnEachSite(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	matrix, err := options{sites: []string{"x.toml", "y.toml"}, draw: 2, drawSeed: 5}.matrix(folder)
	c.Assert(err, qt.IsNil)
	var names []string
	for _, p := range matrix {
		names = append(names, p.String())
		_, err := os.Stat(p.day)
		c.Check(err, qt.IsNil)
	}
	c.Assert(names, qt.DeepEquals, []string{"x drawn-5 seed 5", "y drawn-5 seed 5", "x drawn-6 seed 6", "y drawn-6 seed 6"})
}
