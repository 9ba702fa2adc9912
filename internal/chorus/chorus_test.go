// A child that leaves a stale parent, with parents whose answers the test makes.
package chorus

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/company"
	"beaconvane/internal/cue"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// lobby is a usher's chorus among callboards, one of them in its own district.
type lobby struct {
	c       *qt.C
	config  playbill.Config
	chorus  *Chorus
	members *company.Company
	s       *cue.Stage
	asked   []string // parents in the order in which they were asked first, in a row
	resorts []string // those that were told that they are the last resort
	ages    map[string]func() time.Duration
	full    map[string]bool
	version map[string]int64 // of the sheet that a parent has; 1 where it is not told
}

func newLobby(c *qt.C, seed uint64, roots ...string) *lobby {
	config := playbill.Default()
	config.District, config.Seeds = "d", []string{"10.0.0.1:1"}
	self := script.Member{Name: "usher/me", Role: script.RoleUsher, District: "d", Address: "me"}
	l := &lobby{c: c, config: config, members: company.New(config, self, nil), s: cue.NewStage(seed), ages: map[string]func() time.Duration{}, full: map[string]bool{}, version: map[string]int64{}}
	for index, root := range roots {
		district := "d"
		if index > 0 {
			district = "e"
		}
		l.members.Hear(l.s, "", script.JoinTold{From: script.Member{Name: root, Role: script.RoleCallboard, District: district, Address: root, Birth: 1}})
		l.ages[root] = func() time.Duration { return 0 }
	}
	l.chorus = New(config, l.members, func(*cue.Stage, string) {})
	l.chorus.Want(SheetTopic("main"))
	return l
}

// stale lets a callboard's knowledge be as old as the time since this moment.
func (l *lobby) stale(roots ...string) {
	since := l.s.Now
	for _, root := range roots {
		l.ages[root] = func() time.Duration { return l.s.Now - since }
	}
}

// play answers every ask at once, as its parent would.
func (l *lobby) play(length time.Duration, until func() bool) bool {
	for end := l.s.Now + length; l.s.Now < end; l.s.Now += 5 * time.Millisecond {
		l.chorus.Tick(l.s)
		for _, effect := range l.s.Drain() {
			sent, isSend := effect.(cue.Send)
			ask, isAsk := sent.Message.(script.NewsAsk)
			if !isSend || !isAsk {
				continue
			}
			if len(l.asked) == 0 || l.asked[len(l.asked)-1] != sent.To {
				l.asked = append(l.asked, sent.To)
			}
			if ask.Resort {
				l.resorts = append(l.resorts, sent.To)
			}
			l.answer(sent.To, ask)
		}
		if until != nil && until() {
			return true
		}
	}
	return until == nil
}

func (l *lobby) answer(parent string, ask script.NewsAsk) {
	told := script.NewsTold{Round: ask.Round, Parent: parent, Path: []string{parent}, Try: []string{}}
	if l.full[parent] && !ask.Resort {
		told.Refused, told.Reason, told.Path = true, script.RefusedFull, []string{}
		l.chorus.Hear(l.s, parent, told)
		return
	}
	body := []byte("a sheet")
	told.Items = []script.NewsItem{{Mark: sheetMark(SheetTopic("main"), max(1, l.version[parent]), body), Age: int64(l.ages[parent]()), Known: true, View: true, Body: body, Total: int64(len(body))}}
	l.chorus.Hear(l.s, parent, told)
}

func (l *lobby) parent() string {
	parent, path, _ := l.chorus.Parent()
	if len(path) == 0 {
		return ""
	}
	return parent
}

// settled plays until the child is with its own district's callboard, which is current.
func (l *lobby) settled(root string) {
	l.play(time.Second, nil)
	l.c.Assert(l.parent(), qt.Equals, root)
	l.asked, l.resorts = nil, nil
}

// The first answer of another that is as stale is enough to pass it over: the fresh one
// is found at the next step of the clock, not after the time that a parent is given.
func TestAsStaleAParentIsPassedOver(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		l := newLobby(c, seed, "near", "far", "other")
		l.settled("near")
		// Whichever is asked first next is as stale as the one that is left.
		first := ""
		stale := l.s.Now
		l.stale("near")
		for _, root := range []string{"far", "other"} {
			l.ages[root] = func() time.Duration {
				if first == "" {
					first = root
				}
				if root == first {
					return l.s.Now - stale
				}
				return 0
			}
		}
		c.Assert(l.play(l.config.Reparent()*4, func() bool { return first != "" }), qt.IsTrue)
		left := l.s.Now
		c.Assert(l.play(l.config.Reparent(), func() bool { return l.parent() != "" && l.parent() != first }), qt.IsTrue)
		c.Assert(l.parent(), qt.Not(qt.Equals), "near")
		c.Assert(l.s.Now-left <= l.config.TickEvery(), qt.IsTrue, qt.Commentf("%v, asked %v", l.s.Now-left, l.asked))
		age, _ := l.chorus.Age(SheetTopic("main"), l.s.Now)
		c.Assert(age < l.config.NewsEvery(), qt.IsTrue)
	}
}

// All others are full: the last resort is one of them, not the one that was left for
// staleness, nor the other that proved as stale.
func TestLastResortIsNoneThatFailed(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		l := newLobby(c, seed, "near", "far", "other", "fourth")
		l.settled("near")
		l.stale("near", "far")
		l.full["other"], l.full["fourth"] = true, true
		c.Assert(l.play(l.config.Reparent()*3, func() bool { return len(l.resorts) > 0 && l.parent() != "" }), qt.IsTrue)
		for _, root := range l.resorts {
			c.Assert(root == "other" || root == "fourth", qt.IsTrue, qt.Commentf("seed %d: %v after %v", seed, l.resorts, l.asked))
		}
	}
}

// Where all failed, one of them is better than none.
func TestLastResortOfAllThatFailed(t *testing.T) {
	c := qt.New(t)
	l := newLobby(c, 1, "near", "far")
	l.settled("near")
	l.stale("near", "far")
	c.Assert(l.play(l.config.Reparent()*3, func() bool { return len(l.resorts) > 0 && l.parent() != "" }), qt.IsTrue)
}

// Nothing is left for a slice whose keeper has just died: none can be fresher before
// another is active for it. A sheet is fresher elsewhere at once.
func TestSliceOfADeadKeeperMovesNobody(t *testing.T) {
	c := qt.New(t)
	for topic, wanted := range map[string]bool{SheetTopic("main"): true, SliceTopic("d"): false} {
		l := newLobby(c, 1, "near", "far")
		held := l.chorus.shelf(topic)
		l.chorus.own = map[string]bool{topic: true}
		held.known, held.freshAt = true, 0
		limit := l.config.Reparent()
		c.Assert(l.chorus.late(limit), qt.IsFalse)
		c.Assert(l.chorus.late(limit+1), qt.Equals, wanted)
		c.Assert(l.chorus.late(limit+l.config.TakeOver()+1), qt.IsTrue)
	}
}

// No parent knows anything current, as while the store has no holder; but one has a
// newer sheet, and it is taken.
func TestANewerSheetIsTakenFromAStaleParent(t *testing.T) {
	c := qt.New(t)
	roots := []string{"near"}
	for number := range 200 {
		roots = append(roots, fmt.Sprintf("far-%d", number))
	}
	for seed := range uint64(10) {
		l := newLobby(c, seed, roots...)
		l.settled("near")
		l.stale(roots...)
		for _, root := range roots[1:] {
			l.version[root] = 2
		}
		newer := func() bool {
			version, _, _ := l.chorus.Sheet("main")
			return version == 2
		}
		c.Assert(l.play(l.config.Reparent()*2, newer), qt.IsTrue, qt.Commentf("seed %d: asked %v", seed, l.asked))
	}
}
