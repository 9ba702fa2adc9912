package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/message"
)

// Memory of the processes, in MiB, as the settings give it.
const (
	proxyMemory = 244
	coreMemory  = 280
)

// memoryInterval is the interval at which the memory of the processes is read.
const memoryInterval = 20 * time.Millisecond

// memoryLimit returns the memory of a process, in MiB.
func memoryLimit(role string) int64 {
	if role == message.RoleProxy {
		return proxyMemory
	}
	return coreMemory
}

// watchMemory ends each process that exceeds its memory, as a platform does, and starts it again, until ctx ends.
func (t *troubles) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, target := range t.machines {
			t.checkMemory(ctx, target)
		}
		sleep(ctx, memoryInterval)
	}
}

// checkMemory ends a process that exceeds its memory and starts it again. It leaves a process alone that another
// trouble has: that one may be frozen or about to end.
func (t *troubles) checkMemory(ctx context.Context, target *machine) {
	if !target.lock.TryLock() {
		return
	}
	defer target.lock.Unlock()
	held := residentMiB(target.Pid())
	t.seen.addMemory(target.Role, held)
	if held <= memoryLimit(target.Role) {
		return
	}
	t.seen.addExcess(excess{
		process: target.Role + " " + target.Node, held: held, limit: memoryLimit(target.Role), at: t.seen.now(),
	})
	t.seen.record("SIGKILL %s %s at %s for its memory, %d MiB", target.Role, target.Node, target.HTTPAddress, held)
	t.fleet.Kill(target.Process)
	t.seen.addDisruption()
	sleep(ctx, minRestart)
	t.start(target)
}

// residentMiB returns the anonymous memory of a process in MiB; 0 if it has ended.
func residentMiB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kibibytes, _ := strconv.ParseInt(fields[0], 10, 64) // a field that is no number counts as 0
	return kibibytes >> 10
}
