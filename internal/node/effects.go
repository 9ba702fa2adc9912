package node

import (
	"context"
	"net"

	"beaconvane/internal/proxy"
	"beaconvane/internal/registry"
	"beaconvane/internal/statemachine"
)

// perform carries an effect out.
func (n *Node) perform(effect any) {
	switch done := effect.(type) {
	case statemachine.Send:
		if err := n.Transport.Send(done.To, done.Message); err != nil {
			n.count("sends_dropped")
		}
	case statemachine.Datagram:
		if err := n.Transport.Datagram(done.To, done.Message); err != nil {
			n.count("datagrams_dropped")
		}
	case statemachine.Write:
		n.writes <- &done
	case statemachine.Reply:
		n.reply(done)
	case statemachine.Publish:
		if n.published != nil {
			n.published(done.Snapshot)
		}
	case statemachine.Event:
		n.record(done)
	case statemachine.Probe:
		n.Group.Go("node.probe", func(ctx context.Context) { n.probe(ctx, done) })
	case statemachine.Report:
		if report, isReport := done.Body.(registry.UsageReport); isReport {
			n.Group.Go("node.report", func(ctx context.Context) { n.report(ctx, report) })
		}
	}
}

// probe tries whether an address takes connections, and tells the machine.
func (n *Node) probe(ctx context.Context, probe statemachine.Probe) {
	dialer := net.Dialer{Timeout: n.Settings.ConnectionDial()}
	conn, err := dialer.DialContext(ctx, "tcp", probe.Address)
	if err == nil {
		conn.Close()
	}
	n.Tell(proxy.Probed{Key: probe.Key, Incarnation: probe.Incarnation, Answered: err == nil})
}
