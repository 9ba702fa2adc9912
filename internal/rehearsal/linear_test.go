// The order check can fail: histories that fit no order are told from those that do.
package rehearsal

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/notice"
)

func TestBookOrderCheckCanFail(t *testing.T) {
	c := qt.New(t)
	put := func(from, to int, version int64, entry string, code notice.Code) *bookOperation {
		return &bookOperation{ask: bookAsk{put: true, version: version, entry: entry}, answer: bookAnswer{code: code}, from: time.Duration(from), to: time.Duration(to), answered: true}
	}
	read := func(from, to int, digest string) *bookOperation {
		return &bookOperation{answer: bookAnswer{code: notice.OK, digest: digest}, from: time.Duration(from), to: time.Duration(to), answered: true}
	}
	lost := put(1, 2, 2, "2:b", notice.OK)
	lost.answered = false
	one := put(0, 1, 1, "1:a", notice.OK)
	for name, history := range map[string]struct {
		operations []*bookOperation
		sound      bool
	}{
		"in turn":                     {[]*bookOperation{one, read(2, 3, "a"), put(4, 5, 2, "2:b", notice.OK), read(6, 7, "b")}, true},
		"the same bytes again":        {[]*bookOperation{one, put(2, 3, 1, "1:a", notice.OK), read(4, 5, "a")}, true},
		"unknown, took effect":        {[]*bookOperation{one, lost, read(9, 10, "b")}, true},
		"unknown, took none":          {[]*bookOperation{one, lost, read(9, 10, "a")}, true},
		"a read goes back":            {[]*bookOperation{one, put(2, 3, 2, "2:b", notice.OK), read(4, 5, "a")}, false},
		"two win one number":          {[]*bookOperation{put(0, 9, 1, "1:a", notice.OK), put(0, 9, 1, "1:b", notice.OK)}, false},
		"refused, yet settled":        {[]*bookOperation{put(0, 1, 1, "1:a", notice.LayoutConflict), read(2, 3, "a")}, false},
		"unknown goes back and forth": {[]*bookOperation{one, lost, read(9, 10, "b"), read(11, 12, "a")}, false},
	} {
		sound, _ := (&World{operations: history.operations}).linear()
		c.Check(sound, qt.Equals, history.sound, qt.Commentf(name))
	}
}
