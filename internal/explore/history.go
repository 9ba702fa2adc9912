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

// operationKind tells writes from reads.
type operationKind int

const (
	writeKind operationKind = iota
	readKind
)

// outcome is what an operator was told.
type outcome struct {
	known   bool
	code    errcode.Code
	version int64
	body    string
}

func (o outcome) String() string { return fmt.Sprintf("%s version %d %s", o.code, o.version, o.body) }

// aboutConfig says that the outcome is about the configuration, not about the process.
func (o outcome) aboutConfig() bool {
	switch o.code {
	case errcode.OK, errcode.ConfigurationBad, errcode.ConfigurationConflict, errcode.ConfigurationNotFound, errcode.ConfigurationTooLarge:
		return o.known
	}
	return false
}

type operation struct {
	kind                 operationKind
	version              int64
	body                 string
	outcome              outcome
	callStep, returnStep int64
	minVersion           int64 // the newest version that anyone was told of before this was asked
}

type history struct {
	highest         bool
	operations      []*operation
	committedBodies map[int64]string // by version: what is known to be committed
	refused         map[string]bool  // orders that were refused for what they are
	newestKnown     int64
}

func newHistory(highest bool) history {
	return history{highest: highest, committedBodies: map[int64]string{}, refused: map[string]bool{}}
}

func (h *history) begin(w *World, started *operation) int64 {
	started.callStep, started.minVersion = w.step, h.newestKnown
	h.operations = append(h.operations, started)
	return int64(len(h.operations))
}

// recordOutcome notes an outcome and checks what can be checked at once.
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
			w.reportViolation("durable", "nothing is found, and version %d was told of before", finished.minVersion)
		}
	case errcode.ConfigurationConflict, errcode.ConfigurationBad:
		if finished.kind == writeKind {
			h.recordRefusal(w, finished)
		}
	}
}

func writeKey(version int64, body string) string { return fmt.Sprintf("%d %s", version, body) }

func (h *history) recordCommit(w *World, finished *operation) {
	version, body := finished.outcome.version, finished.outcome.body
	if content, known := h.committedBodies[version]; known && content != body {
		w.reportViolation("one-content", "version %d is %s and was %s", version, body, content)
	}
	if h.refused[writeKey(version, body)] {
		w.reportViolation("no-false-refusal", "version %d, %s is committed and was refused", version, body)
	}
	confirmsOldVersion := finished.kind == writeKind && !h.highest && version == finished.version
	if version < finished.minVersion && !confirmsOldVersion {
		w.reportViolation("durable", "%s gives version %d, and %d was told of before", finished, version, finished.minVersion)
	}
	h.committedBodies[version] = body
	h.newestKnown = max(h.newestKnown, version)
}

func (h *history) recordRefusal(w *World, finished *operation) {
	h.refused[writeKey(finished.version, finished.body)] = true
	if content, known := h.committedBodies[finished.version]; known && content == finished.body {
		w.reportViolation("no-false-refusal", "%s is refused with %s and was committed", finished, finished.outcome)
	}
}

// model is the configuration as one copy that takes one operation at a time. Its state
// is the list of the committed versions, oldest first.
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

// step gives porcupine's untyped values their types; any other type is a programming error.
func (h *history) step(state, input, output any) []any {
	committedVersions, isState := state.(string)
	performed, isOperation := input.(*operation)
	observed, isOutcome := output.(outcome)
	if !isState || !isOperation || !isOutcome {
		panic(fmt.Sprintf("explore: the model got a %T, a %T and a %T", state, input, output))
	}
	return h.next(committedVersions, performed, observed)
}

const entryEnd = "\n"

// newestEntry returns version and body of the last entry in the model's state; zero values when the
// state holds none. An entry that does not begin with a number is a programming error of the model.
func newestEntry(state string) (version int64, body string) {
	if state == "" {
		return 0, ""
	}
	entries := strings.Split(strings.TrimSuffix(state, entryEnd), entryEnd)
	number, body, _ := strings.Cut(entries[len(entries)-1], " ")
	version, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		panic(fmt.Sprintf("explore: model entry %q has no version: %v", entries[len(entries)-1], err))
	}
	return version, body
}

// next returns the states that may follow state when the operation was answered so.
func (h *history) next(state string, performed *operation, observed outcome) []any {
	current, currentBody := newestEntry(state)
	matchesCurrent := observed.version == current && observed.body == currentBody
	if performed.kind == readKind {
		return nextRead(state, observed, matchesCurrent)
	}
	return h.nextWrite(state, performed, observed, performed.version > current, matchesCurrent)
}

// nextRead leaves the state as it is; no state follows an answer that does not fit it.
func nextRead(state string, observed outcome, matchesCurrent bool) []any {
	found := observed.code == errcode.OK && matchesCurrent
	empty := observed.code == errcode.ConfigurationNotFound && state == ""
	if !observed.known || found || empty {
		return []any{state}
	}
	return nil
}

// nextWrite adds the entry where the answer says so, and both does and does not where the answer
// is unknown. newer says that the write's version is above the state's, same that the answer names
// the state's newest entry.
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

const linearizabilityTimeout = 5 * time.Second

// checkLinearizability looks for an order of all that had an effect or told of one.
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
		list = append(list, porcupine.Operation{ClientId: len(list), Input: recorded, Call: recorded.callStep, Output: observed, Return: returnStep})
	}
	if porcupine.CheckOperationsTimeout(w.history.model(), list, linearizabilityTimeout) == porcupine.Illegal {
		w.reportViolation("linearizable", "%d writes and reads fit no order", len(list))
	}
}
