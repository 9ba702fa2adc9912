package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// reportNewer simulates a registry's answer to a heartbeat, which reports a version of the
// configuration.
func (tree *testTree) reportNewer(registry string, version int64) {
	position := configurationPosition(ConfigurationTopic("main"), version, []byte(testBody))
	tree.distribution.HandleNewerPositions(tree.env, registry, []message.Position{position})
}

// A parent that keeps an older version is left for the registry that reported a newer one, even though
// the parent seems current. This happens below a root that is partitioned from the configstore and
// whose lease has not expired.
func TestParentThatLacksANewerVersionIsLeft(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, "near", "far", "other")
		tree.waitForRoot("near")
		tree.version["far"] = 2
		reportedAt := tree.env.Now
		tree.reportNewer("far", 2)
		updated := tree.run(tree.settings.ReparentAfter()/2, func() bool { return tree.configurationVersion() == 2 })
		c.Assert(updated, qt.IsTrue, qt.Commentf("seed %d: requested %v", seed, tree.requestedParents))
		c.Assert(tree.env.Now-reportedAt <= tree.distribution.missingLimit()+tree.settings.TickEvery(), qt.IsTrue)
		c.Assert(tree.parent(), qt.Equals, "far")
	}
}

// A parent that delivers each reported version in time is kept, also when versions follow each other
// quickly.
func TestParentThatDeliversReportedVersionIsKept(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far")
	tree.waitForRoot("near")
	for version := int64(2); version < 12; version++ {
		tree.version["far"] = version
		tree.reportNewer("far", version)
		tree.run(tree.settings.UpdatesEvery()/2, nil)
		tree.version["near"] = version
		tree.run(tree.settings.UpdatesEvery()*3/2, nil)
		c.Assert(tree.configurationVersion(), qt.Equals, version)
		c.Assert(tree.parent(), qt.Equals, "near")
	}
}

// Further reported versions do not restart the time that the parent has to deliver the first one.
func TestConsecutiveVersionsDoNotDelayLeavingTheParent(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far")
	tree.waitForRoot("near")
	for version := int64(2); version < 12; version++ {
		tree.version["far"] = version
		tree.reportNewer("far", version)
		tree.run(tree.settings.UpdatesEvery()/2, nil)
	}
	c.Assert(tree.parent(), qt.Equals, "far")
}

// A reporter that does not answer this node's requests is ignored, and another reporter is joined.
func TestSilentReporterIsReplacedByAnotherReporter(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far", "other")
	tree.waitForRoot("near")
	tree.version["other"] = 2
	tree.distribution.selection.silent["far"] = tree.env.Now + time.Hour
	tree.reportNewer("far", 2)
	tree.reportNewer("other", 2)
	tree.reportNewer("far", 2)
	c.Assert(tree.run(tree.settings.ReparentAfter()/2, func() bool { return tree.configurationVersion() == 2 }), qt.IsTrue)
	c.Assert(tree.parent(), qt.Equals, "other")
}

// A registry that was ejected as stale becomes a candidate again when it reports a newer version.
func TestReporterOfNewerVersionIsNoLongerStale(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far")
	tree.waitForRoot("near")
	tree.distribution.selection.ejectStale("far", tree.env.Now+time.Hour)
	tree.version["far"] = 2
	tree.reportNewer("far", 2)
	c.Assert(tree.run(tree.settings.ReparentAfter()/2, func() bool { return tree.configurationVersion() == 2 }), qt.IsTrue)
	c.Assert(tree.parent(), qt.Equals, "far")
}
