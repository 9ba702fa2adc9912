package main

import (
	"fmt"
	"regexp"
	"strings"
)

// maxKnownFailures is the largest number of entries in the list; a low bound keeps the check strict.
const maxKnownFailures = 3

// knownFailure is one entry of the list.
type knownFailure struct {
	test    string // name of a top-level test
	command string // command that shows the failure, with its seed if the test has one
	seen    string // what was observed when the test failed
	issue   string // issue that tracks the repair
}

// entryLabels are the labels of an entry's lines, in their order.
var entryLabels = []string{"test", "command", "seen", "issue"}

// testOutcome holds the failures reported in the output of one `go test` run.
type testOutcome struct {
	failedTests   []string // top-level tests, in order
	otherFailures []string // failures that belong to no test: builds, panics, packages that fail outside their tests
}

var (
	testName       = regexp.MustCompile(`^Test\w+$`)
	failedTest     = regexp.MustCompile(`^--- FAIL: (Test\w+)`)
	packageLine    = regexp.MustCompile(`^(ok  |FAIL|\?   )\t(\S+)`)
	nonTestFailure = regexp.MustCompile(`^(panic: |fatal error: |signal: |exit status \d+$|FAIL\t.*\[(build|setup) failed\])`)
)

// parseList reads the list of known failures. An entry is a block of four labelled lines, in this
// order; blank lines separate the entries:
//
//	test: TestSlow
//	command: go test -run TestSlow ./internal/lease -seed 12
//	seen: the lease is late, behind a cut
//	issue: 12
//
// Blanks around a line and around a value are ignored, and so are the carriage returns of Windows line ends.
func parseList(text string) ([]knownFailure, error) {
	known := []knownFailure{}
	listed := map[string]bool{}
	values := []string{} // values of the current entry, in the order of entryLabels
	for index, line := range strings.Split(text+"\n", "\n") {
		line = strings.TrimSpace(line)
		complete := len(values) == len(entryLabels)
		if line == "" && (complete || len(values) == 0) {
			values = values[:0]
			continue
		}
		if complete {
			return nil, fmt.Errorf("line %d: expected a blank line after the entry, found %q", index+1, line)
		}
		value, err := parseLine(line, entryLabels[len(values)])
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", index+1, err)
		}
		if len(values) == 0 && listed[value] {
			return nil, fmt.Errorf("line %d: expected a test that is not listed yet, found %q again", index+1, value)
		}
		values = append(values, value)
		if len(values) == len(entryLabels) {
			known = append(known, knownFailure{test: values[0], command: values[1], seen: values[2], issue: values[3]})
			listed[values[0]] = true
		}
	}
	if len(known) > maxKnownFailures {
		return nil, fmt.Errorf("expected at most %d entries, found %d", maxKnownFailures, len(known))
	}
	return known, nil
}

// parseLine returns the value of a line that must carry the given label. The value may hold commas and colons.
func parseLine(line, label string) (string, error) {
	if line == "" {
		return "", fmt.Errorf("expected label %q, found the end of the entry", label+":")
	}
	value, labelled := strings.CutPrefix(line, label+":")
	if !labelled {
		return "", fmt.Errorf("expected label %q, found %q", label+":", line)
	}
	value = strings.TrimSpace(value)
	if value == "" {
		return "", fmt.Errorf("expected text after %q, found none", label+":")
	}
	if label == "test" && !testName.MatchString(value) {
		return "", fmt.Errorf("expected the name of one top-level test, found %q", value)
	}
	return value, nil
}

// parseLog reads the output of `go test` without -json. There the output of a package is contiguous
// and ends with the line that gives the package's result.
func parseLog(text string) testOutcome {
	outcome := testOutcome{}
	failuresOfPackage := 0
	for _, line := range strings.Split(text, "\n") {
		if match := failedTest.FindStringSubmatch(line); match != nil {
			outcome.failedTests = append(outcome.failedTests, match[1])
			failuresOfPackage++
			continue
		}
		if nonTestFailure.MatchString(line) {
			outcome.otherFailures = append(outcome.otherFailures, line)
			continue
		}
		match := packageLine.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		if match[1] == "FAIL" && failuresOfPackage == 0 {
			outcome.otherFailures = append(outcome.otherFailures, match[2]+" failed outside its tests")
		}
		failuresOfPackage = 0
	}
	return outcome
}

// describe returns the line to print for a known failure, which tells whether it failed in this run.
func describe(failure knownFailure, outcome testOutcome) string {
	for _, failed := range outcome.failedTests {
		if failed == failure.test {
			return fmt.Sprintf("KNOWN RED: %s: %s; %s (issue %s)", failure.test, failure.seen, failure.command, failure.issue)
		}
	}
	return fmt.Sprintf("KNOWN RED, did not fail in this run: %s (issue %s)", failure.test, failure.issue)
}

// judge returns an error unless every failure in the outcome is a known one. The status is the exit
// status of `go test`: if it is not zero, the outcome must hold a failed test that explains it.
func judge(known []knownFailure, outcome testOutcome, status int) error {
	listed := map[string]bool{}
	for _, failure := range known {
		listed[failure.test] = true
	}
	unlisted := append([]string{}, outcome.otherFailures...)
	for _, failed := range outcome.failedTests {
		if !listed[failed] {
			unlisted = append(unlisted, failed)
		}
	}
	if len(unlisted) > 0 {
		return fmt.Errorf("expected only known failures, found: %s", strings.Join(unlisted, "; "))
	}
	if status != 0 && len(outcome.failedTests) == 0 {
		return fmt.Errorf("go test exited with status %d: expected at least one failed test in its output, found none", status)
	}
	return nil
}
