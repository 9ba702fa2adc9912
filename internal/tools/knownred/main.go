// Command knownred judges the output of `go test` against the list of tests that are known to
// fail. It is run by .ci/run: it succeeds when every failure is on the list, prints those, and
// fails on any other failure, on a package that fails outside its tests, and on a list that is
// too long or malformed.
//
//	knownred -list KNOWN-RED.txt -status 1 bin/test.log
package main

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
)

func main() {
	listPath := flag.String("list", "KNOWN-RED.txt", "list of known failures; it may be absent")
	status := flag.Int("status", 0, "exit status of the go test run")
	flag.Parse()
	if err := run(*listPath, flag.Arg(0), *status); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run reads both files, prints the known failures and returns an error for anything else.
func run(listPath, logPath string, status int) error {
	list, err := os.ReadFile(listPath)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	known, err := parseList(string(list))
	if err != nil {
		return err
	}
	log, err := os.ReadFile(logPath)
	if err != nil {
		return err
	}
	outcome := parseLog(string(log))
	for _, failure := range known {
		fmt.Println(describe(failure, outcome))
	}
	return judge(known, outcome, status)
}
