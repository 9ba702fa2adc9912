package simulation

import (
	"strings"

	"beaconvane/internal/checker"
	"beaconvane/internal/proxy"
	"beaconvane/internal/registry"
	"beaconvane/internal/statemachine"
)

func (n *Node) perform(effect any) {
	incarnation := n.incarnation
	switch done := effect.(type) {
	case statemachine.Send:
		n.world.send(n, done.To, done.Message)
	case statemachine.Datagram:
		n.world.datagram(n, done.To, done.Message)
	case statemachine.Write:
		n.write(incarnation, done)
	case statemachine.Reply:
		if reply := n.replies[done.RequestID]; reply != nil {
			delete(n.replies, done.RequestID)
			reply(done.Answer)
		}
	case statemachine.Publish:
		n.snapshot = mustBe[*proxy.Snapshot](done.Snapshot)
		n.tracker.UpdateSnapshot(n.snapshot)
	case statemachine.Event:
		n.logEvent(done)
	case statemachine.Probe:
		n.world.after(n.world.transit()*2, func() {
			owner := n.world.addresses[done.Address]
			n.run(incarnation, func() {
				n.apply(statemachine.LocalRequest{Request: proxy.Probed{
					Key:         done.Key,
					Incarnation: done.Incarnation,
					Answered:    owner != nil && owner.up,
				}})
			})
		})
	case statemachine.Report:
		report := mustBe[registry.UsageReport](done.Body)
		if n.Now() > report.ExpiresAt {
			return
		}
		n.world.after(n.world.transit(), func() { n.world.collect(n, incarnation, report) })
	}
}

func (n *Node) logEvent(done statemachine.Event) {
	n.world.mark("%s NOTE %s %d %s", n.name, done.EventName, done.Epoch, done.Cause)
	switch done.EventName {
	case "lease-taken":
		tag, _, _ := strings.Cut(done.Cause, " ")
		n.world.record.LeaseTenures = append(n.world.record.LeaseTenures, checker.LeaseTenure{
			LeaseName: tag,
			Voter:     n.voterName(),
			Epoch:     done.Epoch,
			At:        n.world.now,
		})
	case "voter-recovered":
		n.world.dangers["voters taken by an empty disk"]++
		n.world.recovered(n)
	case "voter-lost":
		n.world.dangers["voters lost to another machine"]++
	case "configuration-in-force":
		n.world.record.Activations = append(n.world.record.Activations, checker.Activation{
			Node:       n.machine,
			ConfigName: done.Cause,
			Version:    done.Epoch,
			At:         n.world.now,
		})
	case "roster-change":
		tag, _, _ := strings.Cut(done.Cause, " ")
		n.world.record.HolderActions = append(n.world.record.HolderActions, checker.LeaseTenure{
			LeaseName: tag,
			Voter:     n.voterName(),
			Epoch:     done.Epoch,
			At:        n.world.now,
		})
	}
}

// ask puts a question to the machine.
func (n *Node) request(question any, reply func(answer any)) {
	n.lastRequestID++
	requestID := n.lastRequestID
	n.replies[requestID] = reply
	n.run(n.incarnation, func() { n.apply(statemachine.LocalRequest{RequestID: requestID, Request: question}) })
}
