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

// writeFile writes a file into a folder of the test and returns its path.
func writeFile(c *qt.C, folder, name, content string, mode os.FileMode) string {
	path := filepath.Join(folder, name)
	c.Assert(os.WriteFile(path, []byte(content), mode), qt.IsNil)
	return path
}

// fakeBench writes a shell script that checks the arguments of the bench and writes a report with the
// given content. Without content the script writes no report and exits with status 3.
func fakeBench(c *qt.C, content string) string {
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

const passingReport = `{"G": 0.687, "served": 0.945, "fault": null, "short": [], "breaks": {}, "missed": ["usage"],
	"times": {"config acked": [27, 9000], "next ack after a core kill": [100, 2300], "serving after all were killed": null}}`

func TestMatrixListsEverySiteDayAndSeed(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	for _, name := range []string{"b.toml", "a.toml", "c.toml", "notes.md"} {
		writeFile(c, folder, name, "", 0o644)
	}
	matrix, err := options{
		dayFolder: folder, namePrefixes: []string{"a", "c"}, seeds: "1, 7", sites: []string{"x.toml", "y.toml"},
	}.matrix("")
	c.Assert(err, qt.IsNil)
	var names []string
	for _, p := range matrix {
		names = append(names, p.String())
	}
	c.Assert(names, qt.DeepEquals, []string{"x a seed 1", "x a seed 7", "x c seed 1", "x c seed 7",
		"y a seed 1", "y a seed 7", "y c seed 1", "y c seed 7"})
}

func TestMatrixRejectsInvalidOptions(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	writeFile(c, folder, "a.toml", "", 0o644)
	_, err := options{dayFolder: folder, seeds: "one"}.matrix("")
	c.Assert(err, qt.ErrorMatches, `seed "one" is not a number`)
	_, err = options{dayFolder: folder, namePrefixes: []string{"z"}, seeds: "1"}.matrix("")
	c.Assert(err, qt.ErrorMatches, `no day files in .* match the name prefixes \["z"\]`)
}

func TestGateOfReports(t *testing.T) {
	c := qt.New(t)
	for content, gate := range map[string]string{
		passingReport:                      "passed",
		`{"breaks": {"TWICE": 2}}`:         "broken",
		`{"fault": "a program ended"}`:     `fault "a program ended"`,
		`{"short": [["whole day", 0.2]]}`:  "short",
		`{"fault": null, "short": null}`:   "passed",
		`{"breaks": {"A": 1}, "fault": 1}`: "broken",
	} {
		parsed, err := readReport(writeFile(c, c.TempDir(), "report.json", content, 0o644))
		c.Assert(err, qt.IsNil)
		c.Check(parsed.gate(), qt.Equals, gate, qt.Commentf(content))
		c.Check(parsed.failed(), qt.Equals, gate != "passed")
	}
}

func TestSlowestRecovery(t *testing.T) {
	c := qt.New(t)
	parsed, err := readReport(writeFile(c, c.TempDir(), "report.json", passingReport, 0o644))
	c.Assert(err, qt.IsNil)
	c.Check(parsed.slowestRecovery(), qt.Equals, "2300 ms")
	c.Check(report{}.slowestRecovery(), qt.Equals, "-")
}

// runCommand plays one day on two sites with the given bench, and returns the printed table and the error.
func runCommand(c *qt.C, benchPath string, jobs string) (string, error) {
	folder := c.TempDir()
	writeFile(c, folder, "cut.toml", "", 0o644)
	firstSite := writeFile(c, c.TempDir(), "one.toml", "", 0o644)
	secondSite := writeFile(c, c.TempDir(), "two.toml", "", 0o644)
	var out bytes.Buffer
	command := newCommand()
	command.SetOut(&out)
	command.SetErr(&bytes.Buffer{})
	command.SetArgs([]string{"--bench", benchPath, "--site", firstSite, "--site", secondSite, "--days", folder,
		"--seeds", "3", "--jobs", jobs, "--why", "test", "--reports", c.TempDir()})
	err := command.Execute()
	return out.String(), err
}

func TestTableOfPassingPlays(t *testing.T) {
	c := qt.New(t)
	table, err := runCommand(c, fakeBench(c, passingReport), "2")
	c.Assert(err, qt.IsNil)
	lines := strings.Split(strings.TrimSpace(table), "\n")
	c.Assert(lines, qt.HasLen, 3)
	c.Check(strings.Fields(lines[1]), qt.DeepEquals, []string{"one", "cut", "3", "none", "passed", "0.687", "0.945", "1", "2300", "ms"})
	c.Check(strings.Fields(lines[2])[0], qt.Equals, "two")
}

func TestBrokenRuleFailsCommand(t *testing.T) {
	c := qt.New(t)
	table, err := runCommand(c, fakeBench(c, `{"breaks": {"CONFIG": 2}}`), "1")
	c.Check(err, qt.ErrorMatches, "2 of 2 plays failed or were not played")
	c.Check(table, qt.Contains, "CONFIG 2")
}

func TestMissingReportFailsCommand(t *testing.T) {
	c := qt.New(t)
	table, err := runCommand(c, fakeBench(c, ""), "1")
	c.Check(err, qt.IsNotNil)
	c.Check(table, qt.Contains, "not played: no report")
}

func TestStaleReportIsNotReused(t *testing.T) {
	c := qt.New(t)
	reports := c.TempDir()
	site := writeFile(c, c.TempDir(), "one.toml", "", 0o644)
	day := writeFile(c, c.TempDir(), "cut.toml", "", 0o644)
	writeFile(c, reports, "one-cut-3.json", passingReport, 0o644)
	runner := &benchRunner{path: fakeBench(c, ""), journalNote: "test", reportFolder: reports}
	outcome := runner.play(play{site: site, day: day, seed: 3})
	c.Check(outcome.err, qt.IsNotNil)
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
	runner := &benchRunner{}
	runner.waitForStart()
	firstStart := runner.lastStart
	runner.waitForStart()
	c.Check(runner.lastStart.Sub(firstStart) >= startSpacing, qt.IsTrue)
}
