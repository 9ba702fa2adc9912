package proxy

import (
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// usageProxy is a proxy that has joined five registries.
type usageProxy struct {
	c       *qt.C
	machine *Machine
	env     *statemachine.Env
}

// newUsageProxy returns a proxy with five voters, which counts started requests.
func newUsageProxy(c *qt.C) *usageProxy {
	cfg := settings.Default()
	cfg.Zone, cfg.Zones, cfg.Seeds, cfg.CountedRequests = "z", []string{"z"}, []string{"10.0.0.1:1"}, settings.CountBegun
	cfg.Voters = settings.VoterNames(5)
	self := message.Member{Name: "proxy/me", Role: message.RoleProxy, Zone: "z", Address: "me", StartTime: 7}
	p := &usageProxy{c: c, machine: New(cfg, self), env: statemachine.NewEnv(1)}
	for number := range 5 {
		name := fmt.Sprintf("registry/%d", number)
		registry := message.Member{Name: name, Role: message.RoleRegistry, Zone: "z", Address: name, StartTime: 1}
		p.machine.Handle(p.env, "", message.JoinResponse{From: registry})
	}
	p.env.Drain()
	return p
}

// sendCounts passes usage counts to the proxy and returns the updates sent to the first registry.
func (p *usageProxy) sendCounts(closed int64, usage ...message.UsageCount) []message.UsageUpdate {
	p.machine.HandleRequest(p.env, 0, UsageCounted{Usage: usage, Closed: closed})
	updates := []message.UsageUpdate{}
	for _, effect := range p.env.Drain() {
		sent, isSend := effect.(statemachine.Send)
		if update, isUpdate := sent.Message.(message.UsageUpdate); isSend && isUpdate && sent.To == "registry/0" {
			updates = append(updates, update)
		}
	}
	return updates
}

// window returns usage counts of one tenant in a window.
func window(number, requests int64) message.UsageCount {
	return message.UsageCount{Window: number, Counts: map[string]int64{"tenant": requests}, InFlight: map[string]int64{}}
}

// Between full updates only the running window is sent, and only if it has changed. Closed windows are
// sent immediately when they change, and repeated in full updates, since an update may be lost.
func TestOnlyTheRunningWindowIsSentEachTime(t *testing.T) {
	c := qt.New(t)
	proxy := newUsageProxy(c)
	updates := proxy.sendCounts(4, window(3, 10), window(4, 1))
	c.Assert(len(updates), qt.Equals, 1)
	c.Assert(len(updates[0].Counts), qt.Equals, 2)
	c.Assert(updates[0].ClosedBelow, qt.Equals, int64(4))

	proxy.env.Now += 125 * time.Millisecond
	updates = proxy.sendCounts(4, window(3, 10), window(4, 2))
	c.Assert(len(updates), qt.Equals, 1)
	c.Assert(updates[0].Counts, qt.DeepEquals, []message.UsageCount{window(4, 2)})
	c.Assert(updates[0].ClosedBelow, qt.Equals, int64(0), qt.Commentf("the update does not hold the final counts of window 3"))
	c.Assert(updates[0].Sequence, qt.Equals, int64(2))

	proxy.env.Now += 125 * time.Millisecond
	c.Assert(len(proxy.sendCounts(4, window(3, 10), window(4, 2))), qt.Equals, 0)

	// A request counted in a closed window turns out not to have run.
	updates = proxy.sendCounts(4, window(3, 9), window(4, 2))
	c.Assert(len(updates), qt.Equals, 1)
	c.Assert(len(updates[0].Counts), qt.Equals, 2)

	// Window 4 closes.
	updates = proxy.sendCounts(5, window(3, 9), window(4, 3), window(5, 1))
	c.Assert(len(updates), qt.Equals, 1)
	c.Assert(len(updates[0].Counts), qt.Equals, 3)
	c.Assert(updates[0].ClosedBelow, qt.Equals, int64(5))

	proxy.env.Now += fullUpdateHeartbeats * proxy.machine.settings.HeartbeatEvery()
	updates = proxy.sendCounts(5, window(3, 9), window(4, 3), window(5, 1))
	c.Assert(len(updates), qt.Equals, 1)
	c.Assert(len(updates[0].Counts), qt.Equals, 3, qt.Commentf("closed windows must be repeated, since an update may be lost"))
}

// Usage updates must leave most of a slow link to other traffic. With three windows of 81 tenants, one
// of them running, eight updates a second would take a tenth of a link of 2.3 Mbit/s if each held every
// window.
func TestUsageLeavesTheLinkToOthers(t *testing.T) {
	c := qt.New(t)
	proxy := newUsageProxy(c)
	closed, running := map[string]int64{}, map[string]int64{}
	for tenant := range 81 {
		closed[fmt.Sprintf("tenant%03d", tenant)] = 100
	}
	sentBytes, unconditionalBytes := 0, 0
	for step := range 40 {
		running[fmt.Sprintf("tenant%03d", step*7%81)]++
		usage := []message.UsageCount{
			{Window: 3, Counts: closed, InFlight: map[string]int64{}},
			{Window: 4, Counts: closed, InFlight: map[string]int64{}},
			{Window: 5, Counts: maps.Clone(running), InFlight: map[string]int64{}},
		}
		frame, err := message.Encode(message.UsageUpdate{Proxy: "proxy/me", Counts: usage, ClosedBelow: 5})
		c.Assert(err, qt.IsNil)
		unconditionalBytes += len(frame)
		for _, update := range proxy.sendCounts(5, usage...) {
			frame, err := message.Encode(update)
			c.Assert(err, qt.IsNil)
			sentBytes += len(frame)
		}
		proxy.env.Now += 125 * time.Millisecond
	}
	comment := qt.Commentf("%d bytes sent, %d with every window each time", sentBytes, unconditionalBytes)
	c.Assert(sentBytes*2 < unconditionalBytes, qt.IsTrue, comment)
}
