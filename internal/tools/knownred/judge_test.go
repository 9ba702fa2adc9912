package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	slowEntry = "test: TestSlow\n" +
		"command: go test -run TestSlow ./internal/lease -seed 12\n" +
		"seen: the lease is late, behind a cut: 3s\n" +
		"issue: 12\n"
	otherEntry = "test: TestOther\ncommand: go test ./internal/other\nseen: a deadlock\nissue: 13\n"
	thirdEntry = "test: TestThird\ncommand: go test ./internal/third\nseen: a wrong sum\nissue: 14\n"
)

var slowFailure = knownFailure{
	test:    "TestSlow",
	command: "go test -run TestSlow ./internal/lease -seed 12",
	seen:    "the lease is late, behind a cut: 3s",
	issue:   "12",
}

func TestListIsRead(t *testing.T) {
	other := knownFailure{test: "TestOther", command: "go test ./internal/other", seen: "a deadlock", issue: "13"}
	third := knownFailure{test: "TestThird", command: "go test ./internal/third", seen: "a wrong sum", issue: "14"}
	for name, list := range map[string]struct {
		text string
		want []knownFailure
	}{
		"empty":                  {"", nil},
		"blank lines only":       {"\n \n\n", nil},
		"one entry":              {slowEntry, []knownFailure{slowFailure}},
		"as many as allowed":     {slowEntry + "\n" + otherEntry + "\n" + thirdEntry, []knownFailure{slowFailure, other, third}},
		"extra blank lines":      {"\n\n" + slowEntry + "\n \t\n\n" + otherEntry + "\n\n", []knownFailure{slowFailure, other}},
		"no newline at the end":  {strings.TrimSuffix(slowEntry, "\n"), []knownFailure{slowFailure}},
		"Windows line ends":      {strings.ReplaceAll(slowEntry+"\n"+otherEntry, "\n", "\r\n"), []knownFailure{slowFailure, other}},
		"trailing blanks":        {strings.ReplaceAll(slowEntry+"\n"+otherEntry, "\n", " \t\n"), []knownFailure{slowFailure, other}},
		"no blank after a colon": {strings.ReplaceAll(otherEntry, ": ", ":"), []knownFailure{other}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			known, err := parseList(list.text)
			c.Assert(err, qt.IsNil)
			c.Assert(known, qt.HasLen, len(list.want))
			for i, failure := range known {
				c.Assert(failure, qt.Equals, list.want[i])
			}
		})
	}
}

func TestListIsRefused(t *testing.T) {
	withLine := func(old, replacement string) string {
		if !strings.Contains(slowEntry, old) {
			t.Fatalf("entry has no line %q", old)
		}
		return strings.Replace(slowEntry, old, replacement, 1)
	}
	const (
		testLine    = "test: TestSlow\n"
		commandLine = "command: go test -run TestSlow ./internal/lease -seed 12\n"
		seenLine    = "seen: the lease is late, behind a cut: 3s\n"
		issueLine   = "issue: 12\n"
	)
	for name, list := range map[string]struct {
		text    string
		message string
	}{
		"four entries": {
			slowEntry + "\n" + otherEntry + "\n" + thirdEntry + "\n" + strings.Replace(otherEntry, "TestOther", "TestFourth", 1),
			`expected at most 3 entries, found 4`,
		},
		"no test":       {withLine(testLine, ""), `line 1: expected label "test:", found "command: go test .*"`},
		"no command":    {withLine(commandLine, ""), `line 2: expected label "command:", found "seen: the lease .*"`},
		"no cause":      {withLine(seenLine, ""), `line 3: expected label "seen:", found "issue: 12"`},
		"no issue":      {withLine(issueLine, ""), `line 4: expected label "issue:", found the end of the entry`},
		"cut short":     {testLine + strings.TrimSuffix(commandLine, "\n"), `line 3: expected label "seen:", found the end of the entry`},
		"empty test":    {withLine(testLine, "test:\n"), `line 1: expected text after "test:", found none`},
		"empty command": {withLine(commandLine, "command:  \n"), `line 2: expected text after "command:", found none`},
		"empty cause":   {withLine(seenLine, "seen: \r\n"), `line 3: expected text after "seen:", found none`},
		"empty issue":   {withLine(issueLine, "issue:"), `line 4: expected text after "issue:", found none`},
		"a pattern":     {withLine("TestSlow\n", "Test.*\n"), `line 1: expected the name of one top-level test, found "Test\.\*"`},
		"a subtest":     {withLine("TestSlow\n", "TestSlow/a\n"), `line 1: expected the name of one top-level test, found "TestSlow/a"`},
		"two names":     {withLine("TestSlow\n", "TestSlow TestB\n"), `line 1: expected the name .*, found "TestSlow TestB"`},
		"unknown label": {withLine("seen:", "cause:"), `line 3: expected label "seen:", found "cause: the lease .*"`},
		"upper case":    {withLine("seen:", "Seen:"), `line 3: expected label "seen:", found "Seen: the lease .*"`},
		"no colon":      {withLine("issue:", "issue"), `line 4: expected label "issue:", found "issue 12"`},
		"label twice":   {withLine(seenLine, seenLine+seenLine), `line 4: expected label "issue:", found "seen: the lease .*"`},
		"last label twice": {
			slowEntry + issueLine, `line 5: expected a blank line after the entry, found "issue: 12"`,
		},
		"test twice": {slowEntry + "\n" + slowEntry, `line 6: expected a test that is not listed yet, found "TestSlow" again`},
		"wrong order": {
			testLine + seenLine + commandLine + issueLine, `line 2: expected label "command:", found "seen: the lease .*"`,
		},
		"blank line in an entry": {
			withLine(seenLine, "\n"+seenLine), `line 3: expected label "seen:", found the end of the entry`,
		},
		"no blank line between": {slowEntry + otherEntry, `line 5: expected a blank line after the entry, found "test: TestOther"`},
		"text in the last block": {
			slowEntry + "and more\n", `line 5: expected a blank line after the entry, found "and more"`,
		},
		"text after the blocks": {slowEntry + "\nand more\n", `line 6: expected label "test:", found "and more"`},
		"old Mac line ends":     {strings.ReplaceAll(slowEntry, "\n", "\r"), `line 1: expected the name of one top-level test, .*`},
		"former form":           {"TestSlow, the lease is late, issue 12\n", `line 1: expected label "test:", found "TestSlow, .*"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseList(list.text)
			qt.Assert(t, err, qt.ErrorMatches, list.message)
		})
	}
}

func TestFailuresAreJudged(t *testing.T) {
	known, err := parseList(slowEntry)
	qt.Assert(t, err, qt.IsNil)
	//nolint:dupword // the output of go test repeats FAIL
	for name, run := range map[string]struct {
		log    string
		status int
		passes bool
	}{
		"all pass": {"ok  \tbeaconvane/a\t0.1s\n", 0, true},
		"known":    {"--- FAIL: TestSlow (0.1s)\n    a_test.go:1: late\nFAIL\nFAIL\tbeaconvane/a\t0.1s\nFAIL\n", 1, true},
		"known, with a subtest": {
			"--- FAIL: TestSlow (0.1s)\n    --- FAIL: TestSlow/part (0.1s)\nFAIL\nFAIL\tbeaconvane/a\t0.1s\nFAIL\n", 1, true,
		},
		"unlisted":           {"--- FAIL: TestSlower (0.1s)\nFAIL\nFAIL\tbeaconvane/a\t0.1s\nFAIL\n", 1, false},
		"known and unlisted": {"--- FAIL: TestSlow (0.1s)\n--- FAIL: TestOther (0.1s)\nFAIL\nFAIL\tbeaconvane/a\t0.1s\n", 1, false},
		"build failed":       {"# beaconvane/a\na.go:1:1: oops\nFAIL\tbeaconvane/a [build failed]\nFAIL\n", 1, false},
		"panic in known":     {"--- FAIL: TestSlow (0.1s)\npanic: oops\nFAIL\tbeaconvane/a\t0.1s\nFAIL\n", 1, false},
		"package fails outside its tests": {
			"--- FAIL: TestSlow (0.1s)\nFAIL\nFAIL\tbeaconvane/a\t0.1s\nFAIL\nFAIL\tbeaconvane/b\t0.1s\nFAIL\n", 1, false,
		},
		"status without output": {"", 1, false},
		"test binary exits":     {"ok  \tbeaconvane/a\t0.1s\nexit status 2\nFAIL\tbeaconvane/b\t0.1s\n", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := judge(known, parseLog(run.log), run.status)
			qt.Assert(t, err == nil, qt.Equals, run.passes, qt.Commentf("%v", err))
		})
	}
}

func TestKnownFailuresArePrinted(t *testing.T) {
	c := qt.New(t)
	known, err := parseList(slowEntry)
	c.Assert(err, qt.IsNil)
	failed := testOutcome{failedTests: []string{"TestSlow"}}
	c.Assert(describe(known[0], failed), qt.Equals, "KNOWN RED: TestSlow: the lease is late, behind a cut: 3s; "+
		"go test -run TestSlow ./internal/lease -seed 12 (issue 12)")
	c.Assert(describe(known[0], testOutcome{}), qt.Contains, "did not fail")
}

// TestRunReadsFiles covers the call from CI: an absent list excuses no failure, a listed failure
// passes, and a malformed list fails even when all tests passed.
func TestRunReadsFiles(t *testing.T) {
	c := qt.New(t)
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	passed := write("passed.log", "ok  \tbeaconvane/a\t0.1s\n")
	//nolint:dupword // the output of go test repeats FAIL
	failed := write("failed.log", "--- FAIL: TestSlow (0.1s)\nFAIL\nFAIL\tbeaconvane/a\t0.1s\nFAIL\n")
	absent := filepath.Join(directory, "absent.txt")
	list := write("list.txt", slowEntry)
	malformed := write("malformed.txt", "TestSlow\n")

	c.Assert(run(absent, passed, 0), qt.IsNil)
	c.Assert(run(absent, failed, 1), qt.ErrorMatches, ".*TestSlow")
	c.Assert(run(list, failed, 1), qt.IsNil)
	c.Assert(run(malformed, passed, 0), qt.ErrorMatches, `.*malformed\.txt: line 1: .*`)
	c.Assert(run(list, filepath.Join(directory, "absent.log"), 0), qt.IsNotNil)
}
