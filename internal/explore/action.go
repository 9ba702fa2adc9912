// Package explore searches the states of the real control machines for broken promises.
// It drives the configuration store with its quorum and its leases through
// internal/statemachine: there is no second model of them. A default schedule delivers
// every message in order, syncs every write at once and ticks all clocks alike; a run
// departs from it by a list of actions, each addressed by the round of the clock and the
// step within that round. Random walks draw the actions, the systematic search
// enumerates them, and a replay reads them from a file; all three run the same code, so
// whatever is found can be shrunk by leaving actions out.
package explore

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Kind names what an action does.
type Kind string

// The kinds of action. Node and Peer are places in the order in which processes were
// made; Rounds is how long a state lasts.
const (
	DropMessage      Kind = "lose"        // the next message is lost
	DuplicateMessage Kind = "double"      // the next message comes a second time, Rounds later
	DelayMessage     Kind = "late"        // the next message comes Rounds later
	Crash            Kind = "crash"       // Node stops, keeps a part of what was not synced, and restarts after Rounds
	CrashDuringWrite Kind = "crash-disk"  // Node stops within its next write, after DiskSteps operations of the disk
	LoseDisk         Kind = "disk-lost"   // Node stops and restarts with an empty disk
	SlowDisk         Kind = "disk-slow"   // Node's writes wait for Rounds
	Replace          Kind = "replace"     // Node is gone for good; a new one with an empty disk starts after Rounds
	Join             Kind = "join"        // a new process with an empty disk starts
	Leave            Kind = "leave"       // Node is asked to stop politely, and is gone for good once it has
	Cut              Kind = "cut"         // Node and Peer don't hear each other
	CutOneWay        Kind = "cut-one-way" // Peer does not hear Node
	Isolate          Kind = "isolate"     // Node and all others don't hear each other
	Freeze           Kind = "freeze"      // Node takes nothing; its clock runs on
	ClockStep        Kind = "clock-step"  // Node's time of day leaps by Rounds
	SendWrite        Kind = "write"       // an operator sends Version with Content to Node
	SendRead         Kind = "read"        // an operator asks Node for the current version

	DropFromProxy   Kind = "deaf"     // Node hears nothing of proxy Peer
	AdvanceUpstream Kind = "upstream" // upstream Peer of proxy Node leaves, is gone, or comes back
)

// Action is one departure from the default schedule.
type Action struct {
	Round     int    `json:"round"`
	Step      int    `json:"step"` // within the round; 0 is before the clocks tick
	Kind      Kind   `json:"kind"`
	Node      int    `json:"node,omitempty"`
	Peer      int    `json:"peer,omitempty"`
	Rounds    int    `json:"rounds,omitempty"`
	DiskSteps int    `json:"disk_steps,omitempty"`
	CrashSeed uint64 `json:"dice,omitempty"` // what a crash keeps of unsynced writes
	Version   int64  `json:"version,omitempty"`
	Content   int    `json:"content,omitempty"`
	Invalid   bool   `json:"bad,omitempty"` // a content that the check refuses
}

// effectRounds is for how many rounds its effects may go on.
func (a Action) effectRounds() int {
	if a.Kind == Leave {
		return leaveTimeoutRounds
	}
	return a.Rounds
}

func (a Action) String() string {
	body, err := json.Marshal(a)
	if err != nil {
		return fmt.Sprintf("%s: %v", a.Kind, err)
	}
	return string(body)
}

// Plan is a run's whole departure from the default schedule, with what it needs to be
// played again.
type Plan struct {
	Role    string   `json:"role"`
	Seed    uint64   `json:"seed"`
	Voters  int      `json:"voters"`
	Named   bool     `json:"named,omitempty"` // the settings name the voters
	Highest bool     `json:"highest,omitempty"`
	Rounds  int      `json:"rounds"`
	Except  []string `json:"except,omitempty"` // rules that are not looked at
	Actions []Action `json:"actions"`
}

// String writes a plan, one action a line, in the form that ParsePlan reads.
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

// ParsePlan reads what String wrote; lines that begin with # are left out.
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
		return plan, fmt.Errorf("no plan in %d bytes", len(text))
	}
	return plan, nil
}
