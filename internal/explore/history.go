package explore

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// operationKind distinguishes writes from reads.
type operationKind int

const (
	writeKind operationKind = iota
	readKind
)

// outcome is the response that an operator received. It is the zero value until known is set.
type outcome struct {
	known   bool
	code    errcode.Code
	version int64
	body    string
}

// String describes the outcome for violations.
func (o outcome) String() string { return fmt.Sprintf("%s version %d %s", o.code, o.version, o.body) }

// aboutConfig reports whether the outcome states a fact about the configuration rather than about the process.
func (o outcome) aboutConfig() bool {
	switch o.code {
	case errcode.OK, errcode.ConfigurationBad, errcode.ConfigurationConflict, errcode.ConfigurationNotFound, errcode.ConfigurationTooLarge:
		return o.known
	}
	return false
}

// operation is an operator's write or read. version and body are those of a write.
type operation struct {
	kind                 operationKind
	version              int64
	body                 string
	outcome              outcome
	callStep, returnStep int64 // values of World.step
	minVersion           int64 // the newest version that any operator had learned of at callStep
}

// history records the operators' operations.
type history struct {
	highest         bool // as Plan.Highest
	operations      []*operation
	committedBodies map[int64]string // by version: the body that is known to be committed
	refused         map[string]bool  // by writeKey: writes refused as invalid or conflicting
	newestKnown     int64            // the newest version that any operator learned of
}

// newHistory returns an empty history.
func newHistory(highest bool) history {
	return history{highest: highest, committedBodies: map[int64]string{}, refused: map[string]bool{}}
}

// begin records the start of an operation and returns its request id.
func (h *history) begin(w *World, started *operation) int64 {
	started.callStep, started.minVersion = w.step, h.newestKnown
	h.operations = append(h.operations, started)
	return int64(len(h.operations))
}

// recordOutcome records the outcome of an operation and checks the rules that need no complete history.
func (h *history) recordOutcome(w *World, finished *operation, response message.StoreResponse) {
	finished.returnStep = w.step
	finished.outcome = outcome{known: true, code: errcode.Code(response.Code), version: response.Version, body: string(response.Body)}
	switch finished.outcome.code {
	case errcode.OK:
		if finished.kind == writeKind && finished.outcome.version == finished.version {
			finished.outcome.body = finished.body
		}
		h.recordCommit(w, finished)
	case errcode.ConfigurationNotFound:
		if finished.minVersion > 0 {
			w.reportViolation("durable", "no configuration is found after version %d was acknowledged", finished.minVersion)
		}
	case errcode.ConfigurationConflict, errcode.ConfigurationBad:
		if finished.kind == writeKind {
			h.recordRefusal(w, finished)
		}
	}
}

// writeKey identifies a write by version and body.
func writeKey(version int64, body string) string { return fmt.Sprintf("%d %s", version, body) }

// recordCommit records a version that an answer shows to be committed.
func (h *history) recordCommit(w *World, finished *operation) {
	version, body := finished.outcome.version, finished.outcome.body
	if content, known := h.committedBodies[version]; known && content != body {
		w.reportViolation("one-content", "version %d has the content %s and had %s", version, body, content)
	}
	if h.refused[writeKey(version, body)] {
		w.reportViolation("no-false-refusal", "version %d with content %s is committed and was refused", version, body)
	}
	confirmsOldVersion := finished.kind == writeKind && !h.highest && version == finished.version
	if version < finished.minVersion && !confirmsOldVersion {
		w.reportViolation("durable", "%s returns version %d after version %d was acknowledged", finished, version, finished.minVersion)
	}
	h.committedBodies[version] = body
	h.newestKnown = max(h.newestKnown, version)
}

// recordRefusal records a write that was refused as invalid or conflicting.
func (h *history) recordRefusal(w *World, finished *operation) {
	h.refused[writeKey(finished.version, finished.body)] = true
	if content, known := h.committedBodies[finished.version]; known && content == finished.body {
		w.reportViolation("no-false-refusal", "%s is refused with %s and was committed", finished, finished.outcome)
	}
}

// model returns the sequential specification for porcupine: a single copy of the configuration that executes one
// operation at a time. Its state is the list of the committed versions, oldest first.
func (h *history) model() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			return h.step(state, input, output)
		},
		Equal: func(one, other any) bool { return one == other },
	}
	return model.ToModel()
}

// step converts porcupine's untyped values and calls next. Any other type is a programming error.
func (h *history) step(state, input, output any) []any {
	committedVersions, isState := state.(string)
	performed, isOperation := input.(*operation)
	observed, isOutcome := output.(outcome)
	if !isState || !isOperation || !isOutcome {
		panic(fmt.Sprintf("explore: the model got a %T, a %T and a %T, want a string, an *operation and an outcome", state, input, output))
	}
	return h.next(committedVersions, performed, observed)
}

// entryEnd terminates each entry of the model's state.
const entryEnd = "\n"

// newestEntry returns version and body of the last entry in the model's state, or zero values if it is empty. An
// entry that does not begin with a number is a programming error of the model.
func newestEntry(state string) (version int64, body string) {
	if state == "" {
		return 0, ""
	}
	entries := strings.Split(strings.TrimSuffix(state, entryEnd), entryEnd)
	number, body, _ := strings.Cut(entries[len(entries)-1], " ")
	version, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		panic(fmt.Sprintf("explore: model entry %q does not begin with a version: %v", entries[len(entries)-1], err))
	}
	return version, body
}

// next returns the possible states after the operation, given its observed outcome; none if the outcome is impossible.
func (h *history) next(state string, performed *operation, observed outcome) []any {
	current, currentBody := newestEntry(state)
	matchesCurrent := observed.version == current && observed.body == currentBody
	if performed.kind == readKind {
		return nextRead(state, observed, matchesCurrent)
	}
	return h.nextWrite(state, performed, observed, performed.version > current, matchesCurrent)
}

// nextRead returns the unchanged state, or no state if the outcome contradicts it.
func nextRead(state string, observed outcome, matchesCurrent bool) []any {
	found := observed.code == errcode.OK && matchesCurrent
	empty := observed.code == errcode.ConfigurationNotFound && state == ""
	if !observed.known || found || empty {
		return []any{state}
	}
	return nil
}

// nextWrite returns the state with the write's entry appended if the outcome confirms it, and both possibilities if
// the outcome is unknown. newer means that the write's version is above the state's newest one, matchesCurrent that
// the outcome names the state's newest entry.
func (h *history) nextWrite(state string, performed *operation, observed outcome, newer, matchesCurrent bool) []any {
	entry := writeKey(performed.version, performed.body) + entryEnd
	committed := strings.Contains(entryEnd+state, entryEnd+entry)
	switch {
	case !observed.known && newer:
		return []any{state, state + entry}
	case !observed.known:
		return []any{state}
	case observed.code == errcode.OK && newer && observed.version == performed.version:
		return []any{state + entry}
	case observed.code == errcode.OK && committed && observed.version == performed.version:
		return []any{state}
	case observed.code == errcode.OK && h.highest && observed.version > performed.version && matchesCurrent:
		return []any{state}
	case observed.code == errcode.ConfigurationConflict && !newer && !committed:
		return []any{state}
	}
	return nil
}

// linearizabilityTimeout limits the check of one history; a check that times out counts as passed.
const linearizabilityTimeout = 5 * time.Second

// checkLinearizability checks that all operations that may have had an effect or observed one are linearizable. A
// write with an unknown outcome may take effect at any later time.
func (w *World) checkLinearizability() {
	list := []porcupine.Operation{}
	for _, recorded := range w.history.operations {
		observed, returnStep := recorded.outcome, recorded.returnStep
		switch observed.code {
		case errcode.ConfigurationBad, errcode.ConfigurationTooLarge, errcode.ConfigurationNoHolder, errcode.ConfigurationBehind:
			continue
		case errcode.ConfigurationUnsure:
			observed = outcome{}
		}
		if !observed.known {
			if recorded.kind == readKind {
				continue
			}
			returnStep = math.MaxInt64
		}
		list = append(list, porcupine.Operation{
			ClientId: len(list),
			Input:    recorded,
			Call:     recorded.callStep,
			Output:   observed,
			Return:   returnStep,
		})
	}
	if porcupine.CheckOperationsTimeout(w.history.model(), list, linearizabilityTimeout) == porcupine.Illegal {
		w.reportViolation("linearizable", "%d writes and reads are not linearizable", len(list))
	}
}
