package explore

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"beaconvane/internal/quorum"
)

// decidedList is a member list under which a majority decided something.
type decidedList struct {
	list map[string]string
	decidedBy   string
}

// checkContact checks that a statement of fact comes only from a process that has heard a majority
// since the request came.
func (w *World) checkContact(p *process, answered request) {
	contacted := 1
	for _, step := range p.lastContact {
		if step >= answered.arrivalStep {
			contacted++
		}
	}
	if contacted*2 <= w.plan.Voters {
		w.reportViolation("contact", "%s answers %s with %s, and has heard %d of %d voters since it was asked",
			p.name(), answered.operation, answered.operation.outcome, contacted, w.plan.Voters)
	}
}

// checkDecidedList checks that the member lists of all decisions form one line, so any two majorities
// that decided share a voter whose disk knows both.
func (w *World) checkDecidedList(p *process) {
	if w.plan.Named {
		return
	}
	state := p.machine.VoterState()
	for _, earlier := range w.decidedLists {
		if !notNewer(earlier.list, state.MemberList) && !notNewer(state.MemberList, earlier.list) {
			w.reportViolation("one-line", "%s decided under %s, and %s under %s", earlier.decidedBy, formatMemberList(earlier.list), p.name(),
				formatMemberList(state.MemberList))
			return
		}
	}
	if len(w.decidedLists) == 0 || !maps.Equal(w.decidedLists[len(w.decidedLists)-1].list, state.MemberList) {
		w.decidedLists = append(w.decidedLists, decidedList{maps.Clone(state.MemberList), p.name()})
	}
}

func notNewer(one, other map[string]string) bool {
	for voter, identity := range one {
		if identity > other[voter] {
			return false
		}
	}
	return true
}

func formatMemberList(list map[string]string) string {
	entries := []string{}
	for _, voter := range slices.Sorted(maps.Keys(list)) {
		entries = append(entries, voter+"="+quorum.SignatureIdentity(list[voter]))
	}
	return strings.Join(entries, " ")
}

// maxSnapshotBytes is more than a snapshot of all kept versions and of all that a run adds to
// the member list may have.
const maxSnapshotBytes = 4096

// maxRegistrySnapshotBytes is the same for a registry, with the windows of a run.
const maxRegistrySnapshotBytes = 16384

func (w *World) checkSnapshot(p *process, snapshot []byte) {
	limit := maxSnapshotBytes
	if w.fleet != nil {
		limit = maxRegistrySnapshotBytes
	}
	if len(snapshot) > limit {
		w.reportViolation("bounded", "%s writes a snapshot of %d bytes", p.name(), len(snapshot))
	}
}

// Rules names the promises that are checked, with what each says.
func Rules() map[string]string {
	return map[string]string{
		"one-content":         "one content under one version, for ever",
		"durable":             "what was acknowledged is there for every later answer, or something newer",
		"linearizable":        "writes and reads fit one order",
		"one-holder-an-epoch": "an epoch is held by one life of one process",
		"no-false-refusal":    "an order that was taken is never refused",
		"contact":             "answers come from whoever heard a majority since the request",
		"one-line":            "member lists of decisions form one line",
		"bounded":             "snapshots are bounded",
		"one-answer":          "a request is answered once",
		"restart":             "a process starts from whatever a crash leaves",
		"one-change":          "a position of the roster has one change",
		"one-value":           "a usage window is reported with one value",
		"one-fence":           "a fence is used by one life of one process",
		"fence":               "the collector hears no fence below one that it heard",
		"rest":                "no holder of the usage reports comes back within the rest",
		"converge":            "in calm all registries hold the roster as it is",
		"reported":            "in calm the windows are reported",
		"counts":              "what was counted in calm is reported as it was",
	}
}

func (o *operation) String() string {
	if o.kind == readKind {
		return "a read"
	}
	return fmt.Sprintf("a write of version %d, %s", o.version, o.body)
}
