// A child that is cut off from every registry, and not from the other proxies.
package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/delta"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// What can't be reached from here is a good way to others: the updates comes by a proxy
// whose own parent is one of the registries that are silent here.
func TestUpdatesComeRoundACut(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		l := newTestTree(c, seed, "near", "far")
		l.committed("near")
		l.members.Handle(l.s, "", message.JoinResponse{From: message.Member{Name: "proxy/other", Role: message.RoleProxy, Zone: "e", Address: "proxy/other", StartTime: 1}})
		cutAt := l.s.Now
		joined := false
		for end := l.s.Now + l.settings.Reparent()*4; l.s.Now < end && !joined; l.s.Now += l.settings.TickEvery() {
			l.distribution.Tick(l.s)
			for _, effect := range l.s.Drain() {
				sent, _ := effect.(statemachine.Send)
				request, isRequest := sent.Message.(message.UpdatesRequest)
				if !isRequest || sent.To != "proxy/other" {
					continue
				}
				body := []byte("a configuration")
				packed := delta.Encode(nil, body)
				l.distribution.Handle(l.s, sent.To, message.UpdatesResponse{Round: request.Round, Parent: sent.To, Path: []string{"near", sent.To}, Alternatives: []string{},
					Items: []message.UpdateItem{{Position: configurationMark(ConfigurationTopic("main"), 2, body), Known: true, Snapshot: true, Body: packed, Total: int64(len(packed))}}})
			}
			version, _, _ := l.distribution.Configuration("main")
			joined = version == 2
		}
		c.Assert(joined, qt.IsTrue, qt.Commentf("seed %d: nothing heard for %v", seed, l.s.Now-cutAt))
	}
}

// A child that has just begun, and first meets a registry that is cut off and began anew
// itself, so that it knows no configuration: it goes on to one that does.
func TestYoungChildLeavesARootThatKnowsNothing(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		l := newTestTree(c, seed, "near", "far")
		l.ages["near"] = func() time.Duration { return -1 }
		l.version["near"] = 0
		began := l.s.Now
		current := func() bool {
			_, fresh := l.distribution.FreshAt(ConfigurationTopic("main"))
			return fresh
		}
		c.Assert(l.play(l.settings.Reparent()*2, current), qt.IsTrue, qt.Commentf("seed %d: no current configuration %v after its start", seed, l.s.Now-began))
	}
}
