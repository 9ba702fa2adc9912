// How puts are taken, by a book of one seat that founds itself.
package promptbook

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/cue"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

type book struct {
	m      *Machine
	stage  *cue.Stage
	writes []int64
	told   []script.BookTold
}

func newBook(c *qt.C, puts string) *book {
	config := playbill.Default()
	config.Node, config.SeatCount, config.Seats, config.Found, config.Puts = "one", 1, playbill.SeatNames(1), true, puts
	config.Seeds = []string{"10.0.0.1:1"}
	m, err := New(config, script.Member{Name: "promptbook/one", Address: "10.0.0.1:2"}, nil, nil)
	c.Assert(err, qt.IsNil)
	b := &book{m: m, stage: cue.NewStage(1)}
	for range 200 {
		b.stage.Now += 25 * time.Millisecond
		m.Tick(b.stage)
		b.drain()
		b.sync()
	}
	c.Assert(m.Serving(), qt.IsTrue)
	return b
}

func (b *book) drain() {
	for _, effect := range b.stage.Drain() {
		switch done := effect.(type) {
		case cue.Write:
			b.writes = append(b.writes, done.Ticket)
		case cue.Send:
			if told, isTold := done.Message.(script.BookTold); isTold {
				b.told = append(b.told, told)
			}
		}
	}
}

func (b *book) sync() {
	for len(b.writes) > 0 {
		ticket := b.writes[0]
		b.writes = b.writes[1:]
		b.m.Synced(b.stage, ticket, nil)
		b.drain()
	}
}

// put gives what has been answered before the disk has moved, and all that was answered.
func (b *book) put(version int64, body string) (early, all []script.BookTold) {
	b.told = nil
	b.m.Hear(b.stage, "10.0.0.9:1", script.BookPut{Ticket: version, Sheet: "main", Version: version, Body: []byte(body)})
	b.drain()
	early = b.told
	b.sync()
	return early, b.told
}

func sheet(head string) string {
	return `{` + head + `"services":["x"],"tenants":[],"routes":[]}`
}

func (b *book) code(c *qt.C, version int64, body string) notice.Code {
	_, all := b.put(version, body)
	c.Assert(all, qt.HasLen, 1)
	return notice.Code(all[0].Code)
}

func TestPutsRising(t *testing.T) {
	c := qt.New(t)
	b := newBook(c, playbill.PutsRising)
	c.Assert(b.code(c, 5, sheet("")), qt.Equals, notice.OK)
	c.Assert(b.code(c, 5, sheet("")), qt.Equals, notice.OK)
	c.Assert(b.code(c, 5, sheet(`"note":"other",`)), qt.Equals, notice.LayoutConflict)
	c.Assert(b.code(c, 4, `{`), qt.Equals, notice.LayoutConflict)
	c.Assert(b.code(c, 6, sheet(`"version":7,`)), qt.Equals, notice.LayoutBad)
	c.Assert(b.code(c, 6, sheet(`"version":6,`)), qt.Equals, notice.OK)
	c.Assert(b.code(c, 0, sheet(`"version":8,`)), qt.Equals, notice.OK)
	c.Assert(b.code(c, 0, sheet("")), qt.Equals, notice.LayoutBad)
	current, _ := b.m.current("main")
	c.Assert(current.Version, qt.Equals, int64(8))
}

func TestPutsHighest(t *testing.T) {
	c := qt.New(t)
	b := newBook(c, playbill.PutsHighest)
	c.Assert(b.code(c, 5, sheet("")), qt.Equals, notice.OK)
	_, all := b.put(4, sheet(`"note":"older",`))
	c.Assert(all, qt.HasLen, 1)
	c.Assert(notice.Code(all[0].Code), qt.Equals, notice.OK)
	c.Assert(all[0].Version, qt.Equals, int64(5))
	c.Assert(string(all[0].Body), qt.Equals, sheet(""))
	c.Assert(b.code(c, 5, sheet(`"note":"other bytes",`)), qt.Equals, notice.OK)
	_, all = b.put(3, sheet(`"colour":1,`))
	c.Assert(notice.Code(all[0].Code), qt.Equals, notice.LayoutBad)
	c.Assert(all[0].Faults, qt.DeepEquals, []string{"colour: unknown field"})
	_, all = b.put(3, sheet(`"version":2,`))
	c.Assert(all[0].Faults, qt.DeepEquals, []string{"version: differs from the number put"})
	c.Assert(b.code(c, 3, sheet(`"version":0,`)), qt.Equals, notice.LayoutBad)
	c.Assert(b.code(c, 0, sheet(`"version":4,`)), qt.Equals, notice.OK)
	current, _ := b.m.current("main")
	c.Assert(current.Version, qt.Equals, int64(5))
	c.Assert(string(current.Body), qt.Equals, sheet(""))
	c.Assert(b.m.layouts["main"], qt.HasLen, 1)
}

// An older number is acknowledged only behind what is in flight.
func TestOlderNumberWaitsForThePutInFlight(t *testing.T) {
	c := qt.New(t)
	b := newBook(c, playbill.PutsHighest)
	c.Assert(b.code(c, 1, sheet("")), qt.Equals, notice.OK)
	b.told = nil
	for _, version := range []int64{9, 9, 3} {
		b.m.Hear(b.stage, "10.0.0.9:1", script.BookPut{Ticket: version, Sheet: "main", Version: version, Body: []byte(sheet(""))})
	}
	b.drain()
	c.Assert(b.told, qt.HasLen, 0)
	b.sync()
	c.Assert(b.told, qt.HasLen, 3)
	for _, told := range b.told {
		c.Assert(notice.Code(told.Code), qt.Equals, notice.OK)
		c.Assert(told.Version, qt.Equals, int64(9))
	}
}
