package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(f *fleet, trouble bool) int{
	"foreign-answer": foreignAnswer,
	"lost-signoff":   lostSignOff,
	"hang":           hang,
	"last-keys":      lastKeys,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		os.Exit(exitNotRun)
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stop()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.say("trouble: %v", trouble)
	code := cases[os.Args[1]](f, trouble)
	f.stop()
	record.say("exit %d", code)
	os.Exit(code)
}
