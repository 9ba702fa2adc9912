package simulation

import (
	"strconv"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/registry"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// boot starts a new incarnation of the process from its disk. It does nothing if the process is running
// or its machine is retired.
func (n *Node) boot() {
	if n.up || n.retired {
		return
	}
	if n.incarnation++; n.incarnation > 1 {
		n.settings.Bootstrap = false
	}
	n.up, n.frozen, n.inbox = true, false, nil
	n.clock.bootAt = n.world.now
	n.diskIdleAt, n.pendingWrites = 0, nil
	n.inFlight, n.listenerClosed, n.stopping, n.recovering = 0, false, false, false
	n.machineIncarnation++
	n.env = statemachine.NewEnv(n.world.random.Uint64())
	n.replies = map[int64]func(any){}
	n.startedAt = n.world.now
	var err error
	switch n.role {
	case message.RoleProxy:
		n.bootProxy(n.self())
	default:
		var snapshot []byte
		var records [][]byte
		n.store, snapshot, records, err = storage.Open(n.disk)
		if err == nil {
			n.control, err = n.buildMachine(snapshot, records)
		}
	}
	if err != nil {
		n.world.fail("%s failed to boot: %v", n.name, err)
		n.up = false
		return
	}
	n.world.traceEvent("boot %s", n.name)
	n.world.expectCatchUp(n)
	n.openServiceSpan()
	n.every(n.incarnation, n.settings.TickEvery(), n.tick)
}

// bootProxy builds the frontend, the backend and the state machine of a proxy.
func (n *Node) bootProxy(self message.Member) {
	n.connectionPools, n.guardConnections = map[backend.Target][]upstreamConnection{}, map[backend.Target]upstreamConnection{}
	n.connections, n.snapshot = nil, nil
	n.backend = backend.New(n.settings, func(forward message.Forward) errcode.Code { return n.frontend.AuthorizeForward(forward) })
	n.backend.UseTokenSource(func() string { return strconv.FormatUint(n.world.random.Uint64(), 36) })
	n.frontend = frontend.New(n.settings, n.backend.LookupDelegation)
	n.frontend.UseProtocol(namingFrontendProtocol{})
	n.control = proxy.New(n.settings, self)
	n.dispatcher = frontend.NewDispatcher(n.settings, n.frontend, n.backend, &environment{n, n.incarnation}, self)
	incarnation := n.incarnation
	n.every(incarnation, n.settings.UpdatesEvery()/4, func() { n.run(incarnation, n.sweepConnections) })
	n.every(incarnation, n.settings.CountEvery(), func() { n.run(incarnation, n.reportUsage) })
}

// decommission shuts the process down gracefully and retires its machine.
func (n *Node) decommission() {
	n.decommissioned = true
	n.stop(0)
}

// stop shuts the process down gracefully, as package cli does on a signal: it signs off from the other
// nodes, refuses requests that have not started, waits up to Grace for those in progress, and ends.
func (n *Node) stop(downtime time.Duration) {
	if !n.up || n.frozen {
		return
	}
	incarnation, began := n.incarnation, n.world.now
	n.world.traceEvent("stop %s", n.name)
	n.stopping = true
	n.closeServiceSpan()
	restart := func() {
		if n.up && n.incarnation == incarnation {
			if n.role == message.RoleProxy {
				n.world.record.Stopped = append(n.world.record.Stopped, checker.Span{Name: n.machine, From: began, To: n.world.now})
			}
			n.kill(false, n.decommissioned)
			n.retired = n.retired || n.decommissioned
			n.world.after(downtime, n.boot)
		}
	}
	switch n.role {
	case message.RoleProxy:
		n.apply(statemachine.LocalRequest{Request: proxy.Stop{}})
		n.dispatcher.Drain()
		var waitForRequests func()
		waitForRequests = func() {
			running, queue := n.backend.Running()
			if n.up && n.incarnation == incarnation && (n.inFlight > 0 || running+queue > 0) && n.world.now-began < n.settings.Grace() {
				n.world.after(n.settings.TickEvery(), waitForRequests)
				return
			}
			n.world.after(n.settings.TickEvery(), restart)
		}
		n.world.after(n.settings.UpdatesEvery(), func() {
			n.listenerClosed = true
			waitForRequests()
		})
	case message.RoleRegistry:
		n.request(registry.Stop{}, func(any) { n.world.after(n.settings.UpdatesEvery(), restart) })
	default:
		n.request(configstore.Stop{}, func(any) { n.world.after(n.settings.UpdatesEvery(), restart) })
	}
}

// kill ends the process without a shutdown; its disk may lose what was not synced. hard marks a crash in
// the record; loseDisk replaces the disk by an empty one.
func (n *Node) kill(hard, loseDisk bool) {
	if !n.up {
		return
	}
	n.closeServiceSpan()
	n.up = false
	if n.frozen {
		n.world.record.Disconnected = append(n.world.record.Disconnected, checker.Span{Name: n.machine, From: n.frozenAt, To: n.world.now})
	}
	if hard {
		n.world.record.Crashes = append(n.world.record.Crashes, checker.Span{Name: n.machine, From: n.world.now, To: n.world.now})
	}
	if since, cut := n.world.cutLinkSince[n.machine]; cut && n.role == message.RoleProxy {
		// The usage it counted while partitioned is lost unreported.
		n.world.record.UsageLosses = append(n.world.record.UsageLosses, checker.Span{
			Name: n.machine,
			From: since - 200*time.Millisecond,
			To:   n.world.now,
		})
	}
	n.world.traceEvent("kill %s", n.name)
	if len(n.pendingWrites) > 0 && !n.disk.failing {
		// The write in progress is performed up to a random step: write, sync, directory sync.
		n.disk.stepsLeft = n.world.random.IntN(7)
		// The disk stops at that step, so an error is expected.
		_ = n.storeWrite(n.pendingWrites[0])
		n.world.dangers["kills in the middle of a write"]++
	}
	n.pendingWrites = nil
	n.disk.Crash(n.world.random)
	if loseDisk {
		n.diskLost = true
		n.disk = NewDisk()
	}
	for _, connection := range n.connections {
		connection.closed = true
	}
	n.connections = nil
	n.world.breakConnectionsTo(n)
}

// frozenSince reports whether the process was frozen at or after a given time.
func (n *Node) frozenSince(since time.Duration) bool { return n.frozenAt >= since }

// freeze suspends the process. Its clock continues.
func (n *Node) freeze() {
	if n.up && !n.frozen {
		n.closeServiceSpan()
		n.frozen, n.frozenAt = true, n.world.now
		n.world.traceEvent("freeze %s", n.name)
	}
}

// resume ends a freeze and runs what arrived during it.
func (n *Node) resume() {
	if !n.up || !n.frozen {
		return
	}
	n.frozen = false
	n.world.record.Disconnected = append(n.world.record.Disconnected, checker.Span{Name: n.machine, From: n.frozenAt, To: n.world.now})
	n.world.traceEvent("resume %s", n.name)
	n.openServiceSpan()
	arrivals := n.inbox
	n.inbox = nil
	for _, do := range arrivals {
		do()
	}
}

// openServiceSpan starts a span in which the bounds for connected nodes apply, unless a link of the machine
// is cut.
func (n *Node) openServiceSpan() {
	n.serviceSpanStart, n.serviceSpanOpen = n.world.now, !n.world.hasCutLink(n.machine)
}

// closeServiceSpan ends the span of service and adds a proxy's one to the record.
func (n *Node) closeServiceSpan() {
	if n.serviceSpanOpen && n.role == message.RoleProxy {
		n.world.record.Up = append(n.world.record.Up, checker.Span{
			Name:      n.machine,
			From:      n.serviceSpanStart,
			To:        n.world.now,
			StartedAt: n.startedAt,
		})
	}
	n.serviceSpanOpen = false
}
