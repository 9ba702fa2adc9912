package scaletest

import (
	"context"
	"fmt"
	"sync"

	"github.com/go-logr/logr"

	"beaconvane/internal/backend"
	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/proxy"
	"beaconvane/internal/registry"
	"beaconvane/internal/transport"
)

// hollowNode is one node of a hollow fleet. It can be killed and restarted.
type hollowNode struct {
	spec       NodeSpec
	arrivals   *arrivals
	goroutines *goroutine.Group
	process    *node.Node // nil while the node is down
	lock       sync.Mutex // guards snapshot and version, which OnPublish updates
	snapshot   *proxy.Snapshot
	version    int64                      // highest version that came into force on this node
	pastCounts map[string]transport.Count // messages and bytes of earlier incarnations
}

// start starts the node's control machine, and for a proxy also its upstream and the counting of usage.
func (n *hollowNode) start() error {
	group := goroutine.New()
	process := node.New(n.spec.Settings, n.spec.Role, group)
	process.Log = logr.Discard()
	n.goroutines, n.process = group, process
	self := node.Self(n.spec.Settings, n.spec.Role)
	if n.spec.Role == message.RoleProxy {
		return n.startProxy(process, self)
	}
	return process.RunFromDisk(func(snapshot []byte, records [][]byte) (node.DiskMachine, error) {
		if n.spec.Role == message.RoleRegistry {
			return registry.New(n.spec.Settings, self, snapshot, records)
		}
		return configstore.New(n.spec.Settings, self, snapshot, records)
	})
}

// startProxy starts the control machine of a proxy, its upstream and the counting of usage.
func (n *hollowNode) startProxy(process *node.Node, self message.Member) error {
	group := n.goroutines
	tracker := frontend.New(n.spec.Settings, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	process.OnPublish(func(published any) {
		snapshot, isSnapshot := published.(*proxy.Snapshot)
		if !isSnapshot {
			panic(fmt.Sprintf("scaletest: a proxy published %T, want *proxy.Snapshot", published)) // a programming error
		}
		tracker.UpdateSnapshot(group.Now(), snapshot)
		n.updateSnapshot(snapshot)
	})
	if err := process.Run(proxy.New(n.spec.Settings, self), nil); err != nil {
		return err
	}
	group.Go("scaletest.upstream", func(ctx context.Context) { announceUpstream(ctx, n.spec, process) })
	if n.spec.Tenants > 0 {
		group.Go("scaletest.count", func(ctx context.Context) { countUsage(ctx, n.spec, process) })
	}
	return nil
}

// updateSnapshot stores the latest snapshot of a proxy, and records each version that it brings into
// force for the first time on this node.
func (n *hollowNode) updateSnapshot(snapshot *proxy.Snapshot) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.snapshot = snapshot
	for _, configuration := range snapshot.Configurations {
		n.arrivals.record(n.version, configuration.Version)
		n.version = max(n.version, configuration.Version)
	}
}

// kill stops the node without a shutdown, as SIGKILL would: no other node is notified.
func (n *hollowNode) kill() {
	if n.process == nil || n.process.Transport == nil {
		return
	}
	for _, count := range n.process.Transport.Counts() {
		addCount(n.pastCounts, count)
	}
	n.process.Transport.Close()
	n.goroutines.Stop(n.spec.Settings.HolderCooldown())
	n.lock.Lock()
	n.snapshot, n.process = nil, nil
	n.lock.Unlock()
}

// write writes a configuration through this node, which must be a registry.
func (n *hollowNode) write(request Request) error {
	requestContext, cancel := context.WithTimeout(n.goroutines.Context, n.spec.Settings.InForceWait()*2)
	defer cancel()
	write := registry.WriteConfiguration{ConfigName: n.spec.Settings.ConfigNames[0], Version: request.Version, Body: request.Body,
		Check: registry.CheckConfiguration(n.spec.Settings, request.Body)}
	answer, err := queryControl[registry.OperatorResponse](requestContext, n.process, write)
	if err != nil {
		return err
	}
	if answer.Code != errcode.OK {
		return errcode.Wrap("scaletest.write", answer.Code, fmt.Errorf("%s", answer.Body))
	}
	return nil
}

// queryControl sends a query to a node's control machine and returns its answer. It fails if the answer
// is not of type T.
func queryControl[T any](ctx context.Context, process *node.Node, query any) (T, error) {
	var zero T
	response, err := process.Request(ctx, query)
	if err != nil {
		return zero, err
	}
	answer, isExpectedType := response.(T)
	if !isExpectedType {
		return zero, errcode.Wrap("scaletest.ask", errcode.Internal,
			fmt.Errorf("query %T was answered with %T, want %T", query, response, zero))
	}
	return answer, nil
}
