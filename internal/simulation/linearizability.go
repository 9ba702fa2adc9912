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

// configLogRequest is the input of one operation in the linearizability check of the configuration log:
// a write, or a read of the current configuration.
type configLogRequest struct {
	write       bool
	version     int64
	entry       string // version and digest of a put
	highestWins bool   // a write of an older version is acknowledged without effect
}

// configLogAnswer is the output of one operation.
type configLogAnswer struct {
	code    errcode.Code
	digest  string
	unknown bool
}

// configLogOperation is one operation with the times of its call and its answer.
type configLogOperation struct {
	request              configLogRequest
	answer               configLogAnswer
	calledAt, answeredAt time.Duration
	answered             bool
}

// readConfigLog has an operator periodically read the current configuration from a random registry. Only
// reads that return a configuration, or that there is none, go into the history.
func (w *World) readConfigLog(every, until time.Duration) {
	if w.now > until {
		return
	}
	if registries := w.runningNodes(message.RoleRegistry); len(registries) > 0 {
		operation := &configLogOperation{calledAt: w.now}
		registries[w.random.IntN(len(registries))].request(registry.ReadConfiguration{ConfigName: "main"}, func(answer any) {
			response := mustCast[registry.OperatorResponse](answer)
			if response.Code == errcode.OK || response.Code == errcode.ConfigurationNotFound {
				operation.answer = configLogAnswer{code: response.Code, digest: checker.Digest(response.Body)}
				operation.answeredAt, operation.answered = w.now, true
				w.configLogOperations = append(w.configLogOperations, operation)
			}
		})
	}
	w.after(every, func() { w.readConfigLog(every, until) })
}

// newestEntry returns the version and the digest of the last entry in the model's state; zero values if
// the state is empty. An entry that doesn't begin with a number is a programming error, so it panics.
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

// configLogModel is the sequential specification of the configuration log for the linearizability
// check: there must be one order of all writes and reads in which each takes effect at one moment
// between its call and its answer. A write with an unknown outcome may take effect at any later time,
// or never. The state is the list of committed entries, "version:digest", oldest first.
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
		case answer.code == errcode.ConfigurationConflict && request.highestWins && !present &&
			versionCommitted(committed, request.version),
			answer.code == errcode.OK && request.highestWins && request.version < current && !versionCommitted(committed, request.version):
			return []any{state}
		}
		return nil
	},
	Equal: func(one, other any) bool { return one == other },
}

// versionCommitted reports whether some content has been committed under a version.
func versionCommitted(committed string, version int64) bool {
	return strings.Contains(" "+committed, fmt.Sprintf(" %d:", version))
}

// checkLinearizability checks the operations of a run and returns whether they may be linearizable, and
// their number. The few checks that take longer than the timeout count as passed.
func (w *World) checkLinearizability() (bool, int) {
	history := []porcupine.Operation{}
	for index, operation := range w.configLogOperations {
		operation.request.highestWins = w.options.Deployment.Writes == settings.WritesHighest
		answer, returnedAt := operation.answer, int64(operation.answeredAt)
		if !operation.answered || answer.code == errcode.ConfigurationUnsure {
			answer, returnedAt = configLogAnswer{unknown: true}, math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			ClientId: index,
			Input:    operation.request,
			Call:     int64(operation.calledAt),
			Output:   answer,
			Return:   returnedAt,
		})
	}
	return porcupine.CheckOperationsTimeout(configLogModel.ToModel(), history, 20*time.Second) != porcupine.Illegal, len(history)
}
