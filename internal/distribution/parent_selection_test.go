package distribution

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// The first answer of a parent that is as stale as the one before is enough to leave it: the fresh
// one is found at the next tick, not after the time that a parent is given.
func TestAsStaleAParentIsPassedOver(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, "near", "far", "other")
		tree.settle("near")
		// Whichever is asked first next is as stale as the one that is left.
		first := ""
		stale := tree.env.Now
		tree.makeStale("near")
		for _, root := range []string{"far", "other"} {
			tree.ages[root] = func() time.Duration {
				if first == "" {
					first = root
				}
				if root == first {
					return tree.env.Now - stale
				}
				return 0
			}
		}
		c.Assert(tree.play(tree.settings.ReparentAfter()*4, func() bool { return first != "" }), qt.IsTrue)
		left := tree.env.Now
		c.Assert(tree.play(tree.settings.ReparentAfter(), func() bool { return tree.parent() != "" && tree.parent() != first }), qt.IsTrue)
		c.Assert(tree.parent(), qt.Not(qt.Equals), "near")
		c.Assert(tree.env.Now-left <= tree.settings.TickEvery(), qt.IsTrue, qt.Commentf("%v, asked %v", tree.env.Now-left, tree.asked))
		age, _ := tree.distribution.Age(ConfigurationTopic("main"), tree.env.Now)
		c.Assert(age < tree.settings.UpdatesEvery(), qt.IsTrue)
	}
}

// All others are full: the last resort is one of them, not the one that was left for
// staleness, nor the other that proved as stale.
func TestLastResortIsNoneThatFailed(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		tree := newTestTree(c, seed, "near", "far", "other", "fourth")
		tree.settle("near")
		tree.makeStale("near", "far")
		tree.full["other"], tree.full["fourth"] = true, true
		c.Assert(tree.play(tree.settings.ReparentAfter()*3, func() bool {
			return len(tree.lastResorts) > 0 && tree.parent() != ""
		}), qt.IsTrue)
		for _, root := range tree.lastResorts {
			c.Assert(root == "other" || root == "fourth", qt.IsTrue,
				qt.Commentf("seed %d: %v after %v", seed, tree.lastResorts, tree.asked))
		}
	}
}

// Where all failed, one of them is better than none.
func TestLastResortOfAllThatFailed(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far")
	tree.settle("near")
	tree.makeStale("near", "far")
	c.Assert(tree.play(tree.settings.ReparentAfter()*3, func() bool { return len(tree.lastResorts) > 0 && tree.parent() != "" }), qt.IsTrue)
}

// A parent is not left for a slice whose source has just died: no other can be fresher before another
// source has taken over. A configuration is fresher elsewhere at once.
func TestSliceOfADeadHolderMovesNobody(t *testing.T) {
	c := qt.New(t)
	for topic, wanted := range map[string]bool{ConfigurationTopic("main"): true, SliceTopic("d"): false} {
		tree := newTestTree(c, 1, "near", "far")
		state := tree.distribution.topic(topic)
		tree.distribution.subscribed = map[string]bool{topic: true}
		state.known, state.freshAt = true, 0
		limit := tree.settings.ReparentAfter()
		c.Assert(tree.distribution.behind(limit), qt.IsFalse)
		c.Assert(tree.distribution.behind(limit+1), qt.Equals, wanted)
		c.Assert(tree.distribution.behind(limit+tree.settings.LeaseTakeover()+1), qt.IsTrue)
	}
}

// No parent knows anything current, as while no configstore holds the lease; but one has a newer
// configuration, and it is taken.
func TestANewerConfigurationIsTakenFromAStaleParent(t *testing.T) {
	c := qt.New(t)
	roots := []string{"near"}
	for number := range 200 {
		roots = append(roots, fmt.Sprintf("far-%d", number))
	}
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, roots...)
		tree.settle("near")
		tree.makeStale(roots...)
		for _, root := range roots[1:] {
			tree.version[root] = 2
		}
		newer := func() bool { return tree.configurationVersion() == 2 }
		c.Assert(tree.play(tree.settings.ReparentAfter()*2, newer), qt.IsTrue, qt.Commentf("seed %d: asked %v", seed, tree.asked))
	}
}

// The root of a zone is stale, and every proxy of the zone is below it: a child that leaves it asks
// a root of another zone before them.
func TestOrphansOfAStaleRootAskOtherRootsFirst(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, "near", "far")
		for _, name := range []string{"one", "two", "three", "four"} {
			tree.addMember(name, message.RoleProxy, "d")
			tree.ages[name] = func() time.Duration { return tree.ages["near"]() }
		}
		tree.settle("near")
		tree.makeStale("near")
		left := tree.play(tree.settings.ReparentAfter()*2, func() bool { return tree.parent() == "far" })
		c.Assert(left, qt.IsTrue, qt.Commentf("seed %d: asked %v", seed, tree.asked))
		c.Assert(tree.asked, qt.DeepEquals, []string{"near", "far"}, qt.Commentf("seed %d", seed))
	}
}

// During a takeover the machine of the configuration's lease holder is cut off, and its registry seems
// the freshest for as long as the old lease lasts.
func TestTheRegistryOfACutOffHolderIsNotComeBackTo(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		tree := newTestTree(c, seed, "near", "far", "cut-off")
		tree.settle("near")
		cutAt := tree.env.Now
		leaseEnd := cutAt + tree.settings.Lease()*9/10
		servedAt := cutAt + tree.settings.ReparentAfter() + tree.settings.UpdatesEvery()
		tree.ages["cut-off"] = func() time.Duration { return max(0, tree.env.Now-leaseEnd) }
		for _, root := range []string{"near", "far"} {
			tree.ages[root] = func() time.Duration {
				if tree.env.Now >= servedAt {
					return 0
				}
				return tree.env.Now - cutAt
			}
		}
		tree.play(servedAt-tree.env.Now, nil)

		// The new holder's first configuration is known to the two that are not cut off.
		tree.version["near"], tree.version["far"] = 2, 2
		committedAt := tree.env.Now
		tree.play(tree.settings.LeaseTakeover()*4, func() bool { return tree.configurationVersion() == 2 })
		took := tree.env.Now - committedAt
		bound := time.Duration(tree.settings.Bounds.ConfigurationInForce) * time.Millisecond
		c.Check(took < bound, qt.IsTrue, qt.Commentf("seed %d: %v, asked %v", seed, took, tree.asked))
	}
}

// A node that is cut off from every registry, but not from the other proxies, gets its updates
// through a proxy whose parent is one of the registries that it can't reach itself.
func TestUpdatesArriveAroundAPartition(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, "near", "far")
		tree.settle("near")
		tree.addMember("proxy/other", message.RoleProxy, "e")
		cutAt := tree.env.Now
		joined := false
		for end := tree.env.Now + tree.settings.ReparentAfter()*4; tree.env.Now < end && !joined; tree.env.Now += tree.settings.TickEvery() {
			tree.distribution.Tick(tree.env)
			for _, effect := range tree.env.Drain() {
				sent, _ := effect.(statemachine.Send)
				request, isRequest := sent.Message.(message.UpdatesRequest)
				if !isRequest || sent.To != "proxy/other" {
					continue
				}
				tree.distribution.Handle(tree.env, sent.To, testResponse(request.Round, []string{"near", sent.To}, configurationItem(2)))
			}
			joined = tree.configurationVersion() == 2
		}
		c.Assert(joined, qt.IsTrue, qt.Commentf("seed %d: nothing heard for %v", seed, tree.env.Now-cutAt))
	}
}

// A child that has just started, and first meets a registry that is cut off and has restarted, so
// that it knows no configuration, goes on to one that does.
func TestYoungChildLeavesARootThatKnowsNothing(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, "near", "far")
		tree.ages["near"] = func() time.Duration { return -1 }
		tree.version["near"] = 0
		began := tree.env.Now
		current := func() bool {
			_, fresh := tree.distribution.FreshAt(ConfigurationTopic("main"))
			return fresh
		}
		c.Assert(tree.play(tree.settings.ReparentAfter()*2, current), qt.IsTrue,
			qt.Commentf("seed %d: no current configuration %v after its start", seed, tree.env.Now-began))
	}
}
