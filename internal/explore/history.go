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

// factual says that the outcome is about the configuration, not about the process.
func (o outcome) factual() bool {
	switch o.code {
	case errcode.OK, errcode.ConfigurationBad, errcode.ConfigurationConflict, errcode.ConfigurationNotFound, errcode.ConfigurationTooLarge:
		return o.known
	}
	return false
}

type operation struct {
	kind     operationKind
	version  int64
	body     string
	answer   outcome
	from, to int64
	floor    int64 // the newest version that anyone was told of before this was asked
}

type history struct {
	highest    bool
	operations []*operation
	contents   map[int64]string // by version: what is known to be committed
	refused    map[string]bool  // orders that were refused for what they are
	floor      int64
}

func newHistory(highest bool) history {
	return history{highest: highest, contents: map[int64]string{}, refused: map[string]bool{}}
}

func (h *history) begin(w *World, asked *operation) int64 {
	asked.from, asked.floor = w.step, h.floor
	h.operations = append(h.operations, asked)
	return int64(len(h.operations))
}

// answer notes an outcome and checks what can be checked at once.
func (h *history) answer(w *World, asked *operation, response message.StoreResponse) {
	asked.to = w.step
	asked.answer = outcome{known: true, code: errcode.Code(response.Code), version: response.Version, body: string(response.Body)}
	switch asked.answer.code {
	case errcode.OK:
		if asked.kind == writeKind && asked.answer.version == asked.version {
			asked.answer.body = asked.body
		}
		h.committed(w, asked)
	case errcode.ConfigurationNotFound:
		if asked.floor > 0 {
			w.violate("durable", "nothing is found, and version %d was told of before", asked.floor)
		}
	case errcode.ConfigurationConflict, errcode.ConfigurationBad:
		if asked.kind == writeKind {
			h.refuse(w, asked)
		}
	}
}

func orderKey(version int64, body string) string { return fmt.Sprintf("%d %s", version, body) }

func (h *history) committed(w *World, asked *operation) {
	version, body := asked.answer.version, asked.answer.body
	if content, known := h.contents[version]; known && content != body {
		w.violate("one-content", "version %d is %s and was %s", version, body, content)
	}
	if h.refused[orderKey(version, body)] {
		w.violate("no-false-refusal", "version %d, %s is committed and was refused", version, body)
	}
	rereading := asked.kind == writeKind && !h.highest && version == asked.version
	if version < asked.floor && !rereading {
		w.violate("durable", "%s gives version %d, and %d was told of before", asked, version, asked.floor)
	}
	h.contents[version] = body
	h.floor = max(h.floor, version)
}

func (h *history) refuse(w *World, asked *operation) {
	h.refused[orderKey(asked.version, asked.body)] = true
	if content, known := h.contents[asked.version]; known && content == asked.body {
		w.violate("no-false-refusal", "%s is refused with %s and was committed", asked, asked.answer)
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
	committed, isState := state.(string)
	asked, isOperation := input.(*operation)
	answer, isOutcome := output.(outcome)
	if !isState || !isOperation || !isOutcome {
		panic(fmt.Sprintf("explore: the model got a %T, a %T and a %T", state, input, output))
	}
	return h.next(committed, asked, answer)
}

const entryMark = "\n"

// newestEntry returns version and body of the last entry in the model's state; zero values when the
// state holds none. An entry that does not begin with a number is a programming error of the model.
func newestEntry(state string) (version int64, body string) {
	if state == "" {
		return 0, ""
	}
	entries := strings.Split(strings.TrimSuffix(state, entryMark), entryMark)
	number, body, _ := strings.Cut(entries[len(entries)-1], " ")
	version, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		panic(fmt.Sprintf("explore: model entry %q has no version: %v", entries[len(entries)-1], err))
	}
	return version, body
}

// next returns the states that may follow state when the operation was answered so.
func (h *history) next(state string, asked *operation, answer outcome) []any {
	current, currentBody := newestEntry(state)
	same := answer.version == current && answer.body == currentBody
	if asked.kind == readKind {
		return nextRead(state, answer, same)
	}
	return h.nextWrite(state, asked, answer, asked.version > current, same)
}

// nextRead leaves the state as it is; no state follows an answer that does not fit it.
func nextRead(state string, answer outcome, same bool) []any {
	found := answer.code == errcode.OK && same
	empty := answer.code == errcode.ConfigurationNotFound && state == ""
	if !answer.known || found || empty {
		return []any{state}
	}
	return nil
}

// nextWrite adds the entry where the answer says so, and both does and does not where the answer
// is unknown. newer says that the write's version is above the state's, same that the answer names
// the state's newest entry.
func (h *history) nextWrite(state string, asked *operation, answer outcome, newer, same bool) []any {
	entry := orderKey(asked.version, asked.body) + entryMark
	held := strings.Contains(entryMark+state, entryMark+entry)
	switch {
	case !answer.known && newer:
		return []any{state, state + entry}
	case !answer.known:
		return []any{state}
	case answer.code == errcode.OK && newer && answer.version == asked.version:
		return []any{state + entry}
	case answer.code == errcode.OK && held && answer.version == asked.version:
		return []any{state}
	case answer.code == errcode.OK && h.highest && answer.version > asked.version && same:
		return []any{state}
	case answer.code == errcode.ConfigurationConflict && !newer && !held:
		return []any{state}
	}
	return nil
}

const linearLimit = 5 * time.Second

// checkHistory looks for an order of all that had an effect or told of one.
func (w *World) checkHistory() {
	list := []porcupine.Operation{}
	for _, asked := range w.history.operations {
		answer, to := asked.answer, asked.to
		switch answer.code {
		case errcode.ConfigurationBad, errcode.ConfigurationTooLarge, errcode.ConfigurationNoHolder, errcode.ConfigurationBehind:
			continue
		case errcode.ConfigurationUnsure:
			answer = outcome{}
		}
		if !answer.known {
			if asked.kind == readKind {
				continue
			}
			to = math.MaxInt64
		}
		list = append(list, porcupine.Operation{ClientId: len(list), Input: asked, Call: asked.from, Output: answer, Return: to})
	}
	if porcupine.CheckOperationsTimeout(w.history.model(), list, linearLimit) == porcupine.Illegal {
		w.violate("linearizable", "%d writes and reads fit no order", len(list))
	}
}
