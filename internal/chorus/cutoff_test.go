// A child that is cut off from every callboard, and not from the other ushers.
package chorus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/cue"
	"beaconvane/internal/script"
)

// What can't be reached from here is a good way to others: the news comes by a usher
// whose own parent is one of the callboards that are silent here.
func TestNewsComesRoundACut(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		l := newLobby(c, seed, "near", "far")
		l.settled("near")
		l.members.Hear(l.s, "", script.JoinTold{From: script.Member{Name: "usher/other", Role: script.RoleUsher, District: "e", Address: "usher/other", Birth: 1}})
		cutAt := l.s.Now
		joined := false
		for end := l.s.Now + l.config.Reparent()*4; l.s.Now < end && !joined; l.s.Now += l.config.TickEvery() {
			l.chorus.Tick(l.s)
			for _, effect := range l.s.Drain() {
				sent, _ := effect.(cue.Send)
				ask, isAsk := sent.Message.(script.NewsAsk)
				if !isAsk || sent.To != "usher/other" {
					continue
				}
				body := []byte("a sheet")
				l.chorus.Hear(l.s, sent.To, script.NewsTold{Round: ask.Round, Parent: sent.To, Path: []string{"near", sent.To}, Try: []string{},
					Items: []script.NewsItem{{Mark: sheetMark(SheetTopic("main"), 2, body), Known: true, View: true, Body: body, Total: int64(len(body))}}})
			}
			version, _, _ := l.chorus.Sheet("main")
			joined = version == 2
		}
		c.Assert(joined, qt.IsTrue, qt.Commentf("seed %d: nothing heard for %v", seed, l.s.Now-cutAt))
	}
}
