package explore

import (
	"slices"

	"beaconvane/internal/message"
)

// due takes the planned actions of a round. Chained actions are a loss right after another or after
// its repair, around a write that only a bare majority has.
func (k *walker) due(round int) []Action {
	actions, rest := []Action{}, []Action{}
	for _, planned := range k.chain {
		if planned.Round <= round {
			actions = append(actions, planned)
		} else {
			rest = append(rest, planned)
		}
	}
	k.chain = rest
	return actions
}

// firstLosses make a follower that has the write lose it, stand still or leave; secondLosses
// then take the holder, before or after the follower is replaced.
var (
	firstLosses  = []Kind{DiskLost, DiskLost, Replace, Replace, Crash, Freeze, Isolate, CrashDisk}
	secondLosses = []Kind{Isolate, Isolate, Freeze, Crash, CrashDisk, DiskLost, Replace}
)

// planSecondLoss cuts the holder from as many followers as it can spare, has it take a
// write, takes a follower that has the write, then the holder, and asks all others.
func (k *walker) planSecondLoss(w *World) {
	serving := w.serving()
	if len(serving) == 0 {
		return
	}
	holder := serving[0].index
	followers := []int{}
	for _, p := range w.upProcesses() {
		if p.index != holder && p.seated {
			followers = append(followers, p.index)
		}
	}
	k.random.Shuffle(len(followers), func(i, j int) { followers[i], followers[j] = followers[j], followers[i] })
	if len(followers) < w.plan.Voters-1 {
		return
	}
	at := w.round
	add := func(action Action) {
		action.Round, action.Dice, action.DiskSteps = at, k.random.Uint64(), 1+k.random.IntN(7)
		k.chain = append(k.chain, action)
	}
	away := followers[:w.plan.Voters/2]
	behind := followers[w.plan.Voters/2:]
	length := 10 + k.random.IntN(60)
	kind := []Kind{Cut, Cut, CutOneWay}[k.random.IntN(3)]
	for _, follower := range away {
		add(Action{Kind: kind, Node: holder, Peer: follower, Rounds: length})
	}
	at += 1 + k.random.IntN(3)
	k.newest++
	add(k.write(holder, k.newest))
	at += k.random.IntN(3)
	lost := behind[k.random.IntN(len(behind))]
	add(Action{Kind: firstLosses[k.random.IntN(len(firstLosses))], Node: lost, Rounds: 1 + k.random.IntN(20)})
	at += k.random.IntN(50)
	add(Action{Kind: secondLosses[k.random.IntN(len(secondLosses))], Node: holder, Rounds: 20 + k.random.IntN(60)})
	for range 4 {
		at += 3 + k.random.IntN(12)
		k.planQuestions(w, holder, add)
	}
	k.left -= 2
	slices.SortStableFunc(k.chain, func(one, other Action) int { return one.Round - other.Round })
}

// planQuestions asks all but the lost holder, and now and then writes.
func (k *walker) planQuestions(w *World, holder int, add func(Action)) {
	for _, p := range w.processes {
		if p.index == holder {
			continue
		}
		add(Action{Kind: ReadOrder, Node: p.index})
		if k.random.IntN(6) == 0 {
			k.newest++
			add(k.write(p.index, k.newest))
		}
	}
}

// planInFlight has the holder take a write that no follower hears of, asks the holder
// while the write is in flight, restarts it at times so that it goes on with what its
// disk has, and then takes it away from the others for good.
func (k *walker) planInFlight(w *World) {
	serving := w.serving()
	if len(serving) == 0 {
		return
	}
	holder := serving[0].index
	at := w.round
	add := func(action Action) {
		action.Round, action.Dice = at, k.random.Uint64()
		k.chain = append(k.chain, action)
	}
	k.newest++
	add(k.write(holder, k.newest))
	add(Action{Kind: ReadOrder, Node: holder})
	if k.random.IntN(2) == 0 {
		at += 1 + k.random.IntN(2)
		add(Action{Kind: Crash, Node: holder, Rounds: 1})
		for range 10 {
			at++
			add(Action{Kind: ReadOrder, Node: holder})
		}
	}
	k.muteTo = at + 2
	at++
	add(Action{Kind: Isolate, Node: holder, Rounds: 60})
	at += 20
	for range 3 {
		at += 3 + k.random.IntN(8)
		k.planQuestions(w, holder, add)
	}
	k.left -= 2
}

// muted says that a message tells followers of the log, while they are not to hear of it.
func (k *walker) muted(w *World, next *item) bool {
	if w.round >= k.muteTo {
		return false
	}
	switch next.message.(type) {
	case message.LogAppend, message.LogAppendDelta, message.LogRecommit, message.LogSnapshot:
		return true
	}
	return false
}

// planSealLoss makes the counts of the followers differ from the holder's, lets one of them
// at most hear of the windows that the holder seals, takes that one's unsynced writes at
// times, and then takes the holder away: whoever comes next has to report the same values.
func (k *walker) planSealLoss(w *World) {
	holder, found := w.reporter()
	if !found {
		return
	}
	followers := []int{}
	for _, p := range w.upProcesses() {
		if p.index != holder && p.seated {
			followers = append(followers, p.index)
		}
	}
	k.random.Shuffle(len(followers), func(i, j int) { followers[i], followers[j] = followers[j], followers[i] })
	if len(followers) < w.plan.Voters-1 {
		return
	}
	at := w.round
	add := func(action Action) {
		action.Round, action.Dice = at, k.random.Uint64()
		k.chain = append(k.chain, action)
	}
	for _, follower := range followers {
		for proxy := range fleetProxies {
			add(Action{Kind: DropFromProxy, Node: follower, Peer: proxy, Rounds: longestRounds})
		}
	}
	away := followers[:w.plan.Voters/2]
	hears := followers[w.plan.Voters/2]
	for _, follower := range away {
		add(Action{Kind: Cut, Node: holder, Peer: follower, Rounds: longestRounds})
	}
	at += k.random.IntN(2 * windowRounds)
	if k.random.IntN(2) == 0 {
		add(Action{Kind: DiskSlow, Node: hears, Rounds: 2 * windowRounds})
	}
	if k.random.IntN(3) == 0 {
		add(Action{Kind: Isolate, Node: holder, Rounds: longestRounds})
	}
	at += 1 + k.random.IntN(2*windowRounds)
	if k.random.IntN(2) == 0 {
		add(Action{Kind: Crash, Node: hears, Rounds: 1})
	}
	add(Action{Kind: Isolate, Node: holder, Rounds: longestRounds})
	k.left -= 2
}

// reporter gives the process that the collector heard from last; false where there is none
// that runs.
func (w *World) reporter() (int, bool) {
	if w.fleet == nil || len(w.fleet.acts) == 0 {
		return 0, false
	}
	last := w.fleet.acts[len(w.fleet.acts)-1].node
	for _, p := range w.upProcesses() {
		if p.name() == last && !p.frozen {
			return p.index, true
		}
	}
	return 0, false
}
