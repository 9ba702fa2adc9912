package node

import (
	"context"
	"errors"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// DiskMachine is a state machine whose state is on disk.
type DiskMachine interface {
	statemachine.Machine
	storage.Restorable
}

// Build makes a machine of what a disk holds.
type Build func(snapshot []byte, records [][]byte) (DiskMachine, error)

// replacement hands the control goroutine a machine that was built anew from the disk.
// Once taken is closed the earlier machine is gone, and none of its writes is queued.
type replacement struct {
	machine DiskMachine
	taken   chan struct{}
}

// errReplaced answers requests that the earlier machine had not answered.
var errReplaced = errcode.Wrap("node.replace", errcode.Internal, errors.New("the machine was built anew from its disk"))

// RunFromDisk opens the data folder, builds the machine and runs it. When a write fails
// the machine stops voting; as soon as the disk takes writes again it is built anew from
// what the disk holds, as after a restart of the process.
func (n *Node) RunFromDisk(build Build) error {
	folder, err := storage.NewOSDirectory(n.Settings.Data)
	if err != nil {
		return err
	}
	store, snapshot, records, err := storage.Open(folder)
	if err != nil {
		return err
	}
	machine, err := build(snapshot, records)
	if err != nil {
		return err
	}
	n.store, n.folder, n.build = store, folder, build
	return n.Run(machine, nil)
}

// recoverDisk tries until the disk works and the machine is replaced; false at the end
// of the process.
func (n *Node) recoverDisk(ctx context.Context) bool {
	retry := time.NewTicker(n.Settings.DiskRetryEvery())
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-retry.C:
		}
		store, machine, err := storage.Recover(n.folder, n.build)
		if err != nil {
			n.count("disk_recoveries_failed")
			continue
		}
		n.store = store
		return n.replaceMachine(ctx, machine)
	}
}

func (n *Node) replaceMachine(ctx context.Context, machine DiskMachine) bool {
	next := replacement{machine: machine, taken: make(chan struct{})}
	select {
	case n.replacements <- next:
	case <-ctx.Done():
		return false
	}
	select {
	case <-next.taken:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeReplacement runs in the control goroutine, the only one that queues writes.
func (n *Node) takeReplacement(next replacement) {
	n.machine = next.machine
	for len(n.writes) > 0 {
		<-n.writes
	}
	n.lock.Lock()
	waiting := n.replies
	n.replies = map[int64]chan any{}
	n.lock.Unlock()
	for _, reply := range waiting {
		reply <- errReplaced
	}
	n.record(statemachine.Event{At: n.Group.Now(), EventName: "disk-recovered"})
	close(next.taken)
}
