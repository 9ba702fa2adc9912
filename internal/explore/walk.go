package explore

import (
	"math/rand/v2"

	"beaconvane/internal/message"
)

// walker draws actions as the run goes on. Each walk has a few kinds of faults of its own and favours
// the moments that matter: messages and writes of a commit, of a lease and of a change of voters.
type walker struct {
	random  *rand.Rand
	left    int // faults that may still come
	kinds   []Kind
	rate    float64 // of faults, per message that matters
	calmAt  int     // the round at which a burst of faults is over
	beginAt int     // the round at which faults begin
	orders  float64 // of operators' orders, per round
	chains  float64 // of planned second losses, per round
	newest  int64
	sent    []Action // orders, for sending again
	chain   []Action // what is planned for later rounds
	muteTo  int      // until which round followers hear nothing of the log
	content int

	upstreams float64 // of upstreams' steps, per round
	endAt     int     // the round behind which no fault comes; 0: there is none
}

// heavyFaults may move the lease or lose data; each walk has one of them at least.
var heavyFaults = []Kind{Crash, CrashDisk, DiskLost, Replace, Leave, Cut, Isolate, Freeze}

var allFaults = append([]Kind{Lose, Double, Late, DiskSlow, Join, CutOneWay, ClockStep}, heavyFaults...)

// newWalker draws what kind of walk it is.
func newWalker(seed uint64, options Options) *walker {
	random, faults := rand.New(rand.NewPCG(seed, 0x5eed)), options.Faults
	k := &walker{random: random, left: faults/3 + random.IntN(faults-faults/3+1)}
	k.kinds = append(k.kinds, heavyFaults[random.IntN(len(heavyFaults))])
	for range random.IntN(4) {
		k.kinds = append(k.kinds, allFaults[random.IntN(len(allFaults))])
	}
	k.rate = 0.02 + 0.3*random.Float64()*random.Float64()
	k.orders = 0.05 + 0.3*random.Float64()
	switch random.IntN(4) {
	case 0, 1:
		k.chains = 0.1
	case 2:
		k.kinds = append([]Kind{Lose, Lose, Late}, k.kinds[0])
		k.rate, k.left = lossyRate, lossyFaults
	}
	if random.IntN(foundingWalks) > 0 {
		k.beginAt = warmRounds + random.IntN(warmRounds)
	}
	if options.Role == message.RoleRegistry {
		k.forRegistry(options)
	}
	return k
}

// calmRounds is how long a run of registries is calm at its end, so that what they hold may
// be compared with the truth.
const calmRounds = 120

// leastRegistryRate is the least rate of faults in a walk among registries, which has fewer
// messages that matter.
const leastRegistryRate = 0.1

// forRegistry makes it a walk among registries: no orders of operators, upstreams that come
// and go, and calm at the end.
func (k *walker) forRegistry(options Options) {
	k.orders = 0
	k.upstreams = 0.02 + 0.1*k.random.Float64()
	k.kinds = append(k.kinds, DropFromProxy, DropFromProxy, DropFromProxy)
	k.rate = max(k.rate, leastRegistryRate)
	k.endAt = options.Rounds - calmRounds - longestRounds
}

// One walk in four loses a good part of the messages that matter, so that what rests on
// a message that came is told from what rests on one that was sent.
const (
	lossyRate   = 0.35
	lossyFaults = 60
)

// foundingWalks is how many walks go to one that has faults from the start. A process that restarts
// founds no group, so most of these never come to serve.
const foundingWalks = 8

// matters says that a fault at this message or write is worth more than at others.
func matters(next *item) bool {
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
	if k.endAt > 0 && w.round >= k.endAt {
		return nil
	}
	if next == nil {
		if w.inRound > 0 {
			return nil
		}
		return k.chooseRound(w)
	}
	if k.muted(w, next) {
		return []Action{{Kind: Lose}}
	}
	chance := k.rate / 20
	if matters(next) {
		chance = k.rate
	}
	if w.round < k.calmAt {
		chance *= burstFactor
	}
	if k.left <= 0 || w.round < k.beginAt || k.random.Float64() >= chance {
		return nil
	}
	return k.fault(w, next)
}

func (k *walker) fault(w *World, next *item) []Action {
	action := Action{
		Kind:      k.kinds[k.random.IntN(len(k.kinds))],
		Rounds:    k.rounds(),
		Dice:      k.random.Uint64(),
		DiskSteps: 1 + k.random.IntN(7),
	}
	action.Node = k.target(w, next)
	action.Peer = k.random.IntN(len(w.processes))
	if action.Kind == ClockStep {
		action.Rounds -= 20
	}
	k.left--
	k.calmAt = w.round + burstRounds
	return []Action{action}
}

// rounds is how long a fault lasts: mostly short, now and then long enough for others
// to take over, or to replace who is away.
func (k *walker) rounds() int {
	switch k.random.IntN(4) {
	case 0:
		return 1 + k.random.IntN(3)
	case 1, 2:
		return 3 + k.random.IntN(15)
	}
	return longestRounds/4 + k.random.IntN(longestRounds*3/4)
}

// longestRounds is the longest that a fault lasts.
const longestRounds = 60

// target is mostly a process that the message concerns, or the holder.
func (k *walker) target(w *World, next *item) int {
	if serving := w.serving(); len(serving) > 0 && k.random.IntN(3) == 0 {
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

// warmRounds is about how long a group needs to be founded and to serve.
const warmRounds = 10

func (k *walker) chooseRound(w *World) []Action {
	actions := k.due(w.round)
	if len(k.chain) == 0 && w.round >= k.beginAt && k.left > 0 && k.random.Float64() < k.chains {
		k.planChain(w)
	}
	if k.left > 0 && k.random.Float64() < k.rate/4 && w.round >= k.beginAt {
		actions = append(actions, k.fault(w, nil)...)
	}
	if k.upstreams > 0 && k.random.Float64() < k.upstreams {
		actions = append(actions, Action{Kind: UpstreamStep, Node: k.random.IntN(fleetProxies), Peer: k.random.IntN(upstreamsPerProxy)})
	}
	for w.round > warmRounds && k.random.Float64() < k.orders && len(w.history.operations) < 40 {
		actions = append(actions, k.order(w))
	}
	return actions
}

// planChain plans a row of losses around a write, or around a window of usage.
func (k *walker) planChain(w *World) {
	switch {
	case w.fleet != nil:
		k.planSealLoss(w)
	case k.random.IntN(3) == 0:
		k.planInFlight(w)
	default:
		k.planSecondLoss(w)
	}
}

// order is an operator's: a read, a new version, another operator's content under the
// same version, an older version, or an order sent again.
func (k *walker) order(w *World) Action {
	node := k.random.IntN(len(w.processes))
	if serving := w.serving(); len(serving) > 0 && k.random.IntN(4) > 0 {
		node = serving[k.random.IntN(len(serving))].index
	}
	switch choice := k.random.IntN(10); {
	case choice < 3:
		return Action{Kind: ReadOrder, Node: node}
	case choice < 5 && len(k.sent) > 0:
		again := k.sent[k.random.IntN(len(k.sent))]
		again.Node = node
		return again
	case choice == 5 && k.newest > 0:
		return k.write(node, 1+k.random.Int64N(k.newest))
	case choice == 6 && k.newest > 0:
		return k.write(node, k.newest)
	}
	k.newest++
	return k.write(node, k.newest)
}

func (k *walker) write(node int, version int64) Action {
	k.content++
	action := Action{Kind: WriteOrder, Node: node, Version: version, Content: k.content, Bad: k.random.IntN(20) == 0}
	k.sent = append(k.sent, action)
	return action
}
