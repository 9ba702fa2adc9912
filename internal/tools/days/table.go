package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// verdict returns a summary of the result, or the error, for a line of progress.
func (r result) verdict() string {
	if r.err != nil {
		return "not played: " + r.err.Error()
	}
	if len(r.report.Breaks) > 0 {
		return "broken: " + r.report.brokenRules()
	}
	return r.report.gate()
}

// printTable prints a table with one row per play.
func printTable(out io.Writer, results []result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "site\tday\tseed\trules broken\tgate\tworth\tserved\tduties missed\tslowest recovery")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%d\t", baseName(r.play.site), baseName(r.play.day), r.play.seed)
		if r.err != nil {
			fmt.Fprintf(table, "?\t%s\t\t\t\t\n", r.verdict())
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%d\t%s\n", r.report.brokenRules(), r.report.gate(),
			r.report.Score, r.report.Served, len(r.report.Missed), r.report.slowestRecovery())
	}
	_ = table.Flush() // a failed write to standard output cannot be reported elsewhere
}

// checkResults returns an error if any play failed.
func checkResults(results []result) error {
	failedPlays := 0
	for _, r := range results {
		if r.failed() {
			failedPlays++
		}
	}
	if failedPlays > 0 {
		return fmt.Errorf("%d of %d plays failed or were not played", failedPlays, len(results))
	}
	return nil
}
