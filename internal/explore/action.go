// Package explore searches the states of the real control state machines for violations of their
// safety rules. It drives the configuration store and the registry, with their quorum and leases,
// through internal/statemachine, so there is no second model of them that could differ. The default
// schedule delivers every message in order, syncs every write at once and ticks all clocks alike. A
// run deviates from it by a list of actions, each addressed by the round of the clock and the step
// within that round. Random walks draw the actions, the exhaustive search enumerates them, and a
// replay reads them from a file. All three run the same code, so every violation found can be shrunk
// by removing actions.
package explore

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Kind is the kind of an action; its text is stored in plans.
type Kind string

// The kinds of action. Node and Peer are process indexes, in order of creation, unless stated
// otherwise. Rounds is the duration of a lasting effect.
const (
	DropMessage      Kind = "lose"        // the next message is dropped
	DuplicateMessage Kind = "double"      // the next message is delivered a second time, Rounds later
	DelayMessage     Kind = "late"        // the next message is delivered Rounds later
	Crash            Kind = "crash"       // Node stops, keeps some of its unsynced writes, and restarts after Rounds
	CrashDuringWrite Kind = "crash-disk"  // Node stops during its next write, after DiskSteps disk operations, and restarts after Rounds
	LoseDisk         Kind = "disk-lost"   // Node stops and restarts with an empty disk after Rounds
	SlowDisk         Kind = "disk-slow"   // Node's writes are delayed until Rounds have passed
	Replace          Kind = "replace"     // Node stops permanently; a new process with an empty disk starts after Rounds
	Join             Kind = "join"        // a new process with an empty disk starts
	Leave            Kind = "leave"       // Node shuts down gracefully and doesn't restart
	Cut              Kind = "cut"         // messages between Node and Peer are blocked
	CutOneWay        Kind = "cut-one-way" // messages from Node to Peer are blocked
	Isolate          Kind = "isolate"     // messages between Node and all other processes are blocked
	Freeze           Kind = "freeze"      // Node processes nothing, while its clock advances
	ClockStep        Kind = "clock-step"  // Node's wall clock jumps by Rounds, which may be negative
	SendWrite        Kind = "write"       // an operator sends Node a write of Version with Content
	SendRead         Kind = "read"        // an operator reads the current version from Node

	DropFromProxy   Kind = "deaf"     // Node receives nothing from the proxy with index Peer
	AdvanceUpstream Kind = "upstream" // upstream Peer of proxy Node drains, deregisters or registers again
)

// Action is one deviation from the default schedule.
type Action struct {
	Round     int    `json:"round"`
	Step      int    `json:"step"` // within Round; 0 is before the clocks tick
	Kind      Kind   `json:"kind"`
	Node      int    `json:"node,omitempty"`
	Peer      int    `json:"peer,omitempty"`
	Rounds    int    `json:"rounds,omitempty"`
	DiskSteps int    `json:"disk_steps,omitempty"`
	CrashSeed uint64 `json:"dice,omitempty"` // selects the unsynced writes that survive a crash
	Version   int64  `json:"version,omitempty"`
	Content   int    `json:"content,omitempty"`
	Invalid   bool   `json:"bad,omitempty"` // the content fails the configuration's validation
}

// effectRounds returns the number of rounds for which the action's effects may last.
func (a Action) effectRounds() int {
	if a.Kind == Leave {
		return leaveTimeoutRounds
	}
	return a.Rounds
}

// String returns the action as JSON, in the form that ParsePlan reads.
func (a Action) String() string {
	body, err := json.Marshal(a)
	if err != nil {
		return fmt.Sprintf("%s: %v", a.Kind, err)
	}
	return string(body)
}

// Plan lists all actions of a run, with the options and the seed that are needed to replay it.
type Plan struct {
	Role    string   `json:"role"`
	Seed    uint64   `json:"seed"`
	Voters  int      `json:"voters"`
	Named   bool     `json:"named,omitempty"` // the settings list the voters by name
	Highest bool     `json:"highest,omitempty"`
	Rounds  int      `json:"rounds"`
	Except  []string `json:"except,omitempty"` // rules that are not checked
	Actions []Action `json:"actions"`
}

// String returns the plan in the form that ParsePlan reads: a header line, then one action per line.
func (p Plan) String() string {
	header := p
	header.Actions = []Action{}
	body, err := json.Marshal(header)
	if err != nil {
		return err.Error()
	}
	lines := []string{string(body)}
	for _, action := range p.Actions {
		lines = append(lines, action.String())
	}
	return strings.Join(lines, "\n") + "\n"
}

// ParsePlan parses the output of Plan.String. Empty lines and lines that begin with # are ignored.
func ParsePlan(text string) (Plan, error) {
	plan, headerRead := Plan{}, false
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if !headerRead {
			headerRead = true
			if err := json.Unmarshal([]byte(line), &plan); err != nil {
				return plan, fmt.Errorf("line %d: %w", number+1, err)
			}
			continue
		}
		action := Action{}
		if err := json.Unmarshal([]byte(line), &action); err != nil {
			return plan, fmt.Errorf("line %d: %w", number+1, err)
		}
		plan.Actions = append(plan.Actions, action)
	}
	if !headerRead {
		return plan, fmt.Errorf("no plan in %d bytes: expected a JSON header line", len(text))
	}
	return plan, nil
}
