package simulation

import (
	"strings"

	"beaconvane/internal/checker"
	"beaconvane/internal/proxy"
	"beaconvane/internal/registry"
	"beaconvane/internal/statemachine"
)

// perform carries out one effect of the state machine.
func (n *Node) perform(effect any) {
	incarnation := n.incarnation
	switch typed := effect.(type) {
	case statemachine.Send:
		n.world.send(n, typed.To, typed.Message)
	case statemachine.Datagram:
		n.world.datagram(n, typed.To, typed.Message)
	case statemachine.Write:
		n.scheduleWrite(incarnation, typed)
	case statemachine.Reply:
		if reply := n.replies[typed.RequestID]; reply != nil {
			delete(n.replies, typed.RequestID)
			reply(typed.Answer)
		}
	case statemachine.Publish:
		n.snapshot = mustCast[*proxy.Snapshot](typed.Snapshot)
		n.dispatcher.UpdateSnapshot(n.snapshot)
	case statemachine.Event:
		n.recordEvent(typed)
	case statemachine.Probe:
		n.world.after(n.world.randomTransitDelay()*2, func() {
			owner := n.world.upstreamByAddress[typed.Address]
			n.run(incarnation, func() {
				n.apply(statemachine.LocalRequest{Request: proxy.Probed{
					Key:         typed.Key,
					Incarnation: typed.Incarnation,
					Answered:    owner != nil && owner.up,
				}})
			})
		})
	case statemachine.Report:
		report := mustCast[registry.UsageReport](typed.Body)
		if n.Now() > report.ExpiresAt {
			return
		}
		n.world.after(n.world.randomTransitDelay(), func() { n.world.collectUsage(n, incarnation, report) })
	}
}

// recordEvent adds the events that the checker or a scenario uses to the record.
func (n *Node) recordEvent(event statemachine.Event) {
	n.world.traceEvent("%s event %s %d %s", n.name, event.EventName, event.Epoch, event.Cause)
	switch event.EventName {
	case "lease-taken":
		leaseName, _, _ := strings.Cut(event.Cause, " ")
		n.world.record.LeaseTenures = append(n.world.record.LeaseTenures, checker.LeaseTenure{
			LeaseName: leaseName,
			Voter:     n.voterName(),
			Epoch:     event.Epoch,
			At:        n.world.now,
		})
	case "voter-recovered":
		n.world.dangers["voters taken by an empty disk"]++
		n.world.voterRecovered(n)
	case "voter-lost":
		n.world.dangers["voters lost to another machine"]++
	case "configuration-in-force":
		n.world.record.Activations = append(n.world.record.Activations, checker.Activation{
			Node:       n.machine,
			ConfigName: event.Cause,
			Version:    event.Epoch,
			At:         n.world.now,
		})
	case "roster-change":
		leaseName, _, _ := strings.Cut(event.Cause, " ")
		n.world.record.HolderActions = append(n.world.record.HolderActions, checker.LeaseTenure{
			LeaseName: leaseName,
			Voter:     n.voterName(),
			Epoch:     event.Epoch,
			At:        n.world.now,
		})
	}
}

// request sends a local request to the state machine. reply is called once with the answer, unless the
// process ends before it answers.
func (n *Node) request(request any, reply func(answer any)) {
	n.lastRequestID++
	requestID := n.lastRequestID
	n.replies[requestID] = reply
	n.run(n.incarnation, func() { n.apply(statemachine.LocalRequest{RequestID: requestID, Request: request}) })
}
