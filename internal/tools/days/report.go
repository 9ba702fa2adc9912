package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
)

// report holds the fields of the bench's report that the table shows.
type report struct {
	Score  float64                      `json:"G"`
	Served float64                      `json:"served"`
	Fault  json.RawMessage              `json:"fault"`
	Short  []json.RawMessage            `json:"short"`
	Breaks map[string]json.RawMessage   `json:"breaks"`
	Missed []string                     `json:"missed"`
	Times  map[string][]json.RawMessage `json:"times"`
}

// readReport reads the report that the bench wrote.
func readReport(path string) (report, error) {
	var parsed report
	content, err := os.ReadFile(path)
	if err != nil {
		return parsed, err
	}
	if err := json.Unmarshal(content, &parsed); err != nil {
		return parsed, fmt.Errorf("report %s: %w", path, err)
	}
	return parsed, nil
}

// hasFault reports whether the bench observed a process fault.
func (r report) hasFault() bool {
	text := string(r.Fault)
	return text != "" && text != "null"
}

// failed reports whether a rule was broken, a process fault occurred or a floor was missed.
func (r report) failed() bool {
	return len(r.Breaks) > 0 || r.hasFault() || len(r.Short) > 0
}

// brokenRules returns the broken rules in alphabetical order, each with its value in the report.
func (r report) brokenRules() string {
	if len(r.Breaks) == 0 {
		return "none"
	}
	var names []string
	for name, detail := range r.Breaks {
		names = append(names, name+" "+string(detail))
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// gate returns "passed" if no rule was broken, no process fault occurred and no floor was missed, and
// otherwise the first of these failures.
func (r report) gate() string {
	switch {
	case len(r.Breaks) > 0:
		return "broken"
	case r.hasFault():
		return "fault " + string(r.Fault)
	case len(r.Short) > 0:
		return "short"
	}
	return "passed"
}

// slowestRecovery returns the longest recovery time in the report, in milliseconds, or "-" if there is
// none. Recovery times are those whose name contains "after".
func (r report) slowestRecovery() string {
	slowest := -1.0
	for name, values := range r.Times {
		if !strings.Contains(name, "after") {
			continue
		}
		for _, raw := range values {
			var milliseconds float64
			if json.Unmarshal(raw, &milliseconds) == nil {
				slowest = max(slowest, milliseconds)
			}
		}
	}
	if slowest < 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f ms", slowest)
}
