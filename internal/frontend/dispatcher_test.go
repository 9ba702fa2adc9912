// Tests of the dispatcher: broken connections that are detected in any order, and cancelled
// attempts.
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

// fakeConnection records posted frames. The test sets its state.
type fakeConnection struct {
	broken, established bool
	onClosed            func(connection Connection)
	posted              []any
}

func (f *fakeConnection) Post(msg any) error {
	f.posted = append(f.posted, msg)
	return nil
}
func (f *fakeConnection) Broken() bool      { return f.broken }
func (f *fakeConnection) Established() bool { return f.established }
func (f *fakeConnection) Close()            { f.broken = true }

// fakeEnvironment runs the stages synchronously. It records outcomes instead of evaluating them,
// and opened connections and cancelled attempts.
type fakeEnvironment struct {
	dispatcher  *Dispatcher
	connections []*fakeConnection
	outcomes    []AttemptOutcome
	random      *rand.Rand
	backlog     time.Duration
	cancelled   []string
}

func (f *fakeEnvironment) Now() time.Duration     { return time.Second }
func (f *fakeEnvironment) Wall() time.Time        { return time.Unix(0, 0) }
func (f *fakeEnvironment) Random() *rand.Rand     { return f.random }
func (f *fakeEnvironment) Backlog() time.Duration { return f.backlog }

func (f *fakeEnvironment) Cancel(id string)            { f.cancelled = append(f.cancelled, id) }
func (f *fakeEnvironment) After(time.Duration, func()) {}
func (f *fakeEnvironment) Notify(any)                  {}

func (f *fakeEnvironment) Enqueue(stage Stage, item any) bool {
	switch stage {
	case StageAdmit:
		f.dispatcher.Admit(item.(*PendingRequest))
	case StageSelect:
		f.dispatcher.SelectUpstream(item.(*PendingRequest))
	case StageOutcome:
		f.outcomes = append(f.outcomes, item.(AttemptOutcome))
	}
	return true
}

func (f *fakeEnvironment) Open(_ string, _ func(msg any), onClosed func(connection Connection)) Connection {
	connection := &fakeConnection{onClosed: onClosed}
	f.connections = append(f.connections, connection)
	return connection
}

// A connection that could not be established is no evidence about attempts that were sent on an
// earlier connection to the same serving proxy.
func TestAFailedDialDoesNotSpeakForAnEarlierConnection(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	cfg.Zone = "here"
	f := New(cfg, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	f.UpdateSnapshot(0, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(testRoutes), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		ProxyCount:          2,
		Upstreams:           map[string][]message.Registration{"pay": {readyUpstream("one", "here")}},
	})
	environment := &fakeEnvironment{random: rand.New(rand.NewPCG(1, 2))}
	environment.dispatcher = NewDispatcher(cfg, f, backend.New(cfg, nil), environment, message.Member{Name: "me", Address: "here:1"})
	submit := func(id string) {
		request := newTestRequest("POST", "/pay", APIKeyHeader, "secret", backend.CallerHeader, "shop")
		request.ID = id
		environment.dispatcher.Submit(request, func(time.Duration) {}, func(*Response) {})
	}
	submit("sent")
	c.Assert(environment.connections, qt.HasLen, 1)
	firstConnection := environment.connections[0]
	firstConnection.established, firstConnection.broken = true, true
	submit("later")
	c.Assert(environment.connections, qt.HasLen, 2)
	secondConnection := environment.connections[1]
	secondConnection.broken = true
	secondConnection.onClosed(secondConnection)
	c.Assert(environment.outcomes, qt.HasLen, 1)
	c.Assert(environment.outcomes[0].Pending.Request.ID, qt.Equals, "later")
	c.Assert(environment.outcomes[0].Outcome.Kind, qt.Equals, message.NotStarted)
	// The loss of the first connection causes an outcome query; the outcome is unknown if it fails.
	firstConnection.onClosed(firstConnection)
	c.Assert(environment.connections, qt.HasLen, 3)
	c.Assert(environment.connections[2].posted, qt.HasLen, 1)
	environment.connections[2].onClosed(environment.connections[2])
	c.Assert(environment.outcomes, qt.HasLen, 2)
	c.Assert(environment.outcomes[1].Pending.Request.ID, qt.Equals, "sent")
	c.Assert(errcode.Code(environment.outcomes[1].Outcome.Code), qt.Equals, errcode.UnknownOutcome)
}

// When an attempt is cancelled, the serving proxy aborts it if the route is repeatable, but not if
// it is at-most-once.
func TestWithdrawnWorkIsBrokenOffWhereItMayBeRepeated(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	f := New(cfg, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	environment := &fakeEnvironment{random: rand.New(rand.NewPCG(1, 2))}
	serving := backend.New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	environment.dispatcher = NewDispatcher(cfg, f, serving, environment, message.Member{Name: "me", Address: "here:1"})
	_, _, _ = serving.Announce(time.Second, backend.Announcement{
		Service:     "pay",
		Instance:    "one",
		Incarnation: 1,
		Address:     "up:1",
		Zone:        "here",
		Slots:       4,
	})
	for _, id := range []string{"once", "repeatable"} {
		environment.dispatcher.HandleFrame(message.Forward{
			ID:          id,
			Service:     "pay",
			Instance:    "one",
			Incarnation: 1,
			Remaining:   int64(time.Second),
			AtMostOnce:  id == "once",
		}, func(any) error { return nil })
		environment.dispatcher.HandleFrame(message.Cancel{ID: id}, func(any) error { return nil })
	}
	c.Assert(environment.cancelled, qt.DeepEquals, []string{"repeatable"})
}
