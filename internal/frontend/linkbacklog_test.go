// Tests with a backlog on the machine's link.
package frontend

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// A request that would wait too long for the link is refused immediately, with a retry delay. The
// call of a running request may wait longer, and an upstream of this proxy needs no link.
func TestABusyLinkRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name    string
		path    string
		key     string
		backlog float64 // as a multiple of the maximum link wait
		local   bool
		refused bool
	}{
		{"free link", "/pay/x", "secret", 0.5, false, false},
		{"busy link", "/pay/x", "secret", 1.5, false, true},
		{"busy link, local upstream", "/pay/x", "secret", 1.5, true, false},
		{"busy link, nested call", "/check/x", "", 1.5, false, false},
		{"very busy link, nested call", "/check/x", "", 2.5, false, true},
	} {
		f := newFrontendWithProxies(77)
		environment := &fakeEnvironment{random: rand.New(rand.NewPCG(1, 2))}
		environment.backlog = time.Duration(test.backlog * float64(f.settings.LinkWait()))
		address := "here:1"
		if test.local {
			address = "serving-a"
			f.currentSnapshot().Upstreams["pay"] = f.currentSnapshot().Upstreams["pay"][:1]
		}
		serving := backend.New(f.settings, f.AuthorizeForward)
		environment.dispatcher = NewDispatcher(f.settings, f, serving, environment, message.Member{Name: "me", Address: address})
		var response *Response
		request := newHostRequest(test.path, test.key)
		environment.dispatcher.Submit(request, func(time.Duration) {}, func(answer *Response) { response = answer })
		if !test.refused {
			c.Check(response, qt.IsNil, qt.Commentf(test.name))
			continue
		}
		c.Assert(response, qt.IsNotNil, qt.Commentf(test.name))
		c.Check(response.Code, qt.Equals, errcode.BusyQueueFull, qt.Commentf(test.name))
		c.Check(response.RetryAfter > 0, qt.IsTrue, qt.Commentf(test.name))
		c.Check(environment.connections, qt.HasLen, 0, qt.Commentf(test.name))
		for _, stats := range f.upstreams {
			c.Check(stats.inFlight, qt.Equals, int64(0), qt.Commentf(test.name))
		}
	}
}
