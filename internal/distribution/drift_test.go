// A child whose parent lacks what a registry tells it of.
package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// hear is a registry's answer to a heartbeat: it has a version of the configuration.
func (l *testTree) hear(registry string, version int64) {
	mark := configurationMark(ConfigurationTopic("main"), version, []byte("a configuration"))
	l.distribution.HandleNewerMarks(l.s, registry, []message.Position{mark})
}

func (l *testTree) inForce() int64 {
	version, _, _ := l.distribution.Configuration("main")
	return version
}

// The parent passes for current, as one does below a root that is cut off from the store
// and whose lease has not run out; it is left for the registry that has the newer version.
func TestParentThatLacksANewerVersionIsLeft(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		l := newTestTree(c, seed, "near", "far", "other")
		l.committed("near")
		l.version["far"] = 2
		told := l.s.Now
		l.hear("far", 2)
		c.Assert(l.play(l.settings.Reparent()/2, func() bool { return l.inForce() == 2 }), qt.IsTrue, qt.Commentf("seed %d: asked %v", seed, l.asked))
		c.Assert(l.s.Now-told <= l.distribution.driftPatience()+l.settings.TickEvery(), qt.IsTrue)
		c.Assert(l.parent(), qt.Equals, "far")
	}
}

// A parent that brings the version in time is kept, also while versions follow in a row.
func TestParentThatBringsTheNewerVersionIsKept(t *testing.T) {
	c := qt.New(t)
	l := newTestTree(c, 1, "near", "far")
	l.committed("near")
	for version := int64(2); version < 12; version++ {
		l.version["far"] = version
		l.hear("far", version)
		l.play(l.settings.UpdatesEvery()/2, nil)
		l.version["near"] = version
		l.play(l.settings.UpdatesEvery()*3/2, nil)
		c.Assert(l.inForce(), qt.Equals, version)
		c.Assert(l.parent(), qt.Equals, "near")
	}
}

// Versions that follow in a row don't put the move off.
func TestARowOfVersionsDoesNotPutTheMoveOff(t *testing.T) {
	c := qt.New(t)
	l := newTestTree(c, 1, "near", "far")
	l.committed("near")
	for version := int64(2); version < 12; version++ {
		l.version["far"] = version
		l.hear("far", version)
		l.play(l.settings.UpdatesEvery()/2, nil)
	}
	c.Assert(l.parent(), qt.Equals, "far")
}

// The registry that told can't be reached from here: another that told is joined.
func TestAnotherTellerIsJoinedWhereTheFirstFailed(t *testing.T) {
	c := qt.New(t)
	l := newTestTree(c, 1, "near", "far", "other")
	l.committed("near")
	l.version["other"] = 2
	l.distribution.unanswered["far"] = l.s.Now + time.Hour
	l.hear("far", 2)
	l.hear("other", 2)
	l.hear("far", 2)
	c.Assert(l.play(l.settings.Reparent()/2, func() bool { return l.inForce() == 2 }), qt.IsTrue)
	c.Assert(l.parent(), qt.Equals, "other")
}

// A registry that was as stale as all others when it was asked, and tells of a newer version
// since, is no longer passed over.
func TestTellerOfANewerVersionIsTrustedAgain(t *testing.T) {
	c := qt.New(t)
	l := newTestTree(c, 1, "near", "far")
	l.committed("near")
	for _, shunned := range []map[string]time.Duration{l.distribution.avoid, l.distribution.failed, l.distribution.spoilt} {
		shunned["far"] = l.s.Now + time.Hour
	}
	l.version["far"] = 2
	l.hear("far", 2)
	c.Assert(l.play(l.settings.Reparent()/2, func() bool { return l.inForce() == 2 }), qt.IsTrue)
	c.Assert(l.parent(), qt.Equals, "far")
}
