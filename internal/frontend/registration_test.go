// Tests of registrations at a serving proxy: adoption from the roster after a restart, late
// announcements, and the usage count of started requests.
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
	"beaconvane/internal/settings"
)

// recordingEnvironment is an Environment whose clocks the test sets. It records notices and the
// decisions to start a request.
type recordingEnvironment struct {
	dispatcher *Dispatcher
	now        time.Duration
	wall       time.Time
	received   []any
	starts     []backend.Decision
	full       bool
}

func (r *recordingEnvironment) Now() time.Duration     { return r.now }
func (r *recordingEnvironment) Wall() time.Time        { return r.wall }
func (r *recordingEnvironment) Random() *rand.Rand     { return rand.New(rand.NewPCG(1, 2)) }
func (r *recordingEnvironment) Backlog() time.Duration { return 0 }
func (r *recordingEnvironment) Cancel(string)          {}

func (r *recordingEnvironment) After(time.Duration, func()) {}
func (r *recordingEnvironment) Notify(notice any)           { r.received = append(r.received, notice) }

func (r *recordingEnvironment) Enqueue(stage Stage, item any) bool {
	if stage == StageStart && !r.full {
		r.starts = append(r.starts, item.(backend.Decision))
	}
	return !r.full
}

func (r *recordingEnvironment) Open(string, func(msg any), func(connection Connection)) Connection {
	return &fakeConnection{}
}

// takeNotices returns the notices to the control state since the last call, in the form "<instance>
// <state>" for announcements and "<instance> off" for sign-offs.
func (r *recordingEnvironment) takeNotices() []string {
	summaries := []string{}
	for _, notice := range r.received {
		switch typed := notice.(type) {
		case proxy.Announced:
			summaries = append(summaries, typed.Registration.Instance+" "+typed.Registration.State)
		case proxy.SignedOff:
			summaries = append(summaries, typed.Instance+" off")
		}
	}
	r.received = nil
	return summaries
}

// newServingDispatcher returns the dispatcher of proxy/me with start time 7, which counts usage by
// started requests.
func newServingDispatcher(proof string) (*recordingEnvironment, *backend.Backend, settings.Settings) {
	cfg := settings.Default()
	cfg.Zone, cfg.TargetProof, cfg.CountedRequests = "here", proof, settings.CountBegun
	serving := backend.New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	environment := &recordingEnvironment{}
	environment.dispatcher = NewDispatcher(cfg, New(cfg, serving.LookupDelegation), serving, environment, message.Member{
		Name:      "proxy/me",
		Address:   "here:1",
		StartTime: 7,
	})
	return environment, serving, cfg
}

// localRegistration returns a registration with proxy/me as its serving proxy.
func localRegistration(instance, address, state string, servingProxyStartTime int64) message.Registration {
	return message.Registration{Service: "pay", Instance: instance, Incarnation: 1, Address: address, Zone: "here", Slots: 2, State: state,
		ServingProxy: "proxy/me", ServingProxyAddress: "here:1", ServingProxyStartTime: servingProxyStartTime}
}

// snapshotWith returns a complete snapshot with the given roster.
func snapshotWith(registrations ...message.Registration) *proxy.Snapshot {
	return &proxy.Snapshot{
		ConfigurationsKnown: true,
		RosterKnown:         true,
		ProxyCount:          1,
		Upstreams:           map[string][]message.Registration{"pay": registrations},
	}
}

// newAnnouncement returns an announcement of a ready upstream with two slots.
func newAnnouncement(instance, address string, sequence int64) backend.Announcement {
	return backend.Announcement{
		Service:     "pay",
		Instance:    instance,
		Incarnation: 1,
		Address:     address,
		Zone:        "here",
		Slots:       2,
		Sequence:    sequence,
	}
}

// After a power cut, an upstream restarts with a new instance name at its old address, while the
// roster still lists the old instance. The two registrations must not replace each other repeatedly.
func TestAdoptionEndsWithTheFirstAnnouncement(t *testing.T) {
	c := qt.New(t)
	environment, serving, _ := newServingDispatcher(settings.ProofTarget)
	snapshot := snapshotWith(localRegistration("old", "up:1", message.StateReady, 6))
	environment.dispatcher.UpdateSnapshot(snapshot)
	c.Assert(environment.takeNotices(), qt.DeepEquals, []string{"old ready"})
	environment.dispatcher.UpdateSnapshot(snapshot)
	c.Assert(environment.takeNotices(), qt.HasLen, 0)
	c.Assert(environment.dispatcher.Announce(newAnnouncement("new", "up:1", 1)), qt.IsTrue)
	c.Assert(environment.takeNotices(), qt.DeepEquals, []string{"old off", "new ready"})
	for range 3 {
		environment.now += 100 * time.Millisecond
		environment.dispatcher.UpdateSnapshot(snapshot)
		c.Assert(environment.takeNotices(), qt.HasLen, 0)
		c.Assert(serving.HasInstance("old"), qt.IsFalse)
		c.Assert(serving.HasInstance("new"), qt.IsTrue)
	}
}

// A registration is adopted with its state if it was made with an earlier run of this proxy. It is
// not adopted if it belongs to this run or to another serving proxy, once a heartbeat timeout has
// passed since the start, or if the proof is by connection.
func TestWhoIsAdopted(t *testing.T) {
	other := localRegistration("other", "up:1", message.StateReady, 6)
	other.ServingProxy = "proxy/other"
	for name, test := range map[string]struct {
		proof        string
		now          time.Duration
		registration message.Registration
		expected     []string
	}{
		"ready, earlier run": {settings.ProofTarget, 0, localRegistration("old", "up:1", message.StateReady, 6), []string{"old ready"}},
		"draining, earlier run": {
			settings.ProofTarget,
			0,
			localRegistration("old", "up:1", message.StateDraining, 6),
			[]string{"old leaving"},
		},
		"this run":            {settings.ProofTarget, 0, localRegistration("old", "up:1", message.StateReady, 7), []string{}},
		"other serving proxy": {settings.ProofTarget, 0, other, []string{}},
		"late": {
			settings.ProofTarget,
			settings.Default().HeartbeatTimeout(),
			localRegistration("old", "up:1", message.StateReady, 6),
			[]string{},
		},
		"proof by connection": {settings.ProofConnection, 0, localRegistration("old", "up:1", message.StateReady, 6), []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			environment, _, _ := newServingDispatcher(test.proof)
			environment.now = test.now
			environment.dispatcher.UpdateSnapshot(snapshotWith(test.registration))
			c.Assert(environment.takeNotices(), qt.DeepEquals, test.expected)
		})
	}
}

// A heartbeat that has no effect at the serving proxy must not change the roster either: one older
// than the latest, one of an upstream that is draining, and one after the instance was retired.
func TestLateAnnouncementsAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	environment, serving, _ := newServingDispatcher(settings.ProofTarget)
	environment.dispatcher.Announce(newAnnouncement("one", "up:1", 4))
	c.Assert(environment.takeNotices(), qt.DeepEquals, []string{"one ready"})
	draining := newAnnouncement("one", "up:1", 6)
	draining.Draining = true
	environment.dispatcher.Announce(draining)
	c.Assert(environment.takeNotices(), qt.DeepEquals, []string{"one leaving"})
	environment.dispatcher.Announce(newAnnouncement("one", "up:1", 5))
	environment.dispatcher.Announce(newAnnouncement("one", "up:1", 7))
	for _, notice := range environment.takeNotices() {
		c.Assert(notice, qt.Equals, "one leaving")
	}
	environment.dispatcher.RetireInstance("one")
	c.Assert(environment.takeNotices(), qt.DeepEquals, []string{"one off"})
	environment.dispatcher.Announce(newAnnouncement("one", "up:1", 8))
	environment.dispatcher.UpdateSnapshot(snapshotWith(localRegistration("one", "up:1", message.StateReady, 6)))
	c.Assert(environment.takeNotices(), qt.HasLen, 0)
	c.Assert(serving.HasInstance("one"), qt.IsFalse)
}

// Where usage counts started requests, a request counts in the window in which it starts. The count
// is reverted in that window if the upstream reports that the request did not run.
func TestBegunIsCountedAndTakenBack(t *testing.T) {
	c := qt.New(t)
	environment, _, cfg := newServingDispatcher(settings.ProofTarget)
	environment.wall = time.Unix(100, 0)
	window := int64(time.Duration(environment.wall.UnixNano()) / cfg.UsageWindow())
	environment.dispatcher.Announce(newAnnouncement("one", "up:1", 1))
	outcomes := []message.Outcome{}
	forward := func(id, tenant string) {
		environment.dispatcher.HandleFrame(message.Forward{
			ID:          id,
			Service:     "pay",
			Instance:    "one",
			Incarnation: 1,
			Tenant:      tenant,
			Remaining:   int64(time.Second),
		},
			func(msg any) error { outcomes = append(outcomes, msg.(message.Outcome)); return nil })
	}
	counts := func(window int64) map[string]int64 {
		usage, _ := environment.dispatcher.frontend.Usage(time.Duration(environment.wall.UnixNano()), 0)
		for _, report := range usage {
			if report.Window == window {
				return report.Counts
			}
		}
		return nil
	}
	forward("a", "t")
	forward("b", "t")
	forward("queue", "u")
	c.Assert(environment.starts, qt.HasLen, 2)
	c.Assert(counts(window), qt.DeepEquals, map[string]int64{"t": 2})
	// The outcomes arrive in the next window, and the queued request starts in it.
	environment.wall = environment.wall.Add(cfg.UsageWindow())
	environment.dispatcher.Complete(environment.starts[0], message.Outcome{
		Kind:            message.NotStarted,
		Code:            int64(errcode.BusySlotsFull),
		ReachedUpstream: true,
	})
	c.Assert(counts(window), qt.DeepEquals, map[string]int64{"t": 1})
	environment.dispatcher.Complete(environment.starts[1], message.Outcome{
		Kind: message.OutcomeUnknown,
		Code: int64(errcode.UnknownOutcome),
	})
	c.Assert(counts(window), qt.DeepEquals, map[string]int64{"t": 1})
	c.Assert(outcomes, qt.HasLen, 2)
	environment.now += cfg.AddressProofTTL()
	environment.dispatcher.Expire()
	c.Assert(environment.starts, qt.HasLen, 3)
	c.Assert(counts(window+1), qt.DeepEquals, map[string]int64{"u": 1})
	// A request that finds the start queue full does not count as started.
	environment.dispatcher.Complete(environment.starts[2], message.Outcome{Kind: message.Completed, Status: 200})
	environment.full = true
	forward("late", "t")
	c.Assert(counts(window + 1)["t"], qt.Equals, int64(0))
	c.Assert(counts(window + 1)["u"], qt.Equals, int64(1))
}

// Guards against requests at an upstream whose leaving an earlier run of this proxy had acknowledged: what the roster
// says of it counts for AdoptionTimeout only, unless the upstream announces itself again.
func TestAdoptionEndsWithoutAnAnnouncement(t *testing.T) {
	leaving := newAnnouncement("old", "up:1", 3)
	leaving.Draining = true
	ready := newAnnouncement("old", "up:1", 2)
	for name, test := range map[string]struct {
		announced *backend.Announcement // half way through AdoptionTimeout
		expected  errcode.Code          // of a request after AdoptionTimeout
	}{
		"silent":  {nil, errcode.BusyUpstreamGone},
		"leaving": {&leaving, errcode.BusyLeaving},
		"ready":   {&ready, errcode.OK},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			environment, serving, cfg := newServingDispatcher(settings.ProofTarget)
			request := func(id string) errcode.Code {
				forward := message.Forward{ID: id, Service: "pay", Instance: "old", Incarnation: 1, Remaining: int64(time.Second)}
				decisions := serving.HandleForward(environment.now, forward)
				c.Assert(decisions, qt.HasLen, 1)
				return decisions[0].Code
			}
			environment.dispatcher.UpdateSnapshot(snapshotWith(localRegistration("old", "up:1", message.StateReady, 6)))
			c.Assert(request("at once"), qt.Equals, errcode.OK)
			environment.now = cfg.AdoptionTimeout() / 2
			if test.announced != nil {
				environment.dispatcher.Announce(*test.announced)
			}
			environment.now = cfg.AdoptionTimeout()
			environment.dispatcher.UpdateSnapshot(snapshotWith(localRegistration("old", "up:1", message.StateReady, 6)))
			c.Assert(request("later"), qt.Equals, test.expected)
		})
	}
}

// Where AdoptionTimeout is 0, no upstream is adopted.
func TestAdoptionIsOptional(t *testing.T) {
	c := qt.New(t)
	environment, serving, _ := newServingDispatcher(settings.ProofTarget)
	environment.dispatcher.settings.Bounds.Adoption = 0
	environment.dispatcher.UpdateSnapshot(snapshotWith(localRegistration("old", "up:1", message.StateReady, 6)))
	c.Assert(serving.HasInstance("old"), qt.IsFalse)
}
