package main

import (
	"fmt"
	"regexp"
	"strings"
)

// maxKnown is the most lines that the list may have.
const maxKnown = 3

// knownFailure is one line of the list: a test, why it fails, and the issue that will mend it.
type knownFailure struct {
	test  string
	cause string
	issue string
}

// testOutcome is what the output of one `go test` run says.
type testOutcome struct {
	failedTests []string // top-level tests, in order
	otherFaults []string // failures that no test accounts for: builds, panics, whole packages
}

var (
	testName     = regexp.MustCompile(`^Test\w+$`)
	failedTest   = regexp.MustCompile(`^--- FAIL: (Test\w+)`)
	packageLine  = regexp.MustCompile(`^(ok  |FAIL|\?   )\t(\S+)`)
	crashedPhase = regexp.MustCompile(`^(panic: |fatal error: |signal: |exit status \d+$|FAIL\t.*\[(build|setup) failed\])`)
)

// parseList reads lines of the form "test, cause, issue".
func parseList(text string) ([]knownFailure, error) {
	known := []knownFailure{}
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		failure, err := parseLine(line)
		if err != nil {
			return nil, err
		}
		known = append(known, failure)
	}
	if len(known) > maxKnown {
		return nil, fmt.Errorf("%d tests are listed, %d at most may be", len(known), maxKnown)
	}
	return known, nil
}

// parseLine reads one line; the cause may hold commas.
func parseLine(line string) (knownFailure, error) {
	name, rest, _ := strings.Cut(line, ",")
	last := strings.LastIndex(rest, ",")
	if !testName.MatchString(name) || last < 0 {
		return knownFailure{}, fmt.Errorf("want %q, have %q", "test, cause, issue", line)
	}
	cause := strings.TrimSpace(rest[:last])
	issue := strings.TrimSpace(rest[last+1:])
	if cause == "" || issue == "" {
		return knownFailure{}, fmt.Errorf("cause or issue is missing: %q", line)
	}
	return knownFailure{test: name, cause: cause, issue: issue}, nil
}

// parseLog reads plain `go test` output, in which the output of a package comes together and ends
// with the package's own line.
func parseLog(text string) testOutcome {
	outcome := testOutcome{}
	failuresOfPackage := 0
	for _, line := range strings.Split(text, "\n") {
		if match := failedTest.FindStringSubmatch(line); match != nil {
			outcome.failedTests = append(outcome.failedTests, match[1])
			failuresOfPackage++
			continue
		}
		if crashedPhase.MatchString(line) {
			outcome.otherFaults = append(outcome.otherFaults, line)
			continue
		}
		match := packageLine.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		if match[1] == "FAIL" && failuresOfPackage == 0 {
			outcome.otherFaults = append(outcome.otherFaults, match[2]+" failed outside its tests")
		}
		failuresOfPackage = 0
	}
	return outcome
}

// describe says how a known failure did in this run.
func describe(failure knownFailure, outcome testOutcome) string {
	for _, failed := range outcome.failedTests {
		if failed == failure.test {
			return fmt.Sprintf("KNOWN RED: %s: %s (%s)", failure.test, failure.cause, failure.issue)
		}
	}
	return fmt.Sprintf("KNOWN RED, did not fail in this run: %s (%s)", failure.test, failure.issue)
}

// judge returns an error unless every failure of the run is a known one.
func judge(known []knownFailure, outcome testOutcome, status int) error {
	listed := map[string]bool{}
	for _, failure := range known {
		listed[failure.test] = true
	}
	faults := append([]string{}, outcome.otherFaults...)
	for _, failed := range outcome.failedTests {
		if !listed[failed] {
			faults = append(faults, failed)
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("failed, and not known: %s", strings.Join(faults, "; "))
	}
	if status != 0 && len(outcome.failedTests) == 0 {
		return fmt.Errorf("go test ended with status %d and names no failed test", status)
	}
	return nil
}
