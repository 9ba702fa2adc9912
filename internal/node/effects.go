package node

import (
	"context"
	"net"

	"beaconvane/internal/proxy"
	"beaconvane/internal/registry"
	"beaconvane/internal/statemachine"
)

// perform performs one effect of the machine. Effects that wait for the network run in their own goroutine,
// so that the control goroutine is not blocked.
func (n *Node) perform(effect any) {
	switch effect := effect.(type) {
	case statemachine.Send:
		if err := n.Transport.Send(effect.To, effect.Message); err != nil {
			n.counters.increment(counterSendsDropped)
		}
	case statemachine.Datagram:
		if err := n.Transport.Datagram(effect.To, effect.Message); err != nil {
			n.counters.increment(counterDatagramsDropped)
		}
	case statemachine.Write:
		n.writes <- &effect
	case statemachine.Reply:
		n.requests.reply(effect.RequestID, effect.Answer)
	case statemachine.Publish:
		if n.publish != nil {
			n.publish(effect.Snapshot)
		}
	case statemachine.Event:
		n.record(effect)
	case statemachine.Probe:
		n.Group.Go("node.probe", func(ctx context.Context) { n.probe(ctx, effect) })
	case statemachine.Report:
		if report, isUsage := effect.Body.(registry.UsageReport); isUsage {
			n.Group.Go("node.report", func(ctx context.Context) { n.reportUsage(ctx, report) })
		}
	}
}

// probe dials an address and notifies the machine whether it accepts connections.
func (n *Node) probe(ctx context.Context, probe statemachine.Probe) {
	dialer := net.Dialer{Timeout: n.Settings.DialTimeout()}
	conn, err := dialer.DialContext(ctx, "tcp", probe.Address)
	if err == nil {
		conn.Close()
	}
	n.Notify(proxy.Probed{Key: probe.Key, Incarnation: probe.Incarnation, Answered: err == nil})
}
