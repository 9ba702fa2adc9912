// A serving proxy takes its upstreams from the roster only until one has spoken.
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

// recordingEnvironment is a environment whose clock the test sets; orders to start are kept.
type recordingEnvironment struct {
	dispatcher *Dispatcher
	now        time.Duration
	wall       time.Time
	response   []any
	starts     []backend.Decision
	full       bool
}

func (p *recordingEnvironment) Now() time.Duration     { return p.now }
func (p *recordingEnvironment) Wall() time.Time        { return p.wall }
func (p *recordingEnvironment) Random() *rand.Rand     { return rand.New(rand.NewPCG(1, 2)) }
func (p *recordingEnvironment) Backlog() time.Duration { return 0 }
func (p *recordingEnvironment) Cancel(string)          {}

func (p *recordingEnvironment) After(time.Duration, func()) {}
func (p *recordingEnvironment) Notify(notice any)           { p.response = append(p.response, notice) }

func (p *recordingEnvironment) Enqueue(env Stage, item any) bool {
	if env == StageStart && !p.full {
		p.starts = append(p.starts, item.(backend.Decision))
	}
	return !p.full
}

func (p *recordingEnvironment) Open(string, func(msg any), func(connection Connection)) Connection {
	return &fakeConnection{}
}

// notices gives, in short, what the control machine was told since it was last asked.
func (p *recordingEnvironment) notices() []string {
	words := []string{}
	for _, notice := range p.response {
		switch response := notice.(type) {
		case proxy.Announced:
			words = append(words, response.Registration.Instance+" "+response.Registration.State)
		case proxy.SignedOff:
			words = append(words, response.Instance+" off")
		}
	}
	p.response = nil
	return words
}

func newServingDispatcher(proof string) (*recordingEnvironment, *backend.Backend, settings.Settings) {
	cfg := settings.Default()
	cfg.Zone, cfg.TargetProof, cfg.CountedRequests = "here", proof, settings.CountBegun
	serving := backend.New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	p := &recordingEnvironment{}
	p.dispatcher = NewDispatcher(cfg, New(cfg, serving.LookupDelegation), serving, p, message.Member{
		Name:      "proxy/me",
		Address:   "here:1",
		StartTime: 7,
	})
	return p, serving, cfg
}

func beside(instance, address, state string, birth int64) message.Registration {
	return message.Registration{Service: "pay", Instance: instance, Incarnation: 1, Address: address, Zone: "here", Slots: 2, State: state,
		ServingProxy: "proxy/me", ServingProxyAddress: "here:1", ServingProxyStartTime: birth}
}

func rosterOf(registrations ...message.Registration) *proxy.Snapshot {
	return &proxy.Snapshot{
		ConfigurationsKnown: true,
		RosterKnown:         true,
		ProxyCount:          1,
		Upstreams:           map[string][]message.Registration{"pay": registrations},
	}
}

func announced(instance, address string, number int64) backend.Announcement {
	return backend.Announcement{
		Service:     "pay",
		Instance:    instance,
		Incarnation: 1,
		Address:     address,
		Zone:        "here",
		Slots:       2,
		Sequence:    number,
	}
}

// After a power cut the upstream has another name at the old address. The roster still
// holds the old one; the two must not end each other in turn.
func TestAdoptionEndsWithTheFirstAnnouncement(t *testing.T) {
	c := qt.New(t)
	p, serving, _ := newServingDispatcher(settings.ProofTarget)
	snapshot := rosterOf(beside("old", "up:1", message.StateReady, 6))
	p.dispatcher.UpdateSnapshot(snapshot)
	c.Assert(p.notices(), qt.DeepEquals, []string{"old ready"})
	p.dispatcher.UpdateSnapshot(snapshot)
	c.Assert(p.notices(), qt.HasLen, 0)
	c.Assert(p.dispatcher.Announce(announced("new", "up:1", 1)), qt.IsTrue)
	c.Assert(p.notices(), qt.DeepEquals, []string{"old off", "new ready"})
	for range 3 {
		p.now += 100 * time.Millisecond
		p.dispatcher.UpdateSnapshot(snapshot)
		c.Assert(p.notices(), qt.HasLen, 0)
		c.Assert(serving.HasInstance("old"), qt.IsFalse)
		c.Assert(serving.HasInstance("new"), qt.IsTrue)
	}
}

// Nobody is adopted of this process, of another serving proxy, late after the start, or where connections are
// the proof; one that was leaving is taken as such.
func TestWhoIsAdopted(t *testing.T) {
	other := beside("other", "up:1", message.StateReady, 6)
	other.ServingProxy = "proxy/other"
	for name, tried := range map[string]struct {
		proof    string
		now      time.Duration
		response message.Registration
		wanted   []string
	}{
		"an earlier life's": {settings.ProofTarget, 0, beside("old", "up:1", message.StateReady, 6), []string{"old ready"}},
		"one that leaves":   {settings.ProofTarget, 0, beside("old", "up:1", message.StateDraining, 6), []string{"old leaving"}},
		"this life's":       {settings.ProofTarget, 0, beside("old", "up:1", message.StateReady, 7), []string{}},
		"another home's":    {settings.ProofTarget, 0, other, []string{}},
		"late": {
			settings.ProofTarget,
			settings.Default().HeartbeatTimeout(),
			beside("old", "up:1", message.StateReady, 6),
			[]string{},
		},
		"proof by connection": {settings.ProofConnection, 0, beside("old", "up:1", message.StateReady, 6), []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, _, _ := newServingDispatcher(tried.proof)
			p.now = tried.now
			p.dispatcher.UpdateSnapshot(rosterOf(tried.response))
			c.Assert(p.notices(), qt.DeepEquals, tried.wanted)
		})
	}
}

// What alters nothing in the serving proxy must not be told to the roster either: a heartbeat behind
// a newer one, one behind the last word, and one of an upstream that leaves.
func TestLateAnnouncementsAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	p, serving, _ := newServingDispatcher(settings.ProofTarget)
	p.dispatcher.Announce(announced("one", "up:1", 4))
	c.Assert(p.notices(), qt.DeepEquals, []string{"one ready"})
	leaving := announced("one", "up:1", 6)
	leaving.Draining = true
	p.dispatcher.Announce(leaving)
	c.Assert(p.notices(), qt.DeepEquals, []string{"one leaving"})
	p.dispatcher.Announce(announced("one", "up:1", 5))
	p.dispatcher.Announce(announced("one", "up:1", 7))
	for _, word := range p.notices() {
		c.Assert(word, qt.Equals, "one leaving")
	}
	p.dispatcher.RetireInstance("one")
	c.Assert(p.notices(), qt.DeepEquals, []string{"one off"})
	p.dispatcher.Announce(announced("one", "up:1", 8))
	p.dispatcher.UpdateSnapshot(rosterOf(beside("one", "up:1", message.StateReady, 6)))
	c.Assert(p.notices(), qt.HasLen, 0)
	c.Assert(serving.HasInstance("one"), qt.IsFalse)
}

// Usage of what upstreams began: counted as a request begins, in the window in which it
// did; taken back from that window when the upstream says that it did not run.
func TestBegunIsCountedAndTakenBack(t *testing.T) {
	c := qt.New(t)
	p, _, cfg := newServingDispatcher(settings.ProofTarget)
	p.wall = time.Unix(100, 0)
	window := int64(time.Duration(p.wall.UnixNano()) / cfg.UsageWindow())
	p.dispatcher.Announce(announced("one", "up:1", 1))
	outcomes := []message.Outcome{}
	forward := func(id, tenant string) {
		p.dispatcher.HandleFrame(message.Forward{
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
		usage, _ := p.dispatcher.frontend.Usage(time.Duration(p.wall.UnixNano()), 0)
		for _, response := range usage {
			if response.Window == window {
				return response.Counts
			}
		}
		return nil
	}
	forward("a", "t")
	forward("b", "t")
	forward("queue", "u")
	c.Assert(p.starts, qt.HasLen, 2)
	c.Assert(counts(window), qt.DeepEquals, map[string]int64{"t": 2})
	// The outcomes come in the next window; so does the start of the one that waited.
	p.wall = p.wall.Add(cfg.UsageWindow())
	p.dispatcher.Complete(p.starts[0], message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusySlotsFull), ReachedUpstream: true})
	c.Assert(counts(window), qt.DeepEquals, map[string]int64{"t": 1})
	p.dispatcher.Complete(p.starts[1], message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)})
	c.Assert(counts(window), qt.DeepEquals, map[string]int64{"t": 1})
	c.Assert(outcomes, qt.HasLen, 2)
	p.now += cfg.AddressProofTTL()
	p.dispatcher.Expire()
	c.Assert(p.starts, qt.HasLen, 3)
	c.Assert(counts(window+1), qt.DeepEquals, map[string]int64{"u": 1})
	// One that finds no room before it is sent was not begun.
	p.dispatcher.Complete(p.starts[2], message.Outcome{Kind: message.Completed, Status: 200})
	p.full = true
	forward("late", "t")
	c.Assert(counts(window + 1)["t"], qt.Equals, int64(0))
	c.Assert(counts(window + 1)["u"], qt.Equals, int64(1))
}
