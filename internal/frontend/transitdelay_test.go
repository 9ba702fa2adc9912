// Upstreams behind links that are full.
package frontend

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

const (
	lagWork  = 50 * time.Millisecond
	lagReach = 10 * time.Millisecond
)

// lagStep lies between two requests of one proxy among many; it has none of its own at an
// upstream when it chooses the next.
const lagStep = 500 * time.Millisecond

// shares plays requests for a while and gives the share that each upstream was sent;
// lags says how long an attempt takes besides the upstream's work, negative for one that
// is never answered in time.
func shares(c *qt.C, f *Frontend, random *rand.Rand, from, length time.Duration, lags map[string]time.Duration) map[string]float64 {
	sent, total := map[string]float64{}, 0.0
	type out struct {
		request *Request
		at      time.Duration
	}
	waiting := []out{}
	for now := from; now < from+length; now += lagStep {
		rest := waiting[:0]
		for _, item := range waiting {
			lag, lagging := lags[item.request.Target.Instance]
			if !lagging {
				lag = lagReach
			}
			ends := item.at + lagWork + lag
			switch {
			case lag < 0:
				f.release(item.request)
				f.abandonAttempt(now, item.request)
			case ends > now:
				rest = append(rest, item)
			default:
				f.evaluateOutcome(ends, item.request, message.Outcome{Kind: message.Completed, Status: 200, ServiceTime: int64(lagWork)})
			}
		}
		waiting = rest
		going := asked("/pay/x", "secret")
		going.Deadline = now + 3*time.Second
		c.Assert(f.admit(now, time.Now(), going), qt.IsNil)
		c.Assert(f.selectUpstream(now, going, random), qt.IsNil)
		sent[going.Target.Instance]++
		total++
		waiting = append(waiting, out{going, now})
	}
	for _, item := range waiting {
		f.release(item.request)
	}
	for name := range sent {
		sent[name] /= total
	}
	return sent
}

// An upstream that works as fast as the others, but whose machine's link is full, gets
// far less than its share, whether its answers come late or not at all; once the link is
// free again it gets its share.
func TestLaggingUpstreamsAreSpared(t *testing.T) {
	c := qt.New(t)
	for name, lag := range map[string]time.Duration{"late": 400 * time.Millisecond, "never": -1} {
		f := crowded(77)
		random := rand.New(rand.NewPCG(1, 2))
		lags := map[string]time.Duration{"a": lag}
		even := 1.0 / 8
		lagging := shares(c, f, random, old, 200*time.Second, lags)
		t.Logf("%s: %.3f of the requests", name, lagging["a"])
		c.Check(lagging["a"] < even/2, qt.IsTrue, qt.Commentf("%s: %v", name, lagging))
		healed := shares(c, f, random, old+300*time.Second, 200*time.Second, nil)
		c.Check(healed["a"] > even*2/3, qt.IsTrue, qt.Commentf("%s: %v", name, healed))
	}
}
