package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
)

// report is the part of the bench's report that the table shows.
type report struct {
	Score  float64                      `json:"G"`
	Served float64                      `json:"served"`
	Fault  json.RawMessage              `json:"fault"`
	Short  []json.RawMessage            `json:"short"`
	Breaks map[string]json.RawMessage   `json:"breaks"`
	Missed []string                     `json:"missed"`
	Times  map[string][]json.RawMessage `json:"times"`
}

func readReport(path string) (report, error) {
	var read report
	content, err := os.ReadFile(path)
	if err != nil {
		return read, err
	}
	if err := json.Unmarshal(content, &read); err != nil {
		return read, fmt.Errorf("report %s: %w", path, err)
	}
	return read, nil
}

// faulty says that the bench saw a fault of a process.
func (r report) faulty() bool {
	text := string(r.Fault)
	return text != "" && text != "null"
}

func (r report) broke() bool {
	return len(r.Breaks) > 0 || r.faulty() || len(r.Short) > 0
}

// rules names the broken rules in the order of the alphabet, with what is told of each.
func (r report) rules() string {
	if len(r.Breaks) == 0 {
		return "none"
	}
	var names []string
	for name, told := range r.Breaks {
		names = append(names, name+" "+string(told))
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// gate tells whether the play passes: no rule broken, no fault, no floor missed.
func (r report) gate() string {
	switch {
	case len(r.Breaks) > 0:
		return "broken"
	case r.faulty():
		return "fault " + string(r.Fault)
	case len(r.Short) > 0:
		return "short"
	}
	return "passed"
}

// slowestRecovery is the longest time, in milliseconds, that the report names for coming
// back after a loss; no such time is a dash.
func (r report) slowestRecovery() string {
	slowest := -1.0
	for name, span := range r.Times {
		if !strings.Contains(name, "after") {
			continue
		}
		for _, raw := range span {
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
