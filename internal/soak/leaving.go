package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	leavingRounds   = 2                      // of closing rounds in a run
	maxRepeat       = 900 * time.Millisecond // between two announcements of leaving
	leavingServesOn = 7 * time.Second        // after the acknowledgement
	proxyOutlives   = 200 * time.Millisecond // at most, after the acknowledgement
	coreBackAfter   = 400 * time.Millisecond
)

// announcement returns the body of an announcement of the present incarnation.
func (u *upstream) announcement(leaving bool) []byte {
	body, _ := json.Marshal(u.announced(leaving)) // every value of the type can be encoded
	return body
}

// sayLeaving announces that the upstream leaves, to one of the proxies, and reports whether that is acknowledged.
func (u *upstream) sayLeaving(proxy string) bool {
	if u.post(proxy, "/beacon/announce", u.announcement(true)) != http.StatusOK {
		return false
	}
	u.seen.addLeaving(leavingNotice{instance: u.instance(), acknowledgedAt: u.seen.now(), servesUntil: u.seen.now() + leavingServesOn})
	return true
}

// leaveByAnnouncement has the upstream say that it leaves, at the proxy beside it or at another one, and repeat it or be
// silent for seconds. It serves on for a while, and then comes back as a new incarnation. acknowledged is called at
// once after the acknowledgement.
func (u *upstream) leaveByAnnouncement(ctx context.Context, random *rand.Rand, proxy string, acknowledged func()) {
	if !u.signingOff.TryLock() {
		return
	}
	defer u.signingOff.Unlock()
	u.announcing.Store(false)
	defer u.announcing.Store(true)
	if !u.sayLeaving(proxy) {
		return
	}
	acknowledged()
	repeats := random.Float64() < 0.5
	for end := time.Now().Add(leavingServesOn); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(random.Int64N(int64(maxRepeat))))
		if repeats {
			_ = u.post(proxy, "/beacon/announce", u.announcement(true))
		}
	}
	u.signOff(func() {})
	sleep(ctx, returnsAfter)
	u.incarnation.Inc()
}

// leave has an upstream say that it leaves, while the other troubles go on. At times its proxy and the core are killed
// right after the acknowledgement.
func (t *troubles) leave(ctx context.Context, random *rand.Rand) {
	leaving := t.upstreams[random.IntN(len(t.upstreams))]
	proxy := leaving.proxies[0]
	if random.Float64() < 0.3 {
		proxy = leaving.proxies[random.IntN(len(leaving.proxies))]
	}
	killed, delay := random.Float64() < 0.3, time.Duration(random.Int64N(int64(signOffKillDelay)))
	var pending sync.WaitGroup
	pending.Go(func() {
		leaving.leaveByAnnouncement(ctx, random, proxy, func() {
			if killed {
				pending.Go(func() { t.killBehind(ctx, rand.New(rand.NewPCG(uint64(delay), 0)), leaving, delay) })
			}
		})
	})
	pending.Wait()
}

// playLeavings plays closing rounds without other troubles, so that the rules apply without an excuse: the core is
// killed, half of the upstreams say that they leave, their proxies are killed, and all are started again. The next
// announcements are late.
func (t *troubles) playLeavings(ctx context.Context, random *rand.Rand) {
	for range leavingRounds {
		chosen := slices.Clone(t.upstreams)
		random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
		chosen = chosen[:(len(chosen)+1)/2]
		core := t.core("")
		acquire(core)
		t.kill(ctx, random, core)
		var pending sync.WaitGroup
		for _, leaving := range chosen {
			own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
			pending.Go(func() { t.leaveAndRestart(ctx, own, leaving) })
		}
		sleep(ctx, proxyOutlives+coreBackAfter)
		t.restart(ctx, random, core, maxHerdRestart)
		release(core)
		pending.Wait()
	}
}

// leaveAndRestart has an upstream say that it leaves; its proxy is then killed and started again.
func (t *troubles) leaveAndRestart(ctx context.Context, random *rand.Rand, leaving *upstream) {
	beside := slices.DeleteFunc(slices.Clone(t.machines), func(other *machine) bool { return other.HTTPAddress != leaving.proxies[0] })
	outlives := time.Duration(random.Int64N(int64(proxyOutlives)))
	var pending sync.WaitGroup
	leaving.leaveByAnnouncement(ctx, random, leaving.proxies[0], func() {
		pending.Go(func() {
			sleep(ctx, outlives)
			acquire(beside)
			defer release(beside)
			t.kill(ctx, random, beside)
			t.restart(ctx, random, beside, coreBackAfter)
		})
	})
	pending.Wait()
}
