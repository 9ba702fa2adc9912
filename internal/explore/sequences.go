package explore

import (
	"slices"

	"beaconvane/internal/message"
)

// dueActions removes and returns the planned actions that are due. Planned sequences are faults right after one
// another or after a repair, around a write that only a bare majority holds.
func (k *walker) dueActions(round int) []Action {
	actions, rest := []Action{}, []Action{}
	for _, planned := range k.planned {
		if planned.Round <= round {
			actions = append(actions, planned)
		} else {
			rest = append(rest, planned)
		}
	}
	k.planned = rest
	return actions
}

// firstFaults make a follower that holds the write lose it, stop or become unreachable. secondFaults then hit the lease
// holder, before or after the follower is replaced.
var (
	firstFaults  = []Kind{LoseDisk, LoseDisk, Replace, Replace, Crash, Freeze, Isolate, CrashDuringWrite}
	secondFaults = []Kind{Isolate, Isolate, Freeze, Crash, CrashDuringWrite, LoseDisk, Replace}
)

// planDoubleFailure cuts the lease holder off from as many followers as it can lose, sends it a write, plans a fault of
// a follower that holds the write, then one of the holder, and reads from all others.
func (k *walker) planDoubleFailure(w *World) {
	serving := w.servingProcesses()
	if len(serving) == 0 {
		return
	}
	holder := serving[0].index
	followers := []int{}
	for _, p := range w.upProcesses() {
		if p.index != holder && p.hasVoter {
			followers = append(followers, p.index)
		}
	}
	k.random.Shuffle(len(followers), func(i, j int) { followers[i], followers[j] = followers[j], followers[i] })
	if len(followers) < w.plan.Voters-1 {
		return
	}
	at := w.round
	add := func(action Action) {
		action.Round, action.CrashSeed, action.DiskSteps = at, k.random.Uint64(), 1+k.random.IntN(7)
		k.planned = append(k.planned, action)
	}
	disconnected := followers[:w.plan.Voters/2]
	connected := followers[w.plan.Voters/2:]
	cutRounds := 10 + k.random.IntN(60)
	kind := []Kind{Cut, Cut, CutOneWay}[k.random.IntN(3)]
	for _, follower := range disconnected {
		add(Action{Kind: kind, Node: holder, Peer: follower, Rounds: cutRounds})
	}
	at += 1 + k.random.IntN(3)
	k.newestVersion++
	add(k.newWrite(holder, k.newestVersion))
	at += k.random.IntN(3)
	firstVictim := connected[k.random.IntN(len(connected))]
	add(Action{Kind: firstFaults[k.random.IntN(len(firstFaults))], Node: firstVictim, Rounds: 1 + k.random.IntN(20)})
	at += k.random.IntN(50)
	add(Action{Kind: secondFaults[k.random.IntN(len(secondFaults))], Node: holder, Rounds: 20 + k.random.IntN(60)})
	for range 4 {
		at += 3 + k.random.IntN(12)
		k.planRequests(w, holder, add)
	}
	k.faultsLeft -= 2
	slices.SortStableFunc(k.planned, func(one, other Action) int { return one.Round - other.Round })
}

// planRequests plans reads, and occasional writes, at all processes except the failed holder.
func (k *walker) planRequests(w *World, holder int, add func(Action)) {
	for _, p := range w.processes {
		if p.index == holder {
			continue
		}
		add(Action{Kind: SendRead, Node: p.index})
		if k.random.IntN(6) == 0 {
			k.newestVersion++
			add(k.newWrite(p.index, k.newestVersion))
		}
	}
}

// planUncommittedWrite sends the lease holder a write whose log messages are dropped, and reads from the holder while
// the write is in flight. Half of the time it restarts the holder, which then continues from its disk. Finally it
// isolates the holder for 60 rounds and reads from the others.
func (k *walker) planUncommittedWrite(w *World) {
	serving := w.servingProcesses()
	if len(serving) == 0 {
		return
	}
	holder := serving[0].index
	at := w.round
	add := func(action Action) {
		action.Round, action.CrashSeed = at, k.random.Uint64()
		k.planned = append(k.planned, action)
	}
	k.newestVersion++
	add(k.newWrite(holder, k.newestVersion))
	add(Action{Kind: SendRead, Node: holder})
	if k.random.IntN(2) == 0 {
		at += 1 + k.random.IntN(2)
		add(Action{Kind: Crash, Node: holder, Rounds: 1})
		for range 10 {
			at++
			add(Action{Kind: SendRead, Node: holder})
		}
	}
	k.muteLogUntil = at + 2
	at++
	add(Action{Kind: Isolate, Node: holder, Rounds: 60})
	at += 20
	for range 3 {
		at += 3 + k.random.IntN(8)
		k.planRequests(w, holder, add)
	}
	k.faultsLeft -= 2
}

// dropsLogMessage reports whether next is a message of log replication while these are dropped.
func (k *walker) dropsLogMessage(w *World, next *item) bool {
	if w.round >= k.muteLogUntil {
		return false
	}
	switch next.message.(type) {
	case message.LogAppend, message.LogAppendDelta, message.LogRecommit, message.LogSnapshot:
		return true
	}
	return false
}

// planSealDivergence makes the followers' usage counts differ from the holder's and cuts the holder off from as many
// followers as it can lose, so that at most the remaining ones learn of the windows that the holder seals. Sometimes
// one of these loses its unsynced writes. Then the holder is isolated: the next holder must report the same values.
func (k *walker) planSealDivergence(w *World) {
	holder, found := w.runningReporter()
	if !found {
		return
	}
	followers := []int{}
	for _, p := range w.upProcesses() {
		if p.index != holder && p.hasVoter {
			followers = append(followers, p.index)
		}
	}
	k.random.Shuffle(len(followers), func(i, j int) { followers[i], followers[j] = followers[j], followers[i] })
	if len(followers) < w.plan.Voters-1 {
		return
	}
	at := w.round
	add := func(action Action) {
		action.Round, action.CrashSeed = at, k.random.Uint64()
		k.planned = append(k.planned, action)
	}
	for _, follower := range followers {
		for proxy := range fleetProxies {
			add(Action{Kind: DropFromProxy, Node: follower, Peer: proxy, Rounds: maxFaultRounds})
		}
	}
	disconnected := followers[:w.plan.Voters/2]
	receiver := followers[w.plan.Voters/2]
	for _, follower := range disconnected {
		add(Action{Kind: Cut, Node: holder, Peer: follower, Rounds: maxFaultRounds})
	}
	at += k.random.IntN(2 * windowRounds)
	if k.random.IntN(2) == 0 {
		add(Action{Kind: SlowDisk, Node: receiver, Rounds: 2 * windowRounds})
	}
	if k.random.IntN(3) == 0 {
		add(Action{Kind: Isolate, Node: holder, Rounds: maxFaultRounds})
	}
	at += 1 + k.random.IntN(2*windowRounds)
	if k.random.IntN(2) == 0 {
		add(Action{Kind: Crash, Node: receiver, Rounds: 1})
	}
	add(Action{Kind: Isolate, Node: holder, Rounds: maxFaultRounds})
	k.faultsLeft -= 2
}

// runningReporter returns the index of the process that sent the last usage report; false if there is none or it is
// not running.
func (w *World) runningReporter() (int, bool) {
	if w.fleet == nil || len(w.fleet.calls) == 0 {
		return 0, false
	}
	last := w.fleet.calls[len(w.fleet.calls)-1].node
	for _, p := range w.upProcesses() {
		if p.name() == last && !p.frozen {
			return p.index, true
		}
	}
	return 0, false
}
