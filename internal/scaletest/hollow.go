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

// hollowNode is one node of a hollow fleet, which can be killed and started again.
type hollowNode struct {
	part       Part
	arrivals   *arrivals
	goroutines *goroutine.Group
	process    *node.Node // nil while the node is down
	lock       sync.Mutex // guards what a snapshot changes
	snapshot   *proxy.Snapshot
	version    int64                      // the newest that came into force here
	pastCounts map[string]transport.Count // of earlier incarnations
}

// start starts the node's control machine, and for a proxy its upstream and its load.
func (n *hollowNode) start() error {
	group := goroutine.New()
	process := node.New(n.part.Settings, n.part.Role, group)
	process.Log = logr.Discard()
	n.goroutines, n.process = group, process
	self := node.Self(n.part.Settings, n.part.Role)
	if n.part.Role == message.RoleProxy {
		return n.startProxy(process, self)
	}
	return process.RunFromDisk(func(snapshot []byte, records [][]byte) (node.DiskMachine, error) {
		if n.part.Role == message.RoleRegistry {
			return registry.New(n.part.Settings, self, snapshot, records)
		}
		return configstore.New(n.part.Settings, self, snapshot, records)
	})
}

func (n *hollowNode) startProxy(process *node.Node, self message.Member) error {
	group := n.goroutines
	tracker := frontend.New(n.part.Settings, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	process.OnPublish(func(published any) {
		snapshot, isSnapshot := published.(*proxy.Snapshot)
		if !isSnapshot {
			panic(fmt.Sprintf("scaletest: a proxy published %T", published)) // a programming error
		}
		tracker.UpdateSnapshot(group.Now(), snapshot)
		n.updateSnapshot(snapshot)
	})
	if err := process.Run(proxy.New(n.part.Settings, self), nil); err != nil {
		return err
	}
	group.Go("scaletest.upstream", func(ctx context.Context) { announce(ctx, n.part, process) })
	if n.part.Tenants > 0 {
		group.Go("scaletest.count", func(ctx context.Context) { countUsage(ctx, n.part, process) })
	}
	return nil
}

// updateSnapshot keeps what a proxy knows, and records when each version first came into force here.
func (n *hollowNode) updateSnapshot(snapshot *proxy.Snapshot) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.snapshot = snapshot
	for _, configuration := range snapshot.Configurations {
		n.arrivals.record(n.version, configuration.Version)
		n.version = max(n.version, configuration.Version)
	}
}

// kill stops the node as a kill does: no other node is told.
func (n *hollowNode) kill() {
	if n.process == nil || n.process.Transport == nil {
		return
	}
	for _, passed := range n.process.Transport.Counts() {
		addCount(n.pastCounts, passed)
	}
	n.process.Transport.Close()
	n.goroutines.Stop(n.part.Settings.HolderCooldown())
	n.lock.Lock()
	n.snapshot, n.process = nil, nil
	n.lock.Unlock()
}

// write writes a configuration through this node, a registry.
func (n *hollowNode) write(request Request) error {
	limited, cancel := context.WithTimeout(n.goroutines.Context, n.part.Settings.InForceWait()*2)
	defer cancel()
	write := registry.WriteConfiguration{ConfigName: n.part.Settings.ConfigNames[0], Version: request.Version, Body: request.Body,
		Check: registry.CheckConfiguration(n.part.Settings, request.Body)}
	answer, err := ask[registry.OperatorResponse](limited, n.process, write)
	if err != nil {
		return err
	}
	if answer.Code != errcode.OK {
		return errcode.Wrap("scaletest.write", answer.Code, fmt.Errorf("%s", answer.Body))
	}
	return nil
}

// ask asks a node's control machine, and returns its answer in the type that this question has.
func ask[T any](ctx context.Context, process *node.Node, question any) (T, error) {
	var none T
	answered, err := process.Request(ctx, question)
	if err != nil {
		return none, err
	}
	answer, isWanted := answered.(T)
	if !isWanted {
		return none, errcode.Wrap("scaletest.ask", errcode.Internal, fmt.Errorf("%T was answered by %T", question, answered))
	}
	return answer, nil
}
