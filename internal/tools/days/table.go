package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// verdict is one word, or the error, for a line of progress.
func (r result) verdict() string {
	if r.err != nil {
		return "not played: " + r.err.Error()
	}
	if len(r.report.Breaks) > 0 {
		return "broken: " + r.report.rules()
	}
	return r.report.gate()
}

// printTable prints one row for each play.
func printTable(out io.Writer, results []result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "site\tday\tseed\trules broken\tgate\tworth\tserved\tduties missed\tslowest recovery")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%d\t", baseName(r.play.site), baseName(r.play.day), r.play.seed)
		if r.err != nil {
			fmt.Fprintf(table, "?\t%s\t\t\t\t\n", r.verdict())
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%d\t%s\n", r.report.rules(), r.report.gate(),
			r.report.Score, r.report.Served, len(r.report.Missed), r.report.slowestRecovery())
	}
	_ = table.Flush() // a report on standard output; nothing is left to do on failure
}

// verdict is an error if any play broke something or was not played.
func verdict(results []result) error {
	broken := 0
	for _, r := range results {
		if r.broke() {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d plays broke something or were not played", broken, len(results))
	}
	return nil
}
