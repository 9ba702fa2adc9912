package fleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

const (
	// stopLimit is how long a process may take to stop before it is killed.
	stopLimit = 5 * time.Second
	// clockTicks a second and KiB a page, as /proc counts them on Linux.
	clockTicks = 100
	pageKiB    = 4
)

// Process is one product process of the fleet.
type Process struct {
	Role        string
	Node        string
	HTTPAddress string // address of the HTTP API; "" for a configuration store
	settings    string
	log         string
	command     *exec.Cmd
	ended       chan struct{}

	frozenAt time.Duration
}

// Settings returns the path of the settings file.
func (p *Process) Settings() string { return p.settings }

// Start starts a process.
func (f *Fleet) Start(process *Process) error {
	log, err := os.OpenFile(process.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errcode.Wrap("fleet.log", errcode.DiskFault, err)
	}
	process.command = exec.Command(filepath.Join(f.Bin, process.Role), "--config", process.settings)
	process.command.Stdout, process.command.Stderr = log, log
	if err := process.command.Start(); err != nil {
		return errcode.Wrap("fleet.start", errcode.Internal, err)
	}
	ended := make(chan struct{})
	process.ended = ended
	command := process.command
	f.Group.Go("fleet.wait", func(context.Context) {
		_ = command.Wait() // how it ended is not judged: scenarios kill processes
		log.Close()
		close(ended)
	})
	return nil
}

// Watch starts to count the running proxies as connected, which the checker holds to its bounds.
func (f *Fleet) Watch() {
	for _, process := range f.Of(message.RoleProxy) {
		f.connectedSince[process.Node] = f.since()
	}
}

// endConnected stops to count a process as connected that is about to get a signal; it never counts
// again.
func (f *Fleet) endConnected(process *Process) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if from, isConnected := f.connectedSince[process.Node]; isConnected && process.Role == message.RoleProxy {
		delete(f.connectedSince, process.Node)
		f.connected = append(f.connected, checker.Span{Name: process.Node, From: from, To: f.since()})
	}
}

// Signal sends a signal to a process that this fleet started, and records when.
func (f *Fleet) Signal(process *Process, signal syscall.Signal) {
	f.endConnected(process)
	f.lock.Lock()
	switch signal {
	case syscall.SIGKILL:
		f.killed = append(f.killed, checker.Span{Name: process.HTTPAddress, From: f.since(), To: f.since()})
	case syscall.SIGSTOP:
		process.frozenAt = f.since()
	case syscall.SIGCONT:
		if process.frozenAt > 0 {
			f.frozen = append(f.frozen, checker.Span{Name: process.HTTPAddress, From: process.frozenAt, To: f.since()})
		}
		process.frozenAt = 0
	}
	f.lock.Unlock()
	select {
	case <-process.ended:
	default:
		_ = process.command.Process.Signal(signal) // it may have ended meanwhile
	}
}

// Kill ends a process by SIGKILL and waits for it.
func (f *Fleet) Kill(process *Process) {
	f.Signal(process, syscall.SIGKILL)
	<-process.ended
}

// StopAll asks every process to stop, and kills what is left after a while.
func (f *Fleet) StopAll() {
	for _, process := range f.Processes {
		if process.command != nil {
			f.Signal(process, syscall.SIGCONT)
			f.Signal(process, syscall.SIGTERM)
		}
	}
	for _, process := range f.Processes {
		if process.command == nil {
			continue
		}
		timer := time.NewTimer(stopLimit)
		select {
		case <-process.ended:
		case <-timer.C:
			f.Kill(process)
		}
		timer.Stop()
	}
	f.collector.Close()
	f.Group.Stop(2 * time.Second)
}

// Use is what a process has used of the machine.
type Use struct {
	Role   string  `json:"role"`
	Node   string  `json:"node"`
	CPU    float64 `json:"cpu_seconds"`
	Memory int64   `json:"memory_kib"`
}

// Uses reads processor time and memory of the running processes.
func (f *Fleet) Uses() []Use {
	list := []Use{}
	for _, process := range f.Processes {
		body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.command.Process.Pid))
		if err != nil {
			continue
		}
		use, err := parseStat(body)
		if err != nil {
			continue
		}
		use.Role, use.Node = process.Role, process.Node
		list = append(list, use)
	}
	return list
}

// Fields of /proc/PID/stat, counted from the one behind the name of the program.
const (
	statUserTicks   = 11
	statSystemTicks = 12
	statPages       = 21
)

// parseStat reads processor time and memory from a process's line in /proc.
func parseStat(line []byte) (Use, error) {
	fields := strings.Fields(string(line[bytes.LastIndexByte(line, ')')+1:]))
	figures := [3]int64{}
	for index, field := range []int{statUserTicks, statSystemTicks, statPages} {
		figure, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return Use{}, err
		}
		figures[index] = figure
	}
	user, system, pages := figures[0], figures[1], figures[2]
	return Use{CPU: float64(user+system) / clockTicks, Memory: pages * pageKiB}, nil
}
