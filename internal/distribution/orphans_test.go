package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// The root of a zone is stale, and every proxy of the zone hangs below it: a child that
// leaves it asks a root of another zone before them.
func TestOrphansOfAStaleRootAskOtherRootsFirst(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		l := newTestTree(c, seed, "near", "far")
		for _, name := range []string{"one", "two", "three", "four"} {
			l.members.Handle(l.s, "", message.JoinResponse{From: message.Member{Name: name, Role: message.RoleProxy, Zone: "d", Address: name, StartTime: 1}})
			l.ages[name] = func() time.Duration { return l.ages["near"]() }
		}
		l.committed("near")
		l.stale("near")
		left := l.play(l.settings.Reparent()*2, func() bool { return l.parent() == "far" })
		c.Assert(left, qt.IsTrue, qt.Commentf("seed %d: asked %v", seed, l.asked))
		c.Assert(l.asked, qt.DeepEquals, []string{"near", "far"}, qt.Commentf("seed %d", seed))
	}
}
