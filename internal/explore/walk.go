package explore

import (
	"math/rand/v2"

	"beaconvane/internal/message"
)

// walker draws the actions of a random walk during the run. Each walk uses a few kinds of faults and prefers
// critical moments: the messages and writes of a commit, of a lease and of a change of voters.
type walker struct {
	random        *rand.Rand
	faultsLeft    int // how many more faults may be drawn
	faultKinds    []Kind
	faultRate     float64  // probability of a fault per critical message or write
	burstEnd      int      // first round after a burst of faults
	faultsFrom    int      // first round with faults
	requestRate   float64  // probability of an operator's request per round
	sequenceRate  float64  // probability of a planned sequence of faults per round
	newestVersion int64    // highest version of the writes so far
	sentWrites    []Action // writes that may be sent again
	planned       []Action // actions for later rounds
	muteLogUntil  int      // round until which log messages are dropped
	lastContent   int      // numbers the contents of the writes

	upstreamRate float64 // probability of a state change of an upstream per round
	faultsUntil  int     // first round without actions at the end of the run; 0: no limit
}

// disruptiveFaults may move the lease or lose data; each walk uses at least one of these kinds.
var disruptiveFaults = []Kind{Crash, CrashDuringWrite, LoseDisk, Replace, Leave, Cut, Isolate, Freeze}

// allFaults are the kinds of faults of all walks; DropFromProxy is added for registries.
var allFaults = append([]Kind{DropMessage, DuplicateMessage, DelayMessage, SlowDisk, Join, CutOneWay, ClockStep}, disruptiveFaults...)

// newWalker draws the kinds and the rates of the walk's faults from the seed.
func newWalker(seed uint64, options Options) *walker {
	random, faults := rand.New(rand.NewPCG(seed, 0x5eed)), options.Faults
	k := &walker{random: random, faultsLeft: faults/3 + random.IntN(faults-faults/3+1)}
	k.faultKinds = append(k.faultKinds, disruptiveFaults[random.IntN(len(disruptiveFaults))])
	for range random.IntN(4) {
		k.faultKinds = append(k.faultKinds, allFaults[random.IntN(len(allFaults))])
	}
	k.faultRate = 0.02 + 0.3*random.Float64()*random.Float64()
	k.requestRate = 0.05 + 0.3*random.Float64()
	switch random.IntN(4) {
	case 0, 1:
		k.sequenceRate = 0.1
	case 2:
		k.faultKinds = append([]Kind{DropMessage, DropMessage, DelayMessage}, k.faultKinds[0])
		k.faultRate, k.faultsLeft = lossyFaultRate, lossyMaxFaults
	}
	if random.IntN(walksPerEarlyFaultWalk) > 0 {
		k.faultsFrom = startupRounds + random.IntN(startupRounds)
	}
	if options.Role == message.RoleRegistry {
		k.configureForRegistry(options)
	}
	return k
}

// faultFreeRounds is how long a run of registries is free of faults at its end, so that they converge before their
// state is compared with the fleet.
const faultFreeRounds = 120

// minRegistryFaultRate is the minimum fault rate in walks of registries, which send fewer critical messages.
const minRegistryFaultRate = 0.1

// configureForRegistry sets the walk up for registries: no operators' requests, upstreams that register and
// deregister, and no faults at the end.
func (k *walker) configureForRegistry(options Options) {
	k.requestRate = 0
	k.upstreamRate = 0.02 + 0.1*k.random.Float64()
	k.faultKinds = append(k.faultKinds, DropFromProxy, DropFromProxy, DropFromProxy)
	k.faultRate = max(k.faultRate, minRegistryFaultRate)
	k.faultsUntil = options.Rounds - faultFreeRounds - maxFaultRounds
}

// One walk in four drops many critical messages, which exposes code that treats a sent message as received.
const (
	lossyFaultRate = 0.35
	lossyMaxFaults = 60
)

// walksPerEarlyFaultWalk: one in this many walks has faults from the start. A restarted process doesn't form a group,
// so most of these walks never serve.
const walksPerEarlyFaultWalk = 8

// isCritical reports whether a fault at this message or write is more likely to expose an error than at others.
func isCritical(next *item) bool {
	if next.write != nil {
		return true
	}
	switch next.message.(type) {
	case message.LogAppend, message.LogAppendDelta, message.LogAppended, message.LogRecommit, message.LogPositionResponse,
		message.LogSnapshot, message.WriteRequest, message.ReadRequest, message.VoterClaim, message.VoterGrant,
		message.UsageSeal, message.UsageSealResponse, message.UsageReadResponse, message.RosterChange, message.RosterSnapshot:
		return true
	}
	return false
}

// For burstRounds after a fault the probability of the next one is multiplied by burstFactor: a second fault right
// after the first, or after its repair, is more likely to expose an error than one at any other time.
const (
	burstRounds = 15
	burstFactor = 4
)

// choose implements chooser.
func (k *walker) choose(w *World, next *item) []Action {
	if k.faultsUntil > 0 && w.round >= k.faultsUntil {
		return nil
	}
	if next == nil {
		if w.stepInRound > 0 {
			return nil
		}
		return k.chooseAtRoundStart(w)
	}
	if k.dropsLogMessage(w, next) {
		return []Action{{Kind: DropMessage}}
	}
	chance := k.faultRate / 20
	if isCritical(next) {
		chance = k.faultRate
	}
	if w.round < k.burstEnd {
		chance *= burstFactor
	}
	if k.faultsLeft <= 0 || w.round < k.faultsFrom || k.random.Float64() >= chance {
		return nil
	}
	return k.drawFault(w, next)
}

// drawFault draws one fault and starts a burst.
func (k *walker) drawFault(w *World, next *item) []Action {
	action := Action{
		Kind:      k.faultKinds[k.random.IntN(len(k.faultKinds))],
		Rounds:    k.drawRounds(),
		CrashSeed: k.random.Uint64(),
		DiskSteps: 1 + k.random.IntN(7),
	}
	action.Node = k.drawTarget(w, next)
	action.Peer = k.random.IntN(len(w.processes))
	if action.Kind == ClockStep {
		action.Rounds -= 20
	}
	k.faultsLeft--
	k.burstEnd = w.round + burstRounds
	return []Action{action}
}

// drawRounds draws the duration of a fault: mostly short, sometimes long enough for another process to take over the
// lease or to replace the absent one.
func (k *walker) drawRounds() int {
	switch k.random.IntN(4) {
	case 0:
		return 1 + k.random.IntN(3)
	case 1, 2:
		return 3 + k.random.IntN(15)
	}
	return maxFaultRounds/4 + k.random.IntN(maxFaultRounds*3/4)
}

// maxFaultRounds is the maximum duration of a fault.
const maxFaultRounds = 60

// drawTarget draws a process, preferring lease holders and the sender and receiver of next.
func (k *walker) drawTarget(w *World, next *item) int {
	if serving := w.servingProcesses(); len(serving) > 0 && k.random.IntN(3) == 0 {
		return serving[k.random.IntN(len(serving))].index
	}
	if next != nil && k.random.IntN(3) > 0 {
		if sender := w.byAddress[next.from]; sender != nil && k.random.IntN(2) == 0 {
			return sender.index
		}
		return next.to.index
	}
	return k.random.IntN(len(w.processes))
}

// startupRounds is about how many rounds a group needs to form and to start serving.
const startupRounds = 10

// chooseAtRoundStart returns the actions at the start of a round: planned ones, a fault, a change of an upstream and
// operators' requests.
func (k *walker) chooseAtRoundStart(w *World) []Action {
	actions := k.dueActions(w.round)
	if len(k.planned) == 0 && w.round >= k.faultsFrom && k.faultsLeft > 0 && k.random.Float64() < k.sequenceRate {
		k.planSequence(w)
	}
	if k.faultsLeft > 0 && k.random.Float64() < k.faultRate/4 && w.round >= k.faultsFrom {
		actions = append(actions, k.drawFault(w, nil)...)
	}
	if k.upstreamRate > 0 && k.random.Float64() < k.upstreamRate {
		actions = append(actions, Action{Kind: AdvanceUpstream, Node: k.random.IntN(fleetProxies), Peer: k.random.IntN(upstreamsPerProxy)})
	}
	for w.round > startupRounds && k.random.Float64() < k.requestRate && len(w.history.operations) < 40 {
		actions = append(actions, k.drawRequest(w))
	}
	return actions
}

// planSequence plans a sequence of faults around a write, or around a usage window.
func (k *walker) planSequence(w *World) {
	switch {
	case w.fleet != nil:
		k.planSealDivergence(w)
	case k.random.IntN(3) == 0:
		k.planUncommittedWrite(w)
	default:
		k.planDoubleFailure(w)
	}
}

// drawRequest draws an operator's request: a read, a new version, another content under the newest version, an older
// version, or an earlier write sent again.
func (k *walker) drawRequest(w *World) Action {
	node := k.random.IntN(len(w.processes))
	if serving := w.servingProcesses(); len(serving) > 0 && k.random.IntN(4) > 0 {
		node = serving[k.random.IntN(len(serving))].index
	}
	switch choice := k.random.IntN(10); {
	case choice < 3:
		return Action{Kind: SendRead, Node: node}
	case choice < 5 && len(k.sentWrites) > 0:
		resent := k.sentWrites[k.random.IntN(len(k.sentWrites))]
		resent.Node = node
		return resent
	case choice == 5 && k.newestVersion > 0:
		return k.newWrite(node, 1+k.random.Int64N(k.newestVersion))
	case choice == 6 && k.newestVersion > 0:
		return k.newWrite(node, k.newestVersion)
	}
	k.newestVersion++
	return k.newWrite(node, k.newestVersion)
}

// newWrite returns a write with a new content and records it in sentWrites.
func (k *walker) newWrite(node int, version int64) Action {
	k.lastContent++
	action := Action{Kind: SendWrite, Node: node, Version: version, Content: k.lastContent, Invalid: k.random.IntN(20) == 0}
	k.sentWrites = append(k.sentWrites, action)
	return action
}
