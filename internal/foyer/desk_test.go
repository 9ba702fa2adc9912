// The order in which broken wires are told of must not matter.
package foyer

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/blocking"
	"beaconvane/internal/greenroom"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/usher"
)

type fakeWire struct {
	broken, attached bool
	closed           func(wire Wire)
	posted           []any
}

func (w *fakeWire) Post(message any) error {
	w.posted = append(w.posted, message)
	return nil
}
func (w *fakeWire) Broken() bool   { return w.broken }
func (w *fakeWire) Attached() bool { return w.attached }
func (w *fakeWire) Close()         { w.broken = true }

type fakeBackstage struct {
	desk   *Desk
	wires  []*fakeWire
	judged []Judged
	dice   *rand.Rand
}

func (b *fakeBackstage) Now() time.Duration          { return time.Second }
func (b *fakeBackstage) Wall() time.Time             { return time.Unix(0, 0) }
func (b *fakeBackstage) Dice() *rand.Rand            { return b.dice }
func (b *fakeBackstage) After(time.Duration, func()) {}
func (b *fakeBackstage) Tell(any)                    {}

func (b *fakeBackstage) Queue(stage Stage, item any) bool {
	switch stage {
	case StageGate:
		b.desk.Gate(item.(*Trip))
	case StageChoose:
		b.desk.Choose(item.(*Trip))
	case StageJudge:
		b.judged = append(b.judged, item.(Judged))
	}
	return true
}

func (b *fakeBackstage) Open(_ string, _ func(message any), closed func(wire Wire)) Wire {
	wire := &fakeWire{closed: closed}
	b.wires = append(b.wires, wire)
	return wire
}

// A second wire that never came about says nothing of a query sent on the first.
func TestAFailedDialDoesNotSpeakForAnEarlierWire(t *testing.T) {
	c := qt.New(t)
	config := playbill.Default()
	config.District = "here"
	f := New(config, func(string) (greenroom.Pass, bool) { return greenroom.Pass{}, false })
	f.Show(0, &usher.View{Layouts: []*blocking.Layout{blocking.Parse("main", 1, []byte(sheet), config.SheetLimits())}, Known: true, RosterHere: true, Ushers: 2,
		Upstreams: map[string][]script.Registration{"pay": {upstream("one", "here")}}})
	back := &fakeBackstage{dice: rand.New(rand.NewPCG(1, 2))}
	back.desk = NewDesk(config, f, greenroom.New(config, nil), back, script.Member{Name: "me", Address: "here:1"})
	ask := func(id string) {
		asked := query("POST", "/pay", KeyHeader, "secret", greenroom.CallerHeader, "shop")
		asked.ID = id
		back.desk.Arrive(asked, func(time.Duration) {}, func(*Final) {})
	}
	ask("sent")
	c.Assert(back.wires, qt.HasLen, 1)
	first := back.wires[0]
	first.attached, first.broken = true, true
	ask("later")
	c.Assert(back.wires, qt.HasLen, 2)
	second := back.wires[1]
	second.broken = true
	second.closed(second)
	c.Assert(back.judged, qt.HasLen, 1)
	c.Assert(back.judged[0].Trip.Query.ID, qt.Equals, "later")
	c.Assert(back.judged[0].Verdict.Kind, qt.Equals, script.NotStarted)
	// The first wire's end is asked about at the home, and unknown when that fails.
	first.closed(first)
	c.Assert(back.wires, qt.HasLen, 3)
	c.Assert(back.wires[2].posted, qt.HasLen, 1)
	back.wires[2].closed(back.wires[2])
	c.Assert(back.judged, qt.HasLen, 2)
	c.Assert(back.judged[1].Trip.Query.ID, qt.Equals, "sent")
	c.Assert(notice.Code(back.judged[1].Verdict.Code), qt.Equals, notice.UnknownOutcome)
}
