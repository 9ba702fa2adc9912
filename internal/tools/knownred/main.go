// Command knownred compares the output of `go test` with the list of known failures. .ci/run calls
// it after each run of the tests. It prints every entry of the list and succeeds if all failures
// are listed. It fails on any other failure, on a package that fails outside its tests, and on a
// list that is malformed or too long.
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
	listPath := flag.String("list", "KNOWN-RED.txt", "`file` that lists the known failures; an absent file is an empty list")
	status := flag.Int("status", 0, "exit `status` of the go test run")
	flag.Parse()
	if err := run(*listPath, flag.Arg(0), *status); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run reads the list and the log, prints the known failures and returns an error for any other failure.
func run(listPath, logPath string, status int) error {
	list, err := os.ReadFile(listPath)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	known, err := parseList(string(list))
	if err != nil {
		return fmt.Errorf("read known failures from %s: %w", listPath, err)
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
