package explore

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"beaconvane/internal/quorum"
)

// decidedList is a member list under which a majority made a decision, and the process that made it.
type decidedList struct {
	list      map[string]string
	decidedBy string
}

// checkContact checks that a process which states a fact about the configuration has received messages from a
// majority of the voters, itself included, that were sent after the request arrived.
func (w *World) checkContact(p *process, answered request) {
	contacted := 1
	for _, step := range p.lastContact {
		if step >= answered.arrivalStep {
			contacted++
		}
	}
	if contacted*2 <= w.plan.Voters {
		w.reportViolation("contact", "%s answers %s with %s after contact with %d of %d voters since the request, want a majority",
			p.name(), answered.operation, answered.operation.outcome, contacted, w.plan.Voters)
	}
}

// checkDecidedList checks that the member lists of all decisions are totally ordered, so that any two deciding
// majorities share a voter whose disk has recorded both.
func (w *World) checkDecidedList(p *process) {
	if w.plan.Named {
		return
	}
	state := p.machine.VoterState()
	for _, earlier := range w.decidedLists {
		if !notNewer(earlier.list, state.MemberList) && !notNewer(state.MemberList, earlier.list) {
			w.reportViolation("one-line", "%s decided under %s, and %s under %s", earlier.decidedBy,
				formatMemberList(earlier.list), p.name(), formatMemberList(state.MemberList))
			return
		}
	}
	if len(w.decidedLists) == 0 || !maps.Equal(w.decidedLists[len(w.decidedLists)-1].list, state.MemberList) {
		w.decidedLists = append(w.decidedLists, decidedList{maps.Clone(state.MemberList), p.name()})
	}
}

// notNewer reports whether no voter's identity in one is above that in other.
func notNewer(one, other map[string]string) bool {
	for voter, identity := range one {
		if identity > other[voter] {
			return false
		}
	}
	return true
}

// formatMemberList formats a member list for violations, sorted by voter.
func formatMemberList(list map[string]string) string {
	entries := []string{}
	for _, voter := range slices.Sorted(maps.Keys(list)) {
		entries = append(entries, voter+"="+quorum.SignatureIdentity(list[voter]))
	}
	return strings.Join(entries, " ")
}

// maxSnapshotBytes is above the size of a snapshot with all retained versions and with every entry that a run can
// add to the member list.
const maxSnapshotBytes = 4096

// maxRegistrySnapshotBytes is the same limit for a registry, including a run's usage windows.
const maxRegistrySnapshotBytes = 16384

// checkSnapshot checks that a snapshot doesn't exceed the size limit of its role.
func (w *World) checkSnapshot(p *process, snapshot []byte) {
	limit := maxSnapshotBytes
	if w.fleet != nil {
		limit = maxRegistrySnapshotBytes
	}
	if len(snapshot) > limit {
		w.reportViolation("bounded", "%s writes a snapshot of %d bytes, want at most %d", p.name(), len(snapshot), limit)
	}
}

// Rules returns the rules that are checked, with a description of each by name.
func Rules() map[string]string {
	return map[string]string{
		"one-content":         "the content of a committed version never changes",
		"durable":             "every later answer reflects an acknowledged version or a newer one",
		"linearizable":        "writes and reads are linearizable",
		"one-holder-an-epoch": "a lease epoch is held by one incarnation of one process",
		"no-false-refusal":    "a committed write is never refused",
		"contact":             "a process answers only after contact with a majority since the request",
		"one-line":            "the member lists of all decisions are totally ordered",
		"bounded":             "the size of snapshots is bounded",
		"one-answer":          "a request is answered at most once",
		"restart":             "a process starts from any disk state that a crash leaves",
		"one-change":          "a roster position identifies one change",
		"one-value":           "a usage window is always reported with the same counts",
		"one-fence":           "a fencing epoch is used by one incarnation of one process",
		"fence":               "the fencing epochs that the collector receives never decrease",
		"rest":                "a former holder of the usage lease does not report again within the holder cool-down",
		"converge":            "without faults all registries converge to the actual roster",
		"reported":            "without faults usage windows are reported in time",
		"counts":              "requests counted without faults are reported exactly",
	}
}

// String describes the operation for violations.
func (o *operation) String() string {
	if o.kind == readKind {
		return "a read"
	}
	return fmt.Sprintf("a write of version %d, %s", o.version, o.body)
}
