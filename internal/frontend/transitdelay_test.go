// Tests of the transit delay of upstreams behind saturated links.
package frontend

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

const (
	testServiceTime    = 50 * time.Millisecond
	normalTransitDelay = 10 * time.Millisecond
)

// requestInterval is the time between two requests of one of many proxies. It exceeds the duration
// of an attempt, so that the proxy has no attempt in flight when it selects the next upstream.
const requestInterval = 500 * time.Millisecond

// requestShares sends requests for a period and returns the share that each upstream received.
// transitDelays has the transit delay by upstream; a negative value means that attempts are
// abandoned without an outcome, and upstreams that are not listed have normalTransitDelay.
func requestShares(
	c *qt.C,
	f *Frontend,
	random *rand.Rand,
	from, length time.Duration,
	transitDelays map[string]time.Duration,
) map[string]float64 {
	sent, total := map[string]float64{}, 0.0
	type attempt struct {
		request *Request
		at      time.Duration
	}
	inFlight := []attempt{}
	for now := from; now < from+length; now += requestInterval {
		unfinished := inFlight[:0]
		for _, item := range inFlight {
			delay, delayed := transitDelays[item.request.Target.Instance]
			if !delayed {
				delay = normalTransitDelay
			}
			endsAt := item.at + testServiceTime + delay
			switch {
			case delay < 0:
				f.release(item.request)
				f.abandonAttempt(now, item.request)
			case endsAt > now:
				unfinished = append(unfinished, item)
			default:
				f.evaluateOutcome(endsAt, item.request, message.Outcome{
					Kind:        message.Completed,
					Status:      200,
					ServiceTime: int64(testServiceTime),
				})
			}
		}
		inFlight = unfinished
		request := newHostRequest("/pay/x", "secret")
		request.Deadline = now + 3*time.Second
		c.Assert(f.admit(now, time.Now(), request), qt.IsNil)
		c.Assert(f.selectUpstream(now, request, random), qt.IsNil)
		sent[request.Target.Instance]++
		total++
		inFlight = append(inFlight, attempt{request, now})
	}
	for _, item := range inFlight {
		f.release(item.request)
	}
	for name := range sent {
		sent[name] /= total
	}
	return sent
}

// An upstream that is as fast as the others, but behind a saturated link, gets much less than an
// even share of the requests, whether its answers arrive late or never. Once the link recovers, so
// does its share.
func TestLaggingUpstreamsAreSpared(t *testing.T) {
	c := qt.New(t)
	for name, delay := range map[string]time.Duration{"late": 400 * time.Millisecond, "never": -1} {
		f := newFrontendWithProxies(77)
		random := rand.New(rand.NewPCG(1, 2))
		transitDelays := map[string]time.Duration{"a": delay}
		evenShare := 1.0 / 8
		whileDelayed := requestShares(c, f, random, pastRetryWindow, 200*time.Second, transitDelays)
		t.Logf("%s: %.3f of the requests", name, whileDelayed["a"])
		c.Check(whileDelayed["a"] < evenShare/2, qt.IsTrue, qt.Commentf("%s: %v", name, whileDelayed))
		recovered := requestShares(c, f, random, pastRetryWindow+300*time.Second, 200*time.Second, nil)
		c.Check(recovered["a"] > evenShare*2/3, qt.IsTrue, qt.Commentf("%s: %v", name, recovered))
	}
}
