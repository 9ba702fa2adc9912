package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"beaconvane/internal/goroutine"
)

// play is one day of one site with one seed.
type play struct {
	site string
	day  string
	seed uint64
}

func (p play) String() string {
	return fmt.Sprintf("%s %s seed %d", baseName(p.site), baseName(p.day), p.seed)
}

// result is what a play gave. A play without a report has an error.
type result struct {
	play   play
	report report
	err    error
}

// broke says that a rule was broken, a fault was seen, a floor was missed, or that there
// is no report to tell.
func (r result) broke() bool {
	return r.err != nil || r.report.broke()
}

// startSpacing keeps the starts of two plays apart: the bench names its journal entries by
// the second.
const startSpacing = 1100 * time.Millisecond

// bench starts the users' bench, one play a process.
type bench struct {
	path    string
	why     string
	reports string

	starting  sync.Mutex
	lastStart time.Time
}

// waitForStart returns when the next play may start.
func (b *bench) waitForStart() {
	b.starting.Lock()
	defer b.starting.Unlock()
	time.Sleep(startSpacing - time.Since(b.lastStart))
	b.lastStart = time.Now()
}

// play runs one day; what the bench prints is kept beside the report.
func (b *bench) play(p play) result {
	b.waitForStart()
	base := fmt.Sprintf("%s-%s-%d", baseName(p.site), baseName(p.day), p.seed)
	reportPath := filepath.Join(b.reports, base+".json")
	if err := os.Remove(reportPath); err != nil && !os.IsNotExist(err) {
		return result{play: p, err: err}
	}
	command := exec.Command(b.path, "run", p.site, p.day,
		"--seed", strconv.FormatUint(p.seed, 10), "--jobs", "1",
		"--why", b.why+" ("+p.String()+")", "--report", reportPath)
	output, runError := command.CombinedOutput()
	if err := os.WriteFile(filepath.Join(b.reports, base+".txt"), output, 0o644); err != nil {
		return result{play: p, err: err}
	}
	read, err := readReport(reportPath)
	if err != nil && runError != nil {
		err = fmt.Errorf("no report: %w", runError)
	}
	return result{play: p, report: read, err: err}
}

// playAll plays the matrix, so many plays at one time, and tells of each as it ends. The
// results stand in the order of the matrix.
func playAll(matrix []play, jobs int, run func(play) result, progress io.Writer) []result {
	results := make([]result, len(matrix))
	indexes := make(chan int, len(matrix))
	for index := range matrix {
		indexes <- index
	}
	close(indexes)
	var writing sync.Mutex
	workers := goroutine.New()
	var waiting sync.WaitGroup
	for range max(1, min(jobs, len(matrix))) {
		waiting.Add(1)
		workers.Go("days.play", func(context.Context) {
			defer waiting.Done()
			for index := range indexes {
				results[index] = run(matrix[index])
				writing.Lock()
				fmt.Fprintf(progress, "%s: %s\n", matrix[index], results[index].verdict())
				writing.Unlock()
			}
		})
	}
	waiting.Wait()
	return results
}
