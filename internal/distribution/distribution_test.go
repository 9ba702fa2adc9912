// A child that leaves a stale parent, with parents whose answers the test makes.
package distribution

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/delta"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// testTree is a proxy's distribution among registries, one of them in its own zone.
type testTree struct {
	c            *qt.C
	settings     settings.Settings
	distribution *Distribution
	members      *membership.Membership
	s            *statemachine.Env
	asked        []string // parents in the order in which they were asked first, in a row
	resorts      []string // those that were told that they are the last resort
	ages         map[string]func() time.Duration
	full         map[string]bool
	version      map[string]int64 // of the configuration that a parent has; 1 where it is not told
}

func newTestTree(c *qt.C, seed uint64, roots ...string) *testTree {
	cfg := settings.Default()
	cfg.Zone, cfg.Seeds = "d", []string{"10.0.0.1:1"}
	self := message.Member{Name: "proxy/me", Role: message.RoleProxy, Zone: "d", Address: "me"}
	l := &testTree{c: c, settings: cfg, members: membership.New(cfg, self, nil), s: statemachine.NewEnv(seed), ages: map[string]func() time.Duration{}, full: map[string]bool{}, version: map[string]int64{}}
	for index, root := range roots {
		zone := "d"
		if index > 0 {
			zone = "e"
		}
		l.members.Handle(l.s, "", message.JoinResponse{From: message.Member{Name: root, Role: message.RoleRegistry, Zone: zone, Address: root, StartTime: 1}})
		l.ages[root] = func() time.Duration { return 0 }
	}
	l.distribution = New(cfg, l.members, func(*statemachine.Env, string) {})
	l.distribution.Subscribe(ConfigurationTopic("main"))
	return l
}

// stale lets a registry's knowledge be as old as the time since this moment.
func (l *testTree) stale(roots ...string) {
	since := l.s.Now
	for _, root := range roots {
		l.ages[root] = func() time.Duration { return l.s.Now - since }
	}
}

// play answers every ask at once, as its parent would.
func (l *testTree) play(length time.Duration, until func() bool) bool {
	for end := l.s.Now + length; l.s.Now < end; l.s.Now += 5 * time.Millisecond {
		l.distribution.Tick(l.s)
		for _, effect := range l.s.Drain() {
			sent, isSend := effect.(statemachine.Send)
			request, isRequest := sent.Message.(message.UpdatesRequest)
			if !isSend || !isRequest {
				continue
			}
			if len(l.asked) == 0 || l.asked[len(l.asked)-1] != sent.To {
				l.asked = append(l.asked, sent.To)
			}
			if request.LastResort {
				l.resorts = append(l.resorts, sent.To)
			}
			l.answer(sent.To, request)
		}
		if until != nil && until() {
			return true
		}
	}
	return until == nil
}

func (l *testTree) answer(parent string, request message.UpdatesRequest) {
	response := message.UpdatesResponse{Round: request.Round, Parent: parent, Path: []string{parent}, Alternatives: []string{}}
	if l.full[parent] && !request.LastResort {
		response.Refused, response.Reason, response.Path = true, message.RefusedFull, []string{}
		l.distribution.Handle(l.s, parent, response)
		return
	}
	body := []byte("a configuration")
	packed := delta.Encode(nil, body)
	response.Items = []message.UpdateItem{{Position: configurationMark(ConfigurationTopic("main"), max(1, l.version[parent]), body), Age: int64(l.ages[parent]()), Known: true, Snapshot: true, Body: packed, Total: int64(len(packed))}}
	l.distribution.Handle(l.s, parent, response)
}

func (l *testTree) parent() string {
	parent, path, _ := l.distribution.Parent()
	if len(path) == 0 {
		return ""
	}
	return parent
}

// settled plays until the child is with its own zone's registry, which is current.
func (l *testTree) committed(root string) {
	l.play(time.Second, nil)
	l.c.Assert(l.parent(), qt.Equals, root)
	l.asked, l.resorts = nil, nil
}

// The first answer of another that is as stale is enough to pass it over: the fresh one
// is found at the next step of the clock, not after the time that a parent is given.
func TestAsStaleAParentIsPassedOver(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		l := newTestTree(c, seed, "near", "far", "other")
		l.committed("near")
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
		c.Assert(l.play(l.settings.Reparent()*4, func() bool { return first != "" }), qt.IsTrue)
		left := l.s.Now
		c.Assert(l.play(l.settings.Reparent(), func() bool { return l.parent() != "" && l.parent() != first }), qt.IsTrue)
		c.Assert(l.parent(), qt.Not(qt.Equals), "near")
		c.Assert(l.s.Now-left <= l.settings.TickEvery(), qt.IsTrue, qt.Commentf("%v, asked %v", l.s.Now-left, l.asked))
		age, _ := l.distribution.Age(ConfigurationTopic("main"), l.s.Now)
		c.Assert(age < l.settings.UpdatesEvery(), qt.IsTrue)
	}
}

// All others are full: the last resort is one of them, not the one that was left for
// staleness, nor the other that proved as stale.
func TestLastResortIsNoneThatFailed(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		l := newTestTree(c, seed, "near", "far", "other", "fourth")
		l.committed("near")
		l.stale("near", "far")
		l.full["other"], l.full["fourth"] = true, true
		c.Assert(l.play(l.settings.Reparent()*3, func() bool { return len(l.resorts) > 0 && l.parent() != "" }), qt.IsTrue)
		for _, root := range l.resorts {
			c.Assert(root == "other" || root == "fourth", qt.IsTrue, qt.Commentf("seed %d: %v after %v", seed, l.resorts, l.asked))
		}
	}
}

// Where all failed, one of them is better than none.
func TestLastResortOfAllThatFailed(t *testing.T) {
	c := qt.New(t)
	l := newTestTree(c, 1, "near", "far")
	l.committed("near")
	l.stale("near", "far")
	c.Assert(l.play(l.settings.Reparent()*3, func() bool { return len(l.resorts) > 0 && l.parent() != "" }), qt.IsTrue)
}

// Nothing is left for a slice whose holder has just died: none can be fresher before
// another is active for it. A configuration is fresher elsewhere at once.
func TestSliceOfADeadHolderMovesNobody(t *testing.T) {
	c := qt.New(t)
	for topic, wanted := range map[string]bool{ConfigurationTopic("main"): true, SliceTopic("d"): false} {
		l := newTestTree(c, 1, "near", "far")
		held := l.distribution.topicState(topic)
		l.distribution.own = map[string]bool{topic: true}
		held.known, held.freshAt = true, 0
		limit := l.settings.Reparent()
		c.Assert(l.distribution.late(limit), qt.IsFalse)
		c.Assert(l.distribution.late(limit+1), qt.Equals, wanted)
		c.Assert(l.distribution.late(limit+l.settings.TakeOver()+1), qt.IsTrue)
	}
}

// No parent knows anything current, as while the store has no holder; but one has a
// newer configuration, and it is taken.
func TestANewerConfigurationIsTakenFromAStaleParent(t *testing.T) {
	c := qt.New(t)
	roots := []string{"near"}
	for number := range 200 {
		roots = append(roots, fmt.Sprintf("far-%d", number))
	}
	for seed := range uint64(10) {
		l := newTestTree(c, seed, roots...)
		l.committed("near")
		l.stale(roots...)
		for _, root := range roots[1:] {
			l.version[root] = 2
		}
		newer := func() bool {
			version, _, _ := l.distribution.Configuration("main")
			return version == 2
		}
		c.Assert(l.play(l.settings.Reparent()*2, newer), qt.IsTrue, qt.Commentf("seed %d: asked %v", seed, l.asked))
	}
}
