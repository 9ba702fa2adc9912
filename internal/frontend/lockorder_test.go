// Tests that the frontend and the backend of a proxy never wait for each other's locks.
package frontend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// hangTimeout is the time after which a test takes its functions for hung.
const hangTimeout = 20 * time.Second

// finish runs functions at the same time and reports whether all of them return.
func finish(functions ...func()) bool {
	done := make(chan struct{}, len(functions))
	for _, function := range functions {
		go func() {
			function()
			done <- struct{}{}
		}()
	}
	timeout := time.After(hangTimeout)
	for range functions {
		select {
		case <-done:
		case <-timeout:
			return false
		}
	}
	return true
}

// The backend authorizes a request while it holds its lock, so authorization doesn't wait for the lock of
// the frontend: a proxy hung for good where the two locks were taken in both orders.
func TestAuthorizationDoesNotWaitForTheFrontend(t *testing.T) {
	c := qt.New(t)
	f := newHostFrontend(c, readyUpstream("one", "here"))
	f.lock.Lock()
	defer f.lock.Unlock()
	forward := message.Forward{
		ConfigName: "main", Version: 1, Service: "pay", Host: "shop.example", Method: "POST", Path: "/pay/x", Tenant: "t",
	}
	c.Assert(finish(func() { c.Check(f.AuthorizeForward(forward), qt.Equals, errcode.OK) }), qt.IsTrue)
}

// lockingMonitor is a RetryMonitor that needs the lock of the frontend, as one does whose own lock is held
// by a goroutine that waits for the frontend.
type lockingMonitor struct{ frontend *Frontend }

func (m lockingMonitor) RetryShare() float64 {
	m.frontend.lock.Lock()
	defer m.frontend.lock.Unlock()
	return 1
}

func (m lockingMonitor) PauseRetries(time.Duration) { m.RetryShare() }

// The frontend asks the backend for its share of retries, and pauses retries there, without holding its own
// lock: the other half of the same hang.
func TestRetryMonitorIsCalledWithoutALock(t *testing.T) {
	c := qt.New(t)
	f := newHostFrontend(c, readyUpstream("one", "here"))
	f.UseRetryMonitor(lockingMonitor{f})
	request := newHostRequest("/free/x", "")
	c.Assert(f.admit(time.Second, time.Now(), request), qt.IsNil)
	c.Assert(finish(func() {
		response := f.selectUpstream(time.Second, request, rand.New(rand.NewPCG(1, 2)))
		c.Check(responseCode(response), qt.Equals, errcode.BusyBudget)
	}), qt.IsTrue)
}

// Requests that are given an upstream and requests that arrive for one, side by side, never wait for each
// other for good. With the build tag lockorder this also reports locks that are taken in both orders.
func TestSelectionAndForwardsSideBySide(t *testing.T) {
	const requests = 20_000
	c := qt.New(t)
	f := newHostFrontend(c, readyUpstream("one", "here"))
	serving := backend.New(f.settings, f.AuthorizeForward)
	f.UseRetryMonitor(serving)
	serving.Announce(time.Second, backend.Announcement{
		Service: "pay", Instance: "one", Incarnation: 1, Address: "one", Zone: "here", Slots: 4,
	})
	request := newHostRequest("/free/x", "")
	c.Assert(f.admit(time.Second, time.Now(), request), qt.IsNil)
	selectUpstreams := func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range requests {
			attempt := *request
			attempt.Tried = map[string]bool{}
			if f.selectUpstream(time.Second, &attempt, random) == nil {
				f.release(&attempt)
			}
		}
	}
	handleForwards := func() {
		for number := range requests {
			decisions := serving.HandleForward(time.Second, message.Forward{
				ID: fmt.Sprint(number), ConfigName: "main", Version: 1, Service: "pay", Instance: "one", Incarnation: 1,
				Host: "shop.example", Method: "POST", Path: "/free/x", Remaining: int64(time.Second),
			})
			for _, decision := range decisions {
				serving.Complete(time.Second, decision, message.Outcome{Kind: message.Completed, Status: 200})
			}
		}
	}
	c.Assert(finish(selectUpstreams, handleForwards), qt.IsTrue)
}
