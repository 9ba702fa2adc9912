package explore

import (
	"math/rand/v2"

	"beaconvane/internal/message"
)

// walker draws actions as the run goes on. Each walk has a few kinds of faults of its own and favours
// the moments that matter: messages and writes of a commit, of a lease and of a change of voters.
type walker struct {
	random        *rand.Rand
	faultsLeft    int // faults that may still come
	faultKinds    []Kind
	faultRate     float64 // of faults, per message that matters
	burstEnd      int     // the round at which a burst of faults is over
	faultsFrom    int     // the round at which faults begin
	requestRate   float64 // of operators' orders, per round
	sequenceRate     float64 // of planned second losses, per round
	newestVersion int64
	sentWrites    []Action // orders, for sending again
	planned       []Action // what is planned for later rounds
	muteLogUntil  int      // until which round followers hear nothing of the log
	lastContent   int

	upstreamRate float64 // of upstreams' steps, per round
	faultsUntil  int     // the round behind which no fault comes; 0: there is none
}

// disruptiveFaults may move the lease or lose data; each walk has one of them at least.
var disruptiveFaults = []Kind{Crash, CrashDuringWrite, LoseDisk, Replace, Leave, Cut, Isolate, Freeze}

var allFaults = append([]Kind{DropMessage, DuplicateMessage, DelayMessage, SlowDisk, Join, CutOneWay, ClockStep}, disruptiveFaults...)

// newWalker draws what kind of walk it is.
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

// faultFreeRounds is how long a run of registries is calm at its end, so that what they hold may
// be compared with the truth.
const faultFreeRounds = 120

// minRegistryFaultRate is the least rate of faults in a walk among registries, which has fewer
// messages that matter.
const minRegistryFaultRate = 0.1

// configureForRegistry makes it a walk among registries: no orders of operators, upstreams that come
// and go, and calm at the end.
func (k *walker) configureForRegistry(options Options) {
	k.requestRate = 0
	k.upstreamRate = 0.02 + 0.1*k.random.Float64()
	k.faultKinds = append(k.faultKinds, DropFromProxy, DropFromProxy, DropFromProxy)
	k.faultRate = max(k.faultRate, minRegistryFaultRate)
	k.faultsUntil = options.Rounds - faultFreeRounds - maxFaultRounds
}

// One walk in four loses a good part of the messages that matter, so that what rests on
// a message that came is told from what rests on one that was sent.
const (
	lossyFaultRate = 0.35
	lossyMaxFaults = 60
)

// walksPerEarlyFaultWalk is how many walks go to one that has faults from the start. A process that restarts
// founds no group, so most of these never come to serve.
const walksPerEarlyFaultWalk = 8

// isCritical says that a fault at this message or write is worth more than at others.
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

// burstRounds is how long after a fault the next one is likelier: a second loss right
// after a first, or after its repair, is worth more than one at any time.
const (
	burstRounds = 15
	burstFactor = 4
)

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

// drawRounds is how long a fault lasts: mostly short, now and then long enough for others
// to take over, or to replace who is away.
func (k *walker) drawRounds() int {
	switch k.random.IntN(4) {
	case 0:
		return 1 + k.random.IntN(3)
	case 1, 2:
		return 3 + k.random.IntN(15)
	}
	return maxFaultRounds/4 + k.random.IntN(maxFaultRounds*3/4)
}

// maxFaultRounds is the longest that a fault lasts.
const maxFaultRounds = 60

// drawTarget is mostly a process that the message concerns, or the holder.
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

// startupRounds is about how long a group needs to be founded and to serve.
const startupRounds = 10

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

// planSequence plans a row of losses around a write, or around a window of usage.
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

// drawRequest is an operator's: a read, a new version, another operator's content under the
// same version, an older version, or an drawRequest sent again.
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

func (k *walker) newWrite(node int, version int64) Action {
	k.lastContent++
	action := Action{Kind: SendWrite, Node: node, Version: version, Content: k.lastContent, Invalid: k.random.IntN(20) == 0}
	k.sentWrites = append(k.sentWrites, action)
	return action
}
