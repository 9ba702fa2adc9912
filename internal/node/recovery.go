package node

import (
	"context"
	"errors"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// eventDiskRecovered is the event of a machine that was restored from a disk that takes writes again.
const eventDiskRecovered = "disk-recovered"

// DiskMachine is a state machine whose state is on disk.
type DiskMachine interface {
	statemachine.Machine
	storage.Restorable
}

// Build restores a machine from a snapshot and the records behind it.
type Build func(snapshot []byte, records [][]byte) (DiskMachine, error)

// replacement hands the control goroutine a machine that was restored from the disk. Once taken is
// closed the earlier machine is gone, and none of its writes is queued.
type replacement struct {
	machine DiskMachine
	installed   chan struct{}
}

// errReplaced ends the requests to which the earlier machine had not replied.
var errReplaced = errcode.Wrap("node.replace", errcode.Internal, errors.New("the machine was restored from its disk"))

// RunFromDisk opens the data folder, restores the machine and runs it. When a write fails the
// machine stops voting; as soon as the disk takes writes again the machine is restored from what the
// disk holds, as after a restart of the process.
func (n *Node) RunFromDisk(build Build) error {
	directory, err := storage.NewOSDirectory(n.Settings.DataDirectory)
	if err != nil {
		return err
	}
	store, snapshot, records, err := storage.Open(directory)
	if err != nil {
		return err
	}
	machine, err := build(snapshot, records)
	if err != nil {
		return err
	}
	n.store, n.directory, n.build = store, directory, build
	return n.Run(machine, nil)
}

// recoverDisk tries until the disk works and the machine is replaced. It returns false when the
// process stops before that.
func (n *Node) recoverDisk(ctx context.Context) bool {
	retry := time.NewTicker(n.Settings.DiskRetryEvery())
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-retry.C:
		}
		store, machine, err := storage.Recover(n.directory, n.build)
		if err != nil {
			n.counters.increment(counterRecoveriesFailed)
			continue
		}
		n.store = store
		return n.replaceMachine(ctx, machine)
	}
}

// replaceMachine hands a machine to the control goroutine and waits until it has taken over.
func (n *Node) replaceMachine(ctx context.Context, machine DiskMachine) bool {
	next := replacement{machine: machine, installed: make(chan struct{})}
	select {
	case n.replacements <- next:
	case <-ctx.Done():
		return false
	}
	select {
	case <-next.installed:
		return true
	case <-ctx.Done():
		return false
	}
}

// installReplacement puts a restored machine in the place of the present one, and drops what that one
// had still to write. It runs in the control goroutine, the only one that queues writes.
func (n *Node) installReplacement(next replacement) {
	n.machine = next.machine
	for len(n.writes) > 0 {
		<-n.writes
	}
	n.requests.failAll(errReplaced)
	n.record(statemachine.Event{At: n.Group.Now(), EventName: eventDiskRecovered})
	close(next.installed)
}
