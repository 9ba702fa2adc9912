// This file chooses the upstream of a request's next attempt. Each upstream has a pace,
// how long it takes against the others for the same routes, learned from the times that
// serving proxies tell with their outcomes: in logarithms, since times of work have long tails,
// and against the usual time of each route, which is learned beside it. The cost of an
// upstream is its pace, more when its slots fill up, when it failed lately, when it is
// fresh, when requests lag on their way to it, and by a margin when it is in another zone. Of some candidates drawn at
// random the cheapest is taken.

package frontend

import (
	"math"
	"math/rand/v2"
	"time"

	"beaconvane/internal/message"
)

const (
	paceShare  = 1.0 / 24 // how much one time moves an upstream's pace
	usualShare = 1.0 / 64 // and a route's usual time
	paceMost   = 1.4      // of a pace's logarithm, either way
	failShare  = 1.0 / 8
	failCost   = 4.0
	fullCost   = 0.5 // of a pace, when all slots are taken
	drawn      = 6   // candidates of each kind

	lagShare = 1.0 / 2         // how much one attempt moves an upstream's lag
	lagHalf  = 3 * time.Second // after which a lag that was not seen again counts half
	lagCost  = 4.0             // of a second's lag, in paces
)

// learnPace takes the time that an upstream took for a whole answer.
func (f *Frontend) learnPace(held *peer, route string, took time.Duration) {
	if took <= 0 {
		return
	}
	response := math.Log(float64(took))
	usual, known := f.usual[route]
	if !known {
		f.usual[route] = response - held.pace
		return
	}
	held.pace += (response - usual - held.pace) * paceShare
	held.pace = min(max(held.pace, -paceMost), paceMost)
	f.usual[route] = usual + (response-held.pace-usual)*usualShare
}

// learnLag takes how long an attempt took besides the upstream's own work: on the links
// of both machines and in the serving proxy's queue. A link that is full delays requests
// by seconds while the upstream behind it, which few of them reach, looks idle and fast.
func (held *peer) learnLag(now, lag time.Duration) {
	known := held.lagAt(now)
	held.lag = known + time.Duration(float64(max(0, lag)-known)*lagShare)
	held.lagSeen = now
}

// learnUnanswered takes that an attempt was given up after so long a time: as a lag only
// if that is longer than the known one, since the upstream may have been at work.
func (held *peer) learnUnanswered(now, lag time.Duration) {
	if lag > held.lagAt(now) {
		held.learnLag(now, lag)
	}
}

// lagAt is the lag as it counts now.
func (held *peer) lagAt(now time.Duration) time.Duration {
	age := float64(now-held.lagSeen) / float64(lagHalf)
	return time.Duration(float64(held.lag) * math.Exp2(-age))
}

// learnFailure takes whether an attempt ended without the upstream's whole answer.
func (held *peer) learnFailure(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	held.failing += (outcome - held.failing) * failShare
}

// outstanding is the work that an upstream has, as far as this proxy can tell: what its
// serving proxy told last, and what was sent from here since.
func (f *Frontend) outstanding(now time.Duration, held *peer) float64 {
	if now-held.reportedAt > f.settings.UpdatesEvery()*2 {
		return float64(held.mine)
	}
	return float64(max(held.mine, held.reported+held.mine-held.mineThen))
}

// cost of giving an upstream one more request.
func (f *Frontend) cost(now time.Duration, registration message.Registration) float64 {
	held := f.peer(peerKey(registration))
	use := (f.outstanding(now, held) + 1) / float64(max(1, registration.Slots))
	cost := math.Exp(held.pace) * (1 + fullCost*use*use + max(0, use-1) + min(max(held.load, 0), 1)/4)
	if since := now - held.readySince; since < f.settings.WarmUpTime() {
		cost *= 2 - float64(since)/float64(f.settings.WarmUpTime())
	}
	cost += failCost * held.failing
	cost += lagCost * held.lagAt(now).Seconds()
	if registration.Zone != f.settings.Zone {
		cost += f.settings.Limits.SpillMargin
	}
	return cost
}

// cheapest takes some candidates at random and keeps the best.
func (f *Frontend) cheapest(now time.Duration, list []message.Registration, random *rand.Rand) (chosen message.Registration, least float64) {
	least = math.Inf(1)
	for number := range min(drawn, len(list)) {
		// A draw without putting back: the drawn one changes places with the first left.
		other := number + random.IntN(len(list)-number)
		list[number], list[other] = list[other], list[number]
		if cost := f.cost(now, list[number]); cost < least {
			chosen, least = list[number], cost
		}
	}
	return chosen, least
}
