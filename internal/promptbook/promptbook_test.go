// What the book keeps must fit a frame, or a replaced seat could never read it.
package promptbook

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

func TestTheBookFitsAFrame(t *testing.T) {
	c := qt.New(t)
	config := playbill.Default()
	config.Seat, config.Seats, config.Sheets = "a", []string{"a", "b", "c"}, []string{"main", "other"}
	m, err := New(config, script.Member{Name: "a"}, nil, nil)
	c.Assert(err, qt.IsNil)
	body := make([]byte, config.Limits.Layout)
	for version := int64(1); version <= config.Limits.KeptLayouts*2; version++ {
		for _, sheet := range config.Sheets {
			m.keep(script.KeptLayout{Sheet: sheet, Version: version, Body: body})
		}
		frame, err := script.Encode(script.SeatGrant{Roll: map[string]string{}, State: m.view()})
		c.Assert(err, qt.IsNil)
		c.Assert(int64(len(frame)) <= config.Limits.Frame, qt.IsTrue, qt.Commentf("%d bytes after version %d", len(frame), version))
		for _, sheet := range config.Sheets {
			current, known := m.current(sheet)
			c.Assert(known, qt.IsTrue)
			c.Assert(current.Version, qt.Equals, version)
		}
	}
	for version := int64(100); version <= 200; version++ {
		m.keep(script.KeptLayout{Sheet: "main", Version: version, Body: []byte("small")})
	}
	c.Assert(int64(len(m.layouts["main"])), qt.Equals, config.Limits.KeptLayouts)
}
