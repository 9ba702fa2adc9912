package simulation

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
)

// configLogRequest is the input of the linearizability check of the configuration log.
type configLogRequest struct {
	write       bool
	version     int64
	entry       string // version and digest of a put
	highestWins bool   // an overtaken version is acknowledged and alters nothing
}

type configLogAnswer struct {
	code    errcode.Code
	digest  string
	unknown bool
}

type configLogOperation struct {
	request  configLogRequest
	answer   configLogAnswer
	from, to time.Duration
	answered bool
}

// readConfigLog has an operator read the current configuration at some registry now and then.
func (w *World) readConfigLog(every, until time.Duration) {
	if w.now > until {
		return
	}
	if registries := w.runningNodes(message.RoleRegistry); len(registries) > 0 {
		operation := &configLogOperation{from: w.now}
		registries[w.random.IntN(len(registries))].request(registry.ReadConfiguration{ConfigName: "main"}, func(answer any) {
			got := mustCast[registry.OperatorResponse](answer)
			if got.Code == errcode.OK || got.Code == errcode.ConfigurationNotFound {
				operation.answer = configLogAnswer{code: got.Code, digest: checker.Digest(got.Body)}
				operation.to, operation.answered = w.now, true
				w.configLogOperations = append(w.configLogOperations, operation)
			}
		})
	}
	w.after(every, func() { w.readConfigLog(every, until) })
}

// newestEntry returns version and digest of the last entry in the model's state; zero values when
// the state holds none. An entry that does not begin with a number is a programming error of the model.
func newestEntry(committed string) (version int64, digest string) {
	entries := strings.Fields(committed)
	if len(entries) == 0 {
		return 0, ""
	}
	number, digest, _ := strings.Cut(entries[len(entries)-1], ":")
	version, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		panic(fmt.Sprintf("simulation: model entry %q has no version: %v", entries[len(entries)-1], err))
	}
	return version, digest
}

// configLogModel is the configuration log as one copy that takes one operation at a time: every
// write and read, with when it was sent and answered, must fit one order in which each takes effect
// at one moment between the two. A write without a known outcome may take effect at any later time,
// or never. The state is the list of the committed versions, oldest first.
var configLogModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		committed := mustCast[string](state)
		request := mustCast[configLogRequest](input)
		answer := mustCast[configLogAnswer](output)
		current, currentDigest := newestEntry(committed)
		present := strings.Contains(" "+committed+" ", " "+request.entry+" ")
		applied := strings.TrimSpace(committed + " " + request.entry)
		switch {
		case !request.write && answer.code == errcode.ConfigurationNotFound && committed == "",
			!request.write && answer.code == errcode.OK && answer.digest == currentDigest:
			return []any{state}
		case !request.write:
			return nil
		case answer.unknown && request.version > current:
			return []any{state, applied}
		case answer.unknown, answer.code == errcode.ConfigurationNoHolder, answer.code == errcode.OK && present:
			return []any{state}
		case answer.code == errcode.OK && request.version > current:
			return []any{applied}
		case answer.code == errcode.ConfigurationConflict && !request.highestWins && request.version <= current && !present:
			return []any{state}
		case answer.code == errcode.ConfigurationConflict && request.highestWins && !present && versionCommitted(committed, request.version),
			answer.code == errcode.OK && request.highestWins && request.version < current && !versionCommitted(committed, request.version):
			return []any{state}
		}
		return nil
	},
	Equal: func(one, other any) bool { return one == other },
}

// numberTaken says that some content was committed under a version.
func versionCommitted(committed string, version int64) bool {
	return strings.Contains(" "+committed, fmt.Sprintf(" %d:", version))
}

// linear checks the operations of a run; few runs take long, those are given up.
func (w *World) checkLinearizability() (bool, int) {
	history := []porcupine.Operation{}
	for index, operation := range w.configLogOperations {
		operation.request.highestWins = w.options.Deployment.Writes == settings.WritesHighest
		answer, to := operation.answer, int64(operation.to)
		if !operation.answered || answer.code == errcode.ConfigurationUnsure {
			answer, to = configLogAnswer{unknown: true}, math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			ClientId: index,
			Input:    operation.request,
			Call:     int64(operation.from),
			Output:   answer,
			Return:   to,
		})
	}
	return porcupine.CheckOperationsTimeout(configLogModel.ToModel(), history, 20*time.Second) != porcupine.Illegal, len(history)
}
