// Command review-2 runs the scripted cases of the second review. See review/REPORT-2.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	failure = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// cases are the cases by name. Each returns what was broken, or nil.
var cases = map[string]func(r *record, root string, trouble bool) (faults []string, err error){
	"authority":  authority,
	"half-close": halfClose,
	"leaving":    leaving,
	"invalid":    invalid,
	"uploads":    uploads,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD, from the root of the checkout; TROUBLE=0: without the disruption")
		os.Exit(failure)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failure)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failure)
	}
	r := newRecord(out)
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", os.Args[1], trouble)
	type result struct {
		faults []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		faults, err := cases[os.Args[1]](r, root, trouble)
		done <- result{faults, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	end := result{err: fmt.Errorf("the case did not end within %s", timeLimit)}
	select {
	case end = <-done:
	case <-time.After(timeLimit):
	case <-signals:
	}
	code := held
	switch {
	case end.err != nil:
		r.line("the case could not run: %v", end.err)
		fmt.Println("could not run:", end.err)
		code = failure
	case len(end.faults) > 0:
		for _, fault := range end.faults {
			r.line("BROKEN: %s", fault)
			fmt.Println("broken:", fault)
		}
		code = broken
	default:
		r.line("held")
		fmt.Println("held")
	}
	os.Exit(code)
}
