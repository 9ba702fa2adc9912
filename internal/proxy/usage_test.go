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

// countingProxy is a proxy among registries.
type countingProxy struct {
	c       *qt.C
	machine *Machine
	env     *statemachine.Env
}

func newCountingProxy(c *qt.C) *countingProxy {
	cfg := settings.Default()
	cfg.Zone, cfg.Zones, cfg.Seeds, cfg.CountedRequests = "z", []string{"z"}, []string{"10.0.0.1:1"}, settings.CountBegun
	cfg.Voters = settings.VoterNames(5)
	self := message.Member{Name: "proxy/me", Role: message.RoleProxy, Zone: "z", Address: "me", StartTime: 7}
	p := &countingProxy{c: c, machine: New(cfg, self), env: statemachine.NewEnv(1)}
	for number := range 5 {
		name := fmt.Sprintf("registry/%d", number)
		registry := message.Member{Name: name, Role: message.RoleRegistry, Zone: "z", Address: name, StartTime: 1}
		p.machine.Handle(p.env, "", message.JoinResponse{From: registry})
	}
	p.env.Drain()
	return p
}

// count hands counts over and returns the updates that the first registry is sent.
func (p *countingProxy) count(closed int64, usage ...message.UsageCount) []message.UsageUpdate {
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

func window(number, requests int64) message.UsageCount {
	return message.UsageCount{Window: number, Counts: map[string]int64{"tenant": requests}, InFlight: map[string]int64{}}
}

// Between full updates only the running window is sent, and nothing where that has not changed. Closed
// windows are sent at once when they change, and again after a while.
func TestOnlyTheRunningWindowIsSentEachTime(t *testing.T) {
	c := qt.New(t)
	p := newCountingProxy(c)
	updates := p.count(4, window(3, 10), window(4, 1))
	c.Assert(len(updates), qt.Equals, 1)
	c.Assert(len(updates[0].Counts), qt.Equals, 2)
	c.Assert(updates[0].ClosedBelow, qt.Equals, int64(4))

	p.env.Now += 125 * time.Millisecond
	updates = p.count(4, window(3, 10), window(4, 2))
	c.Assert(len(updates), qt.Equals, 1)
	c.Assert(updates[0].Counts, qt.DeepEquals, []message.UsageCount{window(4, 2)})
	c.Assert(updates[0].ClosedBelow, qt.Equals, int64(0), qt.Commentf("it does not hold what window 3 ended with"))
	c.Assert(updates[0].Sequence, qt.Equals, int64(2))

	p.env.Now += 125 * time.Millisecond
	c.Assert(len(p.count(4, window(3, 10), window(4, 2))), qt.Equals, 0)

	// One that was begun in a closed window did not run after all.
	updates = p.count(4, window(3, 9), window(4, 2))
	c.Assert(len(updates), qt.Equals, 1)
	c.Assert(len(updates[0].Counts), qt.Equals, 2)

	// The window closes.
	updates = p.count(5, window(3, 9), window(4, 3), window(5, 1))
	c.Assert(len(updates), qt.Equals, 1)
	c.Assert(len(updates[0].Counts), qt.Equals, 3)
	c.Assert(updates[0].ClosedBelow, qt.Equals, int64(5))

	p.env.Now += fullUpdateHeartbeats * p.machine.settings.HeartbeatEvery()
	updates = p.count(5, window(3, 9), window(4, 3), window(5, 1))
	c.Assert(len(updates), qt.Equals, 1)
	c.Assert(len(updates[0].Counts), qt.Equals, 3, qt.Commentf("an update may be lost on its way"))
}

// Three windows of 81 tenants, one of them running: eight updates a second would take a
// tenth of a link of 2.3 Mbit/s if each held everything.
func TestUsageLeavesTheLinkToOthers(t *testing.T) {
	c := qt.New(t)
	p := newCountingProxy(c)
	closed, running := map[string]int64{}, map[string]int64{}
	for tenant := range 81 {
		closed[fmt.Sprintf("tenant%03d", tenant)] = 100
	}
	sent, everything := 0, 0
	for step := range 40 {
		running[fmt.Sprintf("tenant%03d", step*7%81)]++
		usage := []message.UsageCount{
			{Window: 3, Counts: closed, InFlight: map[string]int64{}},
			{Window: 4, Counts: closed, InFlight: map[string]int64{}},
			{Window: 5, Counts: maps.Clone(running), InFlight: map[string]int64{}},
		}
		frame, err := message.Encode(message.UsageUpdate{Proxy: "proxy/me", Counts: usage, ClosedBelow: 5})
		c.Assert(err, qt.IsNil)
		everything += len(frame)
		for _, update := range p.count(5, usage...) {
			frame, err := message.Encode(update)
			c.Assert(err, qt.IsNil)
			sent += len(frame)
		}
		p.env.Now += 125 * time.Millisecond
	}
	c.Assert(sent*2 < everything, qt.IsTrue, qt.Commentf("%d bytes sent, %d with every window each time", sent, everything))
}
