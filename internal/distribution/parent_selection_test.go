package distribution

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// A new parent whose first answer is as stale as the previous parent is left immediately: the node
// joins a current parent at the next tick, without waiting for the stale grace.
func TestAsStaleAParentIsPassedOver(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, "near", "far", "other")
		tree.waitForRoot("near")
		// The first root that is asked next is as stale as the one that was left.
		first := ""
		staleSince := tree.env.Now
		tree.makeStale("near")
		for _, root := range []string{"far", "other"} {
			tree.ages[root] = func() time.Duration {
				if first == "" {
					first = root
				}
				if root == first {
					return tree.env.Now - staleSince
				}
				return 0
			}
		}
		c.Assert(tree.run(tree.settings.ReparentAfter()*4, func() bool { return first != "" }), qt.IsTrue)
		answeredAt := tree.env.Now
		c.Assert(tree.run(tree.settings.ReparentAfter(), func() bool { return tree.parent() != "" && tree.parent() != first }), qt.IsTrue)
		c.Assert(tree.parent(), qt.Not(qt.Equals), "near")
		c.Assert(tree.env.Now-answeredAt <= tree.settings.TickEvery(), qt.IsTrue,
			qt.Commentf("%v, requested %v", tree.env.Now-answeredAt, tree.requestedParents))
		age, _ := tree.distribution.Age(ConfigurationTopic("main"), tree.env.Now)
		c.Assert(age < tree.settings.UpdatesEvery(), qt.IsTrue)
	}
}

// If all current roots are full, the last resort is one of them, neither the root that was left as
// stale nor the other one that proved equally stale.
func TestLastResortIsNoneThatFailed(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		tree := newTestTree(c, seed, "near", "far", "other", "fourth")
		tree.waitForRoot("near")
		tree.makeStale("near", "far")
		tree.full["other"], tree.full["fourth"] = true, true
		c.Assert(tree.run(tree.settings.ReparentAfter()*3, func() bool {
			return len(tree.lastResorts) > 0 && tree.parent() != ""
		}), qt.IsTrue)
		for _, root := range tree.lastResorts {
			c.Assert(root == "other" || root == "fourth", qt.IsTrue,
				qt.Commentf("seed %d: %v after %v", seed, tree.lastResorts, tree.requestedParents))
		}
	}
}

// If all roots have failed, one of them is joined as the last resort.
func TestLastResortWhenAllRootsFailed(t *testing.T) {
	c := qt.New(t)
	tree := newTestTree(c, 1, "near", "far")
	tree.waitForRoot("near")
	tree.makeStale("near", "far")
	c.Assert(tree.run(tree.settings.ReparentAfter()*3, func() bool { return len(tree.lastResorts) > 0 && tree.parent() != "" }), qt.IsTrue)
}

// A parent is not left because of a slice whose source has just failed: no other parent can have a
// fresher slice until another source has taken over. A configuration may be fresher on another parent
// immediately.
func TestSliceStaysCurrentDuringSourceTakeover(t *testing.T) {
	c := qt.New(t)
	for topic, overdueAtLimit := range map[string]bool{ConfigurationTopic("main"): true, SliceTopic("d"): false} {
		tree := newTestTree(c, 1, "near", "far")
		state := tree.distribution.topic(topic)
		tree.distribution.subscribed = map[string]bool{topic: true}
		state.hasContent, state.freshAt = true, 0
		limit := tree.settings.ReparentAfter()
		c.Assert(tree.distribution.topicOverdue(limit), qt.IsFalse)
		c.Assert(tree.distribution.topicOverdue(limit+1), qt.Equals, overdueAtLimit)
		c.Assert(tree.distribution.topicOverdue(limit+tree.settings.LeaseTakeover()+1), qt.IsTrue)
	}
}

// A newer configuration is accepted even if no parent has current content, for example while no
// configstore holds the lease.
func TestNewerConfigurationIsAcceptedFromStaleParent(t *testing.T) {
	c := qt.New(t)
	roots := []string{"near"}
	for number := range 200 {
		roots = append(roots, fmt.Sprintf("far-%d", number))
	}
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, roots...)
		tree.waitForRoot("near")
		tree.makeStale(roots...)
		for _, root := range roots[1:] {
			tree.version[root] = 2
		}
		newer := func() bool { return tree.configurationVersion() == 2 }
		c.Assert(tree.run(tree.settings.ReparentAfter()*2, newer), qt.IsTrue,
			qt.Commentf("seed %d: requested %v", seed, tree.requestedParents))
	}
}

// If the root of a zone is stale and all proxies of the zone are below it, a child that leaves the root
// asks a root of another zone before these proxies.
func TestChildrenOfStaleRootTryOtherRootsFirst(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, "near", "far")
		for _, name := range []string{"one", "two", "three", "four"} {
			tree.addMember(name, message.RoleProxy, "d")
			tree.ages[name] = func() time.Duration { return tree.ages["near"]() }
		}
		tree.waitForRoot("near")
		tree.makeStale("near")
		joinedFar := tree.run(tree.settings.ReparentAfter()*2, func() bool { return tree.parent() == "far" })
		c.Assert(joinedFar, qt.IsTrue, qt.Commentf("seed %d: requested %v", seed, tree.requestedParents))
		c.Assert(tree.requestedParents, qt.DeepEquals, []string{"near", "far"}, qt.Commentf("seed %d", seed))
	}
}

// While the machine of the configuration's lease holder is partitioned, its registry appears to be the
// most current root until the old lease expires. A node that has joined it must leave it, and receive
// the new holder's configuration within the bound.
func TestPartitionedRootIsNotRejoined(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		tree := newTestTree(c, seed, "near", "far", "cut-off")
		tree.waitForRoot("near")
		partitionedAt := tree.env.Now
		leaseEnd := partitionedAt + tree.settings.Lease()*9/10
		servedAt := partitionedAt + tree.settings.ReparentAfter() + tree.settings.UpdatesEvery()
		tree.ages["cut-off"] = func() time.Duration { return max(0, tree.env.Now-leaseEnd) }
		for _, root := range []string{"near", "far"} {
			tree.ages[root] = func() time.Duration {
				if tree.env.Now >= servedAt {
					return 0
				}
				return tree.env.Now - partitionedAt
			}
		}
		tree.run(servedAt-tree.env.Now, nil)

		// Only the two roots that are not partitioned have the new holder's first configuration.
		tree.version["near"], tree.version["far"] = 2, 2
		committedAt := tree.env.Now
		tree.run(tree.settings.LeaseTakeover()*4, func() bool { return tree.configurationVersion() == 2 })
		elapsed := tree.env.Now - committedAt
		bound := time.Duration(tree.settings.Bounds.ConfigurationInForce) * time.Millisecond
		c.Check(elapsed < bound, qt.IsTrue, qt.Commentf("seed %d: %v, requested %v", seed, elapsed, tree.requestedParents))
	}
}

// A node that is partitioned from every registry, but not from the other proxies, receives updates
// through a proxy whose parent is one of the unreachable registries.
func TestUpdatesArriveAroundAPartition(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, "near", "far")
		tree.waitForRoot("near")
		tree.addMember("proxy/other", message.RoleProxy, "e")
		partitionedAt := tree.env.Now
		joined := false
		end := tree.env.Now + tree.settings.ReparentAfter()*4
		for ; tree.env.Now < end && !joined; tree.env.Now += tree.settings.TickEvery() {
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
		c.Assert(joined, qt.IsTrue, qt.Commentf("seed %d: no update received for %v", seed, tree.env.Now-partitionedAt))
	}
}

// A node that has just started leaves a registry without any configuration, such as a partitioned one
// that has restarted, and joins one that has it.
func TestNewChildLeavesRootWithoutContent(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		tree := newTestTree(c, seed, "near", "far")
		tree.ages["near"] = func() time.Duration { return -1 }
		tree.version["near"] = 0
		startedAt := tree.env.Now
		current := func() bool {
			_, fresh := tree.distribution.FreshAt(ConfigurationTopic("main"))
			return fresh
		}
		c.Assert(tree.run(tree.settings.ReparentAfter()*2, current), qt.IsTrue,
			qt.Commentf("seed %d: no current configuration %v after its start", seed, tree.env.Now-startedAt))
	}
}
