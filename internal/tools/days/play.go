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

// play identifies one run of the bench: a day on a site with a seed.
type play struct {
	site string
	day  string
	seed uint64
}

func (p play) String() string {
	return fmt.Sprintf("%s %s seed %d", baseName(p.site), baseName(p.day), p.seed)
}

// result is the outcome of a play. If there is no report, err is set.
type result struct {
	play   play
	report report
	err    error
}

// failed reports whether there is no report, or the report contains a broken rule, a process fault or a
// missed floor.
func (r result) failed() bool {
	return r.err != nil || r.report.failed()
}

// startSpacing is the minimum time between the starts of two plays. The bench names its journal entries
// by the second, so two starts within a second would get the same name.
const startSpacing = 1100 * time.Millisecond

// benchRunner starts the users' bench, with one process for each play.
type benchRunner struct {
	path         string
	journalNote  string
	reportFolder string

	startLock sync.Mutex
	lastStart time.Time
}

// waitForStart blocks until startSpacing has passed since the last start.
func (b *benchRunner) waitForStart() {
	b.startLock.Lock()
	defer b.startLock.Unlock()
	time.Sleep(startSpacing - time.Since(b.lastStart))
	b.lastStart = time.Now()
}

// play runs the bench once and returns its report. It saves the output of the bench beside the report.
// An old report at the same path is removed first, so that it is not read as the result.
func (b *benchRunner) play(p play) result {
	b.waitForStart()
	fileStem := fmt.Sprintf("%s-%s-%d", baseName(p.site), baseName(p.day), p.seed)
	reportPath := filepath.Join(b.reportFolder, fileStem+".json")
	if err := os.Remove(reportPath); err != nil && !os.IsNotExist(err) {
		return result{play: p, err: err}
	}
	command := exec.Command(b.path, "run", p.site, p.day,
		"--seed", strconv.FormatUint(p.seed, 10), "--jobs", "1",
		"--why", b.journalNote+" ("+p.String()+")", "--report", reportPath)
	output, runErr := command.CombinedOutput()
	if err := os.WriteFile(filepath.Join(b.reportFolder, fileStem+".txt"), output, 0o644); err != nil {
		return result{play: p, err: err}
	}
	parsed, err := readReport(reportPath)
	if err != nil && runErr != nil {
		err = fmt.Errorf("no report: %w", runErr)
	}
	return result{play: p, report: parsed, err: err}
}

// playAll runs the plays of the matrix, up to jobs of them concurrently, and writes a line to progress
// after each. The results have the order of the matrix.
func playAll(matrix []play, jobs int, playOne func(play) result, progress io.Writer) []result {
	results := make([]result, len(matrix))
	indexes := make(chan int, len(matrix))
	for index := range matrix {
		indexes <- index
	}
	close(indexes)
	var progressLock sync.Mutex
	workers := goroutine.New()
	var pending sync.WaitGroup
	for range max(1, min(jobs, len(matrix))) {
		pending.Add(1)
		workers.Go("days.play", func(context.Context) {
			defer pending.Done()
			for index := range indexes {
				results[index] = playOne(matrix[index])
				progressLock.Lock()
				fmt.Fprintf(progress, "%s: %s\n", matrix[index], results[index].verdict())
				progressLock.Unlock()
			}
		})
	}
	pending.Wait()
	return results
}
