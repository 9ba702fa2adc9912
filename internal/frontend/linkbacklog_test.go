// A machine's link that is full of what was sent before.
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

// A request that would wait too long for the link is refused at once and told when to
// come back. The call of a running request may wait longer, and an upstream beside this
// proxy needs no link.
func TestABusyLinkRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	for _, tried := range []struct {
		name    string
		path    string
		key     string
		waits   float64 // backlog, in times of what a request may wait
		local   bool
		refused bool
	}{
		{"free link", "/pay/x", "secret", 0.5, false, false},
		{"busy link", "/pay/x", "secret", 1.5, false, true},
		{"busy link, local upstream", "/pay/x", "secret", 1.5, true, false},
		{"busy link, nested call", "/check/x", "", 1.5, false, false},
		{"very busy link, nested call", "/check/x", "", 2.5, false, true},
	} {
		f := crowded(77)
		back := &fakeEnvironment{random: rand.New(rand.NewPCG(1, 2))}
		back.backlog = time.Duration(tried.waits * float64(f.settings.LinkWait()))
		address := "here:1"
		if tried.local {
			address = "serving-a"
			f.snapshot.Upstreams["pay"] = f.snapshot.Upstreams["pay"][:1]
		}
		serving := backend.New(f.settings, f.AuthorizeForward)
		back.dispatcher = NewDispatcher(f.settings, f, serving, back, message.Member{Name: "me", Address: address})
		var response *Response
		back.dispatcher.Submit(asked(tried.path, tried.key), func(time.Duration) {}, func(answer *Response) { response = answer })
		if !tried.refused {
			c.Check(response, qt.IsNil, qt.Commentf(tried.name))
			continue
		}
		c.Assert(response, qt.IsNotNil, qt.Commentf(tried.name))
		c.Check(response.Code, qt.Equals, errcode.BusyQueueFull, qt.Commentf(tried.name))
		c.Check(response.RetryAfter > 0, qt.IsTrue, qt.Commentf(tried.name))
		c.Check(back.connections, qt.HasLen, 0, qt.Commentf(tried.name))
		for _, held := range f.upstreams {
			c.Check(held.inFlight, qt.Equals, int64(0), qt.Commentf(tried.name))
		}
	}
}
