package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// reportNewer is a registry's answer to a heartbeat: it has a version of the configuration.
func (tree *testTree) reportNewer(registry string, version int64) {
	position := configurationPosition(ConfigurationTopic("main"), version, []byte(testBody))
	tree.distribution.HandleNewerPositions(tree.env, registry, []message.Position{position})
}

// The parent passes for current, as one does below a root that is cut off from the store
// and whose lease has not run out; it is left for the registry that has the newer version.
func TestParentThatLacksANewerVersionIsLeft(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, "near", "far", "other")
		tree.settle("near")
		tree.version["far"] = 2
		told := tree.env.Now
		tree.reportNewer("far", 2)
		moved := tree.play(tree.settings.ReparentAfter()/2, func() bool { return tree.configurationVersion() == 2 })
		c.Assert(moved, qt.IsTrue, qt.Commentf("seed %d: asked %v", seed, tree.asked))
		c.Assert(tree.env.Now-told <= tree.distribution.missingLimit()+tree.settings.TickEvery(), qt.IsTrue)
		c.Assert(tree.parent(), qt.Equals, "far")
	}
}

// A parent that brings the version in time is kept, also while versions follow in a row.
func TestParentThatBringsTheNewerVersionIsKept(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far")
	tree.settle("near")
	for version := int64(2); version < 12; version++ {
		tree.version["far"] = version
		tree.reportNewer("far", version)
		tree.play(tree.settings.UpdatesEvery()/2, nil)
		tree.version["near"] = version
		tree.play(tree.settings.UpdatesEvery()*3/2, nil)
		c.Assert(tree.configurationVersion(), qt.Equals, version)
		c.Assert(tree.parent(), qt.Equals, "near")
	}
}

// Versions that follow in a row don't put the move off.
func TestARowOfVersionsDoesNotPutTheMoveOff(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far")
	tree.settle("near")
	for version := int64(2); version < 12; version++ {
		tree.version["far"] = version
		tree.reportNewer("far", version)
		tree.play(tree.settings.UpdatesEvery()/2, nil)
	}
	c.Assert(tree.parent(), qt.Equals, "far")
}

// The registry that told can't be reached from here: another that told is joined.
func TestAnotherTellerIsJoinedWhereTheFirstFailed(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far", "other")
	tree.settle("near")
	tree.version["other"] = 2
	tree.distribution.selection.silent["far"] = tree.env.Now + time.Hour
	tree.reportNewer("far", 2)
	tree.reportNewer("other", 2)
	tree.reportNewer("far", 2)
	c.Assert(tree.play(tree.settings.ReparentAfter()/2, func() bool { return tree.configurationVersion() == 2 }), qt.IsTrue)
	c.Assert(tree.parent(), qt.Equals, "other")
}

// A registry that was as stale as all others when it was asked, and tells of a newer version
// since, is no longer passed over.
func TestTellerOfANewerVersionIsTrustedAgain(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far")
	tree.settle("near")
	tree.distribution.selection.ejectStale("far", tree.env.Now+time.Hour)
	tree.version["far"] = 2
	tree.reportNewer("far", 2)
	c.Assert(tree.play(tree.settings.ReparentAfter()/2, func() bool { return tree.configurationVersion() == 2 }), qt.IsTrue)
	c.Assert(tree.parent(), qt.Equals, "far")
}
