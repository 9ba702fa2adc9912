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

	"go.uber.org/atomic"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

const (
	// stopTimeout is the time after SIGTERM after which a process that still runs is killed.
	stopTimeout = 5 * time.Second
	// clockTicksPerSecond and kibPerPage are the units of processor time and memory in /proc on Linux.
	clockTicksPerSecond = 100
	kibPerPage          = 4
)

// Process is one process of the fleet: a proxy, a registry or a configuration store.
type Process struct {
	Role         string
	Node         string
	HTTPAddress  string // address of the HTTP API; "" for a configuration store
	settingsPath string
	logPath      string
	command      *exec.Cmd
	exited       chan struct{}
	pid          atomic.Int64

	frozenAt time.Duration
}

// Pid returns the process id of the latest start; 0 before the first.
func (p *Process) Pid() int { return int(p.pid.Load()) }

// Settings returns the path of the settings file.
func (p *Process) Settings() string { return p.settingsPath }

// Start starts a process, which appends its output to its log file.
func (f *Fleet) Start(process *Process) error {
	logFile, err := os.OpenFile(process.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errcode.Wrap("fleet.log", errcode.DiskFault, err)
	}
	process.command = exec.Command(filepath.Join(f.Bin, process.Role), "--config", process.settingsPath)
	process.command.Stdout, process.command.Stderr = logFile, logFile
	if err := process.command.Start(); err != nil {
		return errcode.Wrap("fleet.start", errcode.Internal, err)
	}
	process.pid.Store(int64(process.command.Process.Pid))
	exited := make(chan struct{})
	process.exited = exited
	command := process.command
	f.Group.Go("fleet.wait", func(context.Context) {
		_ = command.Wait() // the exit status is ignored, since scenarios kill processes
		logFile.Close()
		close(exited)
	})
	return nil
}

// MarkConnected marks all proxies as connected from now on. The checker applies its bounds to connected proxies
// only.
func (f *Fleet) MarkConnected() {
	for _, process := range f.Of(message.RoleProxy) {
		f.connectedSince[process.Node] = f.sinceStart()
	}
}

// endConnectedSpan ends the interval in which a proxy counts as connected, before the proxy is
// signalled. No second interval begins later.
func (f *Fleet) endConnectedSpan(process *Process) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if from, isConnected := f.connectedSince[process.Node]; isConnected && process.Role == message.RoleProxy {
		delete(f.connectedSince, process.Node)
		f.connected = append(f.connected, checker.Span{Name: process.Node, From: from, To: f.sinceStart()})
	}
}

// Signal sends a signal to a process of this fleet, and records kills and the intervals in which the
// process is frozen.
func (f *Fleet) Signal(process *Process, signal syscall.Signal) {
	f.endConnectedSpan(process)
	f.lock.Lock()
	switch signal {
	case syscall.SIGKILL:
		f.killed = append(f.killed, checker.Span{Name: process.HTTPAddress, From: f.sinceStart(), To: f.sinceStart()})
	case syscall.SIGSTOP:
		process.frozenAt = f.sinceStart()
	case syscall.SIGCONT:
		if process.frozenAt > 0 {
			f.frozen = append(f.frozen, checker.Span{Name: process.HTTPAddress, From: process.frozenAt, To: f.sinceStart()})
		}
		process.frozenAt = 0
	}
	f.lock.Unlock()
	select {
	case <-process.exited:
	default:
		_ = process.command.Process.Signal(signal) // fails if the process has exited in the meantime
	}
}

// Kill kills a process by SIGKILL and waits until it has exited.
func (f *Fleet) Kill(process *Process) {
	f.Signal(process, syscall.SIGKILL)
	<-process.exited
}

// WaitExited waits until the process has exited, and reports whether it has within the time limit.
func (p *Process) WaitExited(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.exited:
		return true
	default:
	}
	select {
	case <-p.exited:
		return true
	case <-timer.C:
		return false
	}
}

// StopAll stops every process by SIGTERM, kills those that still run after stopTimeout, and stops the
// collector and the fleet's goroutines.
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
		timer := time.NewTimer(stopTimeout)
		select {
		case <-process.exited:
		case <-timer.C:
			f.Kill(process)
		}
		timer.Stop()
	}
	f.collector.Close()
	f.Group.Stop(2 * time.Second)
}

// ProcessUsage is the processor time and the memory that a process has used.
type ProcessUsage struct {
	Role   string  `json:"role"`
	Node   string  `json:"node"`
	CPU    float64 `json:"cpu_seconds"`
	Memory int64   `json:"memory_kib"`
}

// ResourceUsage returns the processor time and the resident memory of the running processes from /proc.
func (f *Fleet) ResourceUsage() []ProcessUsage {
	list := []ProcessUsage{}
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

// Indexes of fields of /proc/PID/stat, counted from the first field after the program name.
const (
	statUserTicks   = 11
	statSystemTicks = 12
	statPages       = 21
)

// parseStat parses the processor time and the memory from the content of /proc/PID/stat. The program
// name may contain spaces, so the fields are counted from its closing parenthesis.
func parseStat(line []byte) (ProcessUsage, error) {
	fields := strings.Fields(string(line[bytes.LastIndexByte(line, ')')+1:]))
	figures := [3]int64{}
	for index, field := range []int{statUserTicks, statSystemTicks, statPages} {
		figure, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return ProcessUsage{}, err
		}
		figures[index] = figure
	}
	user, system, pages := figures[0], figures[1], figures[2]
	return ProcessUsage{CPU: float64(user+system) / clockTicksPerSecond, Memory: pages * kibPerPage}, nil
}
