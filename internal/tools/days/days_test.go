package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// writeFile puts a file into a folder of the test's own.
func writeFile(c *qt.C, folder, name, content string, mode os.FileMode) string {
	path := filepath.Join(folder, name)
	c.Assert(os.WriteFile(path, []byte(content), mode), qt.IsNil)
	return path
}

// standInBench is a program that takes the bench's arguments and writes a report with the
// given content; without content it writes none and fails.
func standInBench(c *qt.C, content string) string {
	script := `#!/bin/sh
[ "$1" = run ] && [ -f "$2" ] && [ -f "$3" ] || exit 2
shift 3
while [ $# -gt 0 ]; do
	case "$1" in --report) report=$2 ;; esac
	shift 2
done
echo played
`
	if content == "" {
		script += "exit 3\n"
	} else {
		script += "cat > \"$report\" <<'END'\n" + content + "\nEND\n"
	}
	return writeFile(c, c.TempDir(), "bench", script, 0o755)
}

const goodReport = `{"G": 0.687, "served": 0.945, "fault": null, "short": [], "breaks": {}, "missed": ["usage"],
	"times": {"config acked": [27, 9000], "next ack after a core kill": [100, 2300], "serving after all were killed": null}}`

func TestMatrixHoldsEverySiteDayAndSeed(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	for _, name := range []string{"b.toml", "a.toml", "c.toml", "notes.md"} {
		writeFile(c, folder, name, "", 0o644)
	}
	matrix, err := options{folder: folder, only: []string{"a", "c"}, seeds: "1, 7", sites: []string{"x.toml", "y.toml"}}.matrix("")
	c.Assert(err, qt.IsNil)
	var names []string
	for _, p := range matrix {
		names = append(names, p.String())
	}
	c.Assert(names, qt.DeepEquals, []string{"x a seed 1", "x a seed 7", "x c seed 1", "x c seed 7",
		"y a seed 1", "y a seed 7", "y c seed 1", "y c seed 7"})
}

func TestMatrixIsRefused(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	writeFile(c, folder, "a.toml", "", 0o644)
	_, err := options{folder: folder, seeds: "one"}.matrix("")
	c.Assert(err, qt.ErrorMatches, `seed "one" is not a number`)
	_, err = options{folder: folder, only: []string{"z"}, seeds: "1"}.matrix("")
	c.Assert(err, qt.ErrorMatches, "no day files in .*")
}

func TestWhatCountsAsBroken(t *testing.T) {
	c := qt.New(t)
	for content, gate := range map[string]string{
		goodReport:                         "passed",
		`{"breaks": {"TWICE": 2}}`:         "broken",
		`{"fault": "a program ended"}`:     `fault "a program ended"`,
		`{"short": [["whole day", 0.2]]}`:  "short",
		`{"fault": null, "short": null}`:   "passed",
		`{"breaks": {"A": 1}, "fault": 1}`: "broken",
	} {
		read, err := readReport(writeFile(c, c.TempDir(), "report.json", content, 0o644))
		c.Assert(err, qt.IsNil)
		c.Check(read.gate(), qt.Equals, gate, qt.Commentf(content))
		c.Check(read.broke(), qt.Equals, gate != "passed")
	}
}

func TestSlowestRecovery(t *testing.T) {
	c := qt.New(t)
	read, err := readReport(writeFile(c, c.TempDir(), "report.json", goodReport, 0o644))
	c.Assert(err, qt.IsNil)
	c.Check(read.slowestRecovery(), qt.Equals, "2300 ms")
	c.Check(report{}.slowestRecovery(), qt.Equals, "-")
}

// run plays one day on two sites with the given bench and returns table and error.
func run(c *qt.C, benchPath string, jobs string) (string, error) {
	folder := c.TempDir()
	writeFile(c, folder, "cut.toml", "", 0o644)
	one := writeFile(c, c.TempDir(), "one.toml", "", 0o644)
	two := writeFile(c, c.TempDir(), "two.toml", "", 0o644)
	var out bytes.Buffer
	command := newCommand()
	command.SetOut(&out)
	command.SetErr(&bytes.Buffer{})
	command.SetArgs([]string{"--bench", benchPath, "--site", one, "--site", two, "--days", folder,
		"--seeds", "3", "--jobs", jobs, "--why", "test", "--reports", c.TempDir()})
	err := command.Execute()
	return out.String(), err
}

func TestTableOfGoodPlays(t *testing.T) {
	c := qt.New(t)
	table, err := run(c, standInBench(c, goodReport), "2")
	c.Assert(err, qt.IsNil)
	lines := strings.Split(strings.TrimSpace(table), "\n")
	c.Assert(lines, qt.HasLen, 3)
	c.Check(strings.Fields(lines[1]), qt.DeepEquals, []string{"one", "cut", "3", "none", "passed", "0.687", "0.945", "1", "2300", "ms"})
	c.Check(strings.Fields(lines[2])[0], qt.Equals, "two")
}

func TestABrokenRuleFailsTheCommand(t *testing.T) {
	c := qt.New(t)
	table, err := run(c, standInBench(c, `{"breaks": {"CONFIG": 2}}`), "1")
	c.Check(err, qt.ErrorMatches, "2 of 2 plays broke something or were not played")
	c.Check(table, qt.Contains, "CONFIG 2")
}

func TestAPlayWithoutAReportIsNoPass(t *testing.T) {
	c := qt.New(t)
	table, err := run(c, standInBench(c, ""), "1")
	c.Check(err, qt.IsNotNil)
	c.Check(table, qt.Contains, "not played: no report")
}

func TestAnOlderReportIsNotTakenForANewOne(t *testing.T) {
	c := qt.New(t)
	reports := c.TempDir()
	site := writeFile(c, c.TempDir(), "one.toml", "", 0o644)
	day := writeFile(c, c.TempDir(), "cut.toml", "", 0o644)
	writeFile(c, reports, "one-cut-3.json", goodReport, 0o644)
	player := &bench{path: standInBench(c, ""), why: "test", reports: reports}
	played := player.play(play{site: site, day: day, seed: 3})
	c.Check(played.err, qt.IsNotNil)
}

func TestResultsKeepTheOrderOfTheMatrix(t *testing.T) {
	c := qt.New(t)
	matrix := []play{{seed: 1}, {seed: 2}, {seed: 3}, {seed: 4}}
	failed := errors.New("failed")
	results := playAll(matrix, 3, func(p play) result { return result{play: p, err: failed} }, &bytes.Buffer{})
	for index, r := range results {
		c.Check(r.play, qt.Equals, matrix[index])
		c.Check(r.err, qt.Equals, failed)
	}
}

func TestStartsAreSpaced(t *testing.T) {
	c := qt.New(t)
	player := &bench{}
	player.waitForStart()
	first := player.lastStart
	player.waitForStart()
	c.Check(player.lastStart.Sub(first) >= startSpacing, qt.IsTrue)
}
