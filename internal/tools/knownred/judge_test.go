package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const oneKnown = "TestSlow, the lease is late, behind a cut, issue 12\n"

func TestListIsRead(t *testing.T) {
	c := qt.New(t)
	known, err := parseList(oneKnown)
	c.Assert(err, qt.IsNil)
	c.Assert(known, qt.HasLen, 1)
	c.Assert(known[0], qt.Equals, knownFailure{test: "TestSlow", cause: "the lease is late, behind a cut", issue: "issue 12"})
}

func TestListIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"four lines": oneKnown + oneKnown + oneKnown + oneKnown,
		"no issue":   "TestSlow, the lease is late",
		"no cause":   "TestSlow, , issue 12",
		"a pattern":  "Test.*, all of them, issue 12",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseList(text)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

func TestFailuresAreJudged(t *testing.T) {
	known, err := parseList(oneKnown)
	qt.Assert(t, err, qt.IsNil)
	//nolint:dupword // the output of go test repeats FAIL
	for name, run := range map[string]struct {
		log    string
		status int
		passes bool
	}{
		"all pass": {"ok  \tbeaconvane/a\t0.1s\n", 0, true},
		"known":    {"--- FAIL: TestSlow (0.1s)\n    a_test.go:1: late\nFAIL\nFAIL\tbeaconvane/a\t0.1s\nFAIL\n", 1, true},
		"known, with parts": {
			"--- FAIL: TestSlow (0.1s)\n    --- FAIL: TestSlow/part (0.1s)\nFAIL\nFAIL\tbeaconvane/a\t0.1s\nFAIL\n", 1, true,
		},
		"another":           {"--- FAIL: TestSlower (0.1s)\nFAIL\nFAIL\tbeaconvane/a\t0.1s\nFAIL\n", 1, false},
		"known and another": {"--- FAIL: TestSlow (0.1s)\n--- FAIL: TestOther (0.1s)\nFAIL\nFAIL\tbeaconvane/a\t0.1s\n", 1, false},
		"build failed":      {"# beaconvane/a\na.go:1:1: oops\nFAIL\tbeaconvane/a [build failed]\nFAIL\n", 1, false},
		"panic in known":    {"--- FAIL: TestSlow (0.1s)\npanic: oops\nFAIL\tbeaconvane/a\t0.1s\nFAIL\n", 1, false},
		"outside the tests": {
			"--- FAIL: TestSlow (0.1s)\nFAIL\nFAIL\tbeaconvane/a\t0.1s\nFAIL\nFAIL\tbeaconvane/b\t0.1s\nFAIL\n", 1, false,
		},
		"nothing is told":    {"", 1, false},
		"exits in a package": {"ok  \tbeaconvane/a\t0.1s\nexit status 2\nFAIL\tbeaconvane/b\t0.1s\n", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := judge(known, parseLog(run.log), run.status)
			qt.Assert(t, err == nil, qt.Equals, run.passes, qt.Commentf("%v", err))
		})
	}
}

func TestKnownFailuresArePrinted(t *testing.T) {
	c := qt.New(t)
	known, err := parseList(oneKnown)
	c.Assert(err, qt.IsNil)
	failed := testOutcome{failedTests: []string{"TestSlow"}}
	c.Assert(describe(known[0], failed), qt.Equals, "KNOWN RED: TestSlow: the lease is late, behind a cut (issue 12)")
	c.Assert(describe(known[0], testOutcome{}), qt.Contains, "did not fail")
}
