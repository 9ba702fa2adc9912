// A home takes its upstreams from the roster only until one has spoken.
package foyer

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/greenroom"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/usher"
)

// prompter is a backstage whose clock the test sets; orders to start are kept.
type prompter struct {
	desk   *Desk
	now    time.Duration
	wall   time.Time
	told   []any
	starts []greenroom.Order
	full   bool
}

func (p *prompter) Now() time.Duration          { return p.now }
func (p *prompter) Wall() time.Time             { return p.wall }
func (p *prompter) Dice() *rand.Rand            { return rand.New(rand.NewPCG(1, 2)) }
func (p *prompter) After(time.Duration, func()) {}
func (p *prompter) Tell(tidings any)            { p.told = append(p.told, tidings) }

func (p *prompter) Queue(stage Stage, item any) bool {
	if stage == StageStart && !p.full {
		p.starts = append(p.starts, item.(greenroom.Order))
	}
	return !p.full
}

func (p *prompter) Open(string, func(message any), func(wire Wire)) Wire { return &fakeWire{} }

// words gives, in short, what the control machine was told since it was last asked.
func (p *prompter) words() []string {
	words := []string{}
	for _, tidings := range p.told {
		switch told := tidings.(type) {
		case usher.Announced:
			words = append(words, told.Registration.Instance+" "+told.Registration.State)
		case usher.SignedOff:
			words = append(words, told.Instance+" off")
		}
	}
	p.told = nil
	return words
}

func homeDesk(proof string) (*prompter, *greenroom.Greenroom, playbill.Config) {
	config := playbill.Default()
	config.District, config.Proof, config.Counted = "here", proof, playbill.CountBegun
	room := greenroom.New(config, func(script.Carry) notice.Code { return notice.OK })
	p := &prompter{}
	p.desk = NewDesk(config, New(config, room.PassOf), room, p, script.Member{Name: "usher/me", Address: "here:1", Birth: 7})
	return p, room, config
}

func beside(instance, address, state string, birth int64) script.Registration {
	return script.Registration{Service: "pay", Instance: instance, Incarnation: 1, Address: address, District: "here", Slots: 2, State: state,
		Home: "usher/me", HomeAddress: "here:1", HomeBirth: birth}
}

func rosterOf(registrations ...script.Registration) *usher.View {
	return &usher.View{Known: true, RosterHere: true, Ushers: 1, Upstreams: map[string][]script.Registration{"pay": registrations}}
}

func announced(instance, address string, number int64) greenroom.Announcement {
	return greenroom.Announcement{Service: "pay", Instance: instance, Incarnation: 1, Address: address, District: "here", Slots: 2, Number: number}
}

// After a power cut the upstream has another name at the old address. The roster still
// holds the old one; the two must not end each other in turn.
func TestAdoptionEndsWithTheFirstAnnouncement(t *testing.T) {
	c := qt.New(t)
	p, room, _ := homeDesk(playbill.ProofTarget)
	view := rosterOf(beside("old", "up:1", script.StateReady, 6))
	p.desk.Show(view)
	c.Assert(p.words(), qt.DeepEquals, []string{"old ready"})
	p.desk.Show(view)
	c.Assert(p.words(), qt.HasLen, 0)
	c.Assert(p.desk.Announce(announced("new", "up:1", 1)), qt.IsTrue)
	c.Assert(p.words(), qt.DeepEquals, []string{"old off", "new ready"})
	for range 3 {
		p.now += 100 * time.Millisecond
		p.desk.Show(view)
		c.Assert(p.words(), qt.HasLen, 0)
		c.Assert(room.Holds("old"), qt.IsFalse)
		c.Assert(room.Holds("new"), qt.IsTrue)
	}
}

// Nobody is adopted of this life, of another home, late in a life, or where wires are
// the proof; one that was leaving is taken as such.
func TestWhoIsAdopted(t *testing.T) {
	other := beside("other", "up:1", script.StateReady, 6)
	other.Home = "usher/other"
	for name, tried := range map[string]struct {
		proof  string
		now    time.Duration
		told   script.Registration
		wanted []string
	}{
		"an earlier life's": {playbill.ProofTarget, 0, beside("old", "up:1", script.StateReady, 6), []string{"old ready"}},
		"one that leaves":   {playbill.ProofTarget, 0, beside("old", "up:1", script.StateLeaving, 6), []string{"old leaving"}},
		"this life's":       {playbill.ProofTarget, 0, beside("old", "up:1", script.StateReady, 7), []string{}},
		"another home's":    {playbill.ProofTarget, 0, other, []string{}},
		"late":              {playbill.ProofTarget, playbill.Default().BeatBound(), beside("old", "up:1", script.StateReady, 6), []string{}},
		"proof by wire":     {playbill.ProofWire, 0, beside("old", "up:1", script.StateReady, 6), []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, _, _ := homeDesk(tried.proof)
			p.now = tried.now
			p.desk.Show(rosterOf(tried.told))
			c.Assert(p.words(), qt.DeepEquals, tried.wanted)
		})
	}
}

// What alters nothing in the home must not be told to the roster either: a beat behind
// a newer one, one behind the last word, and one of an upstream that leaves.
func TestLateAnnouncementsAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	p, room, _ := homeDesk(playbill.ProofTarget)
	p.desk.Announce(announced("one", "up:1", 4))
	c.Assert(p.words(), qt.DeepEquals, []string{"one ready"})
	leaving := announced("one", "up:1", 6)
	leaving.Leaving = true
	p.desk.Announce(leaving)
	c.Assert(p.words(), qt.DeepEquals, []string{"one leaving"})
	p.desk.Announce(announced("one", "up:1", 5))
	p.desk.Announce(announced("one", "up:1", 7))
	for _, word := range p.words() {
		c.Assert(word, qt.Equals, "one leaving")
	}
	p.desk.Dismiss("one")
	c.Assert(p.words(), qt.DeepEquals, []string{"one off"})
	p.desk.Announce(announced("one", "up:1", 8))
	p.desk.Show(rosterOf(beside("one", "up:1", script.StateReady, 6)))
	c.Assert(p.words(), qt.HasLen, 0)
	c.Assert(room.Holds("one"), qt.IsFalse)
}

// Usage of what upstreams began: counted as a query begins, in the window in which it
// did; taken back from that window when the upstream says that it did not run.
func TestBegunIsCountedAndTakenBack(t *testing.T) {
	c := qt.New(t)
	p, _, config := homeDesk(playbill.ProofTarget)
	p.wall = time.Unix(100, 0)
	window := int64(time.Duration(p.wall.UnixNano()) / config.UsageWindow())
	p.desk.Announce(announced("one", "up:1", 1))
	verdicts := []script.Verdict{}
	carry := func(id, tenant string) {
		p.desk.Inbound(script.Carry{ID: id, Service: "pay", Instance: "one", Incarnation: 1, Tenant: tenant, Remaining: int64(time.Second)},
			func(message any) error { verdicts = append(verdicts, message.(script.Verdict)); return nil })
	}
	counts := func(window int64) map[string]int64 {
		usage, _ := p.desk.foyer.Usage(time.Duration(p.wall.UnixNano()), 0)
		for _, told := range usage {
			if told.Window == window {
				return told.Counts
			}
		}
		return nil
	}
	carry("a", "t")
	carry("b", "t")
	carry("pending", "u")
	c.Assert(p.starts, qt.HasLen, 2)
	c.Assert(counts(window), qt.DeepEquals, map[string]int64{"t": 2})
	// The verdicts come in the next window; so does the start of the one that waited.
	p.wall = p.wall.Add(config.UsageWindow())
	p.desk.Conclude(p.starts[0], script.Verdict{Kind: script.NotStarted, Code: int64(notice.BusySlotsFull), Sent: true})
	c.Assert(counts(window), qt.DeepEquals, map[string]int64{"t": 1})
	p.desk.Conclude(p.starts[1], script.Verdict{Kind: script.StartedNoWhole, Code: int64(notice.UnknownOutcome)})
	c.Assert(counts(window), qt.DeepEquals, map[string]int64{"t": 1})
	c.Assert(verdicts, qt.HasLen, 2)
	p.now += config.DialFresh()
	p.desk.Expire()
	c.Assert(p.starts, qt.HasLen, 3)
	c.Assert(counts(window+1), qt.DeepEquals, map[string]int64{"u": 1})
	// One that finds no room before it is sent was not begun.
	p.desk.Conclude(p.starts[2], script.Verdict{Kind: script.StartedWhole, Status: 200})
	p.full = true
	carry("late", "t")
	c.Assert(counts(window + 1)["t"], qt.Equals, int64(0))
	c.Assert(counts(window + 1)["u"], qt.Equals, int64(1))
}
