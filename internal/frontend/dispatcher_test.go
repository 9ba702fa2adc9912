// Connections that break, in whatever order the breaks are noticed, and requests that are withdrawn.
package frontend

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

type fakeConnection struct {
	broken, attached bool
	closed           func(connection Connection)
	posted           []any
}

func (w *fakeConnection) Post(msg any) error {
	w.posted = append(w.posted, msg)
	return nil
}
func (w *fakeConnection) Broken() bool      { return w.broken }
func (w *fakeConnection) Established() bool { return w.attached }
func (w *fakeConnection) Close()            { w.broken = true }

type fakeEnvironment struct {
	dispatcher  *Dispatcher
	connections []*fakeConnection
	judged      []AttemptOutcome
	random      *rand.Rand
	backlog     time.Duration
	cancelled   []string
}

func (b *fakeEnvironment) Now() time.Duration     { return time.Second }
func (b *fakeEnvironment) Wall() time.Time        { return time.Unix(0, 0) }
func (b *fakeEnvironment) Random() *rand.Rand     { return b.random }
func (b *fakeEnvironment) Backlog() time.Duration { return b.backlog }

func (b *fakeEnvironment) Cancel(id string)            { b.cancelled = append(b.cancelled, id) }
func (b *fakeEnvironment) After(time.Duration, func()) {}
func (b *fakeEnvironment) Notify(any)                  {}

func (b *fakeEnvironment) Enqueue(env Stage, item any) bool {
	switch env {
	case StageAdmit:
		b.dispatcher.Admit(item.(*PendingRequest))
	case StageSelect:
		b.dispatcher.SelectUpstream(item.(*PendingRequest))
	case StageOutcome:
		b.judged = append(b.judged, item.(AttemptOutcome))
	}
	return true
}

func (b *fakeEnvironment) Open(_ string, _ func(msg any), closed func(connection Connection)) Connection {
	connection := &fakeConnection{closed: closed}
	b.connections = append(b.connections, connection)
	return connection
}

// A second connection that never came about says nothing of a request sent on the first.
func TestAFailedDialDoesNotSpeakForAnEarlierConnection(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	cfg.Zone = "here"
	f := New(cfg, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	f.UpdateSnapshot(0, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(configName), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		ProxyCount:          2,
		Upstreams:           map[string][]message.Registration{"pay": {upstream("one", "here")}},
	})
	back := &fakeEnvironment{random: rand.New(rand.NewPCG(1, 2))}
	back.dispatcher = NewDispatcher(cfg, f, backend.New(cfg, nil), back, message.Member{Name: "me", Address: "here:1"})
	request := func(id string) {
		asked := request("POST", "/pay", APIKeyHeader, "secret", backend.CallerHeader, "shop")
		asked.ID = id
		back.dispatcher.Submit(asked, func(time.Duration) {}, func(*Response) {})
	}
	request("sent")
	c.Assert(back.connections, qt.HasLen, 1)
	first := back.connections[0]
	first.attached, first.broken = true, true
	request("later")
	c.Assert(back.connections, qt.HasLen, 2)
	second := back.connections[1]
	second.broken = true
	second.closed(second)
	c.Assert(back.judged, qt.HasLen, 1)
	c.Assert(back.judged[0].Pending.Request.ID, qt.Equals, "later")
	c.Assert(back.judged[0].Outcome.Kind, qt.Equals, message.NotStarted)
	// The first connection's end is asked about at the serving proxy, and unknown when that fails.
	first.closed(first)
	c.Assert(back.connections, qt.HasLen, 3)
	c.Assert(back.connections[2].posted, qt.HasLen, 1)
	back.connections[2].closed(back.connections[2])
	c.Assert(back.judged, qt.HasLen, 2)
	c.Assert(back.judged[1].Pending.Request.ID, qt.Equals, "sent")
	c.Assert(errcode.Code(back.judged[1].Outcome.Code), qt.Equals, errcode.UnknownOutcome)
}

// A serving proxy breaks off what runs for a caller that has left, unless it may run only
// once.
func TestWithdrawnWorkIsBrokenOffWhereItMayBeRepeated(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	f := New(cfg, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	back := &fakeEnvironment{random: rand.New(rand.NewPCG(1, 2))}
	serving := backend.New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	back.dispatcher = NewDispatcher(cfg, f, serving, back, message.Member{Name: "me", Address: "here:1"})
	_, _, _ = serving.Announce(time.Second, backend.Announcement{
		Service:     "pay",
		Instance:    "one",
		Incarnation: 1,
		Address:     "up:1",
		Zone:        "here",
		Slots:       4,
	})
	for _, id := range []string{"once", "repeatable"} {
		back.dispatcher.HandleFrame(message.Forward{
			ID:          id,
			Service:     "pay",
			Instance:    "one",
			Incarnation: 1,
			Remaining:   int64(time.Second),
			AtMostOnce:  id == "once",
		}, func(any) error { return nil })
		back.dispatcher.HandleFrame(message.Cancel{ID: id}, func(any) error { return nil })
	}
	c.Assert(back.cancelled, qt.DeepEquals, []string{"repeatable"})
}
