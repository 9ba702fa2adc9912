package node

import (
	"context"
	"errors"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// eventDiskRecovered is recorded when the machine was restored after the disk accepts writes again.
const eventDiskRecovered = "disk-recovered"

// DiskMachine is a state machine whose state is stored on disk.
type DiskMachine interface {
	statemachine.Machine
	storage.Restorable
}

// Build restores a machine from a snapshot and the records that follow it.
type Build func(snapshot []byte, records [][]byte) (DiskMachine, error)

// replacement passes a machine that was restored from disk to the control goroutine. Once installed is
// closed, the earlier machine is no longer used and none of its writes is queued.
type replacement struct {
	machine   DiskMachine
	installed chan struct{}
}

// errReplaced is the reply to requests that were pending when the machine was replaced.
var errReplaced = errcode.Wrap("node.replace", errcode.Internal, errors.New("request aborted: the state machine was restored from disk"))

// RunFromDisk opens the data directory, restores the machine and runs it. After a failed write, the machine
// stops voting. When the disk accepts writes again, the machine is restored from the state on disk, as
// after a restart of the process.
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

// recoverDisk retries until the store is reopened and the machine is replaced. It returns false if the
// process stops first.
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

// replaceMachine passes a machine to the control goroutine and waits until it is installed. It returns false
// if the process stops first.
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

// installReplacement replaces the machine and drops the queued writes of the earlier one. Only the control
// goroutine calls it, since it is the only one that queues writes.
func (n *Node) installReplacement(next replacement) {
	n.machine = next.machine
	for len(n.writes) > 0 {
		<-n.writes
	}
	n.requests.failAll(errReplaced)
	n.record(statemachine.Event{At: n.Group.Now(), EventName: eventDiskRecovered})
	close(next.installed)
}
