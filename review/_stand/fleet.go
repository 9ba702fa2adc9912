// Command case drives one case of the review: it starts the project's programs as separate processes on
// loopback addresses, plays clients, upstreams, the operator and the platform, and checks one rule.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: three core machines and some sidecar machines, each with an address of its own.
type fleet struct {
	folder   string
	record   *recorder
	prefix   string // "127.x": the machines differ in the last two parts
	ports    ports
	zones    []string
	cores    []*machine
	sidecars []*machine
	platform *platform
	bounds   map[string]any
}

// ports are alike on all machines.
type ports struct{ control, egress, ingress, readiness, app, peersFrom, peersTo, platform int }

// machine runs one or two programs.
type machine struct {
	fleet     *fleet
	name      string
	class     string
	zone      string
	ip        string
	service   string
	bootstrap bool
	processes map[string]*exec.Cmd // running, by program
	lock      sync.Mutex
}

func newFleet(record *recorder) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: record, zones: []string{"shah-alam", "petaling", "cyberjaya"}}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		base := 20000 + rand.IntN(9000)
		f.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 10, base + 25, base + 5}
		if f.portsFree() {
			break
		}
	}
	f.bounds = map[string]any{
		"seed-lag-s": 3, "reuse-after-s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch-up-s": 4, "drain_ms": 2000,
		"grace-s": 6, "answer_hold_ms": 200, "configuration_in_force_ms": 2000, "slip_back_ms": 250, "stretch_ms": 5000,
		"strict-revocation": true, "key_withdrawal_ms": 5000, "retry_share": 0.2, "retry-window-s": 10,
		"retry_allowance": 62, "fencing": false, "holder_rest_ms": 3000, "thaw_ms": 300, "usage-window-s": 5,
		"usage-error": 0.05, "usage-delay-s": 10, "recovery-s": 15,
	}
	for index, zone := range f.zones {
		f.cores = append(f.cores, f.newMachine("core-"+zone+"-1", "core", zone, fmt.Sprintf("%s.%d.1", f.prefix, index+1), ""))
	}
	f.platform = newPlatform(f)
	return f, nil
}

func (f *fleet) portsFree() bool {
	for _, port := range []int{f.ports.control, f.ports.egress, f.ports.readiness, f.ports.app, f.ports.peersFrom, f.ports.peersFrom + 1, f.ports.platform} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1.1:%d", f.prefix, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func (f *fleet) newMachine(name, class, zone, ip, service string) *machine {
	return &machine{fleet: f, name: name, class: class, zone: zone, ip: ip, service: service, bootstrap: true, processes: map[string]*exec.Cmd{}}
}

// addSidecar adds a sidecar machine with the upstream of a service.
func (f *fleet) addSidecar(zoneIndex int, service string) *machine {
	number := 10 + len(f.sidecars)
	zone := f.zones[zoneIndex]
	m := f.newMachine(fmt.Sprintf("sidecar-%s-%d", zone, number), "sidecar", zone, fmt.Sprintf("%s.%d.%d", f.prefix, zoneIndex+1, number), service)
	f.sidecars = append(f.sidecars, m)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings of a process on this machine, with the names that deploy/wire.toml gives.
func (m *machine) settings(program string) map[string]any {
	f := m.fleet
	zones := map[string]string{}
	for _, zone := range f.zones {
		zones[zone] = "klang-valley"
	}
	seeds := []string{}
	for _, core := range f.cores {
		seeds = append(seeds, core.address(f.ports.control))
	}
	values := map[string]any{
		"node-name": m.name, "role": program, "machine-class": m.class, "ip": m.ip, "zone": m.zone, "region": "klang-valley",
		"zones": zones, "port-range": []int{f.ports.peersFrom, f.ports.peersTo}, "seed-nodes": seeds, "bootstrap": m.bootstrap,
		"quorum-member": m.class == "core", "discovery": "static", "entry-mode": "static", "heartbeat_ms": 1500,
		"invariants":   []string{"base", "drain", "config", "cost", "retry", "recover", "tenants", "leader"},
		"fault-budget": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":       f.bounds, "config-source": "highest",
		"platform-api": map[string]any{"address": fmt.Sprintf("%s.9.9:%d", f.prefix, f.ports.platform), "rate-per-s": 50.0, "duties": []string{"usage_report"}, "duty-per-s": 50.0},
	}
	limits := map[string]any{"cpu-fraction": 0.32, "cores": 1, "memory-mb": 244, "max-fds": 4100, "bandwidth-mbps": 1000.0, "disk-mb": 0}
	if m.class == "core" {
		limits = map[string]any{"cpu-fraction": 0.96, "cores": 1, "memory-mb": 280, "max-fds": 4096, "bandwidth-mbps": 1000.0, "disk-mb": 256}
		values["data-path"] = filepath.Join(f.folder, m.name+"-"+program)
		values["bindings"] = map[string]string{}
		values["serves"] = []string{}
		if program == "registry" {
			values["bindings"] = map[string]string{"control-plane": m.address(f.ports.control)}
			values["serves"] = []string{"control"}
		}
	} else {
		values["data-path"] = nil
		values["serves"] = []string{"sidecar"}
		values["bindings"] = map[string]string{
			"ingress": m.address(f.ports.ingress), "egress": m.address(f.ports.egress),
			"readiness": m.address(f.ports.readiness), "control-plane": m.address(f.ports.control),
		}
		values["app-addr"] = m.address(f.ports.app)
		values["service"] = m.service
	}
	values["limits"] = limits
	return values
}

// programs lists the programs of this machine, as in the deploy file.
func (m *machine) programs() []string {
	if m.class == "core" {
		return []string{"registry", "configstore"}
	}
	return []string{"proxy"}
}

// start starts a program with the command of the deploy file.
func (m *machine) start(program string) error {
	f := m.fleet
	body, err := json.Marshal(m.settings(program))
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, m.name+"-"+program+".json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return err
	}
	if m.class == "core" {
		if err := os.MkdirAll(filepath.Join(f.folder, m.name+"-"+program), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+"-"+program+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(programFolder()+program, "--platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "BEACONVANE_SETTINGS=" + path}
	command.Stdout, command.Stderr = log, log
	// The processes end with this driver, also if it is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.lock.Lock()
	m.processes[program] = command
	m.lock.Unlock()
	return nil
}

func (m *machine) startAll() error {
	for _, program := range m.programs() {
		if err := m.start(program); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a program of this machine.
func (m *machine) signal(program string, signal syscall.Signal) {
	m.lock.Lock()
	command := m.processes[program]
	m.lock.Unlock()
	if command != nil && command.Process != nil {
		_ = command.Process.Signal(signal)
	}
}

// reap waits for the end of a program that was killed.
func (m *machine) reap(program string) {
	m.lock.Lock()
	command := m.processes[program]
	delete(m.processes, program)
	m.lock.Unlock()
	if command != nil {
		_ = command.Wait()
	}
}

func (f *fleet) machines() []*machine { return append(append([]*machine{}, f.cores...), f.sidecars...) }

// startMachines starts every machine, within 0.3 s.
func (f *fleet) startMachines() error {
	for _, m := range f.machines() {
		if err := m.startAll(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that the case started.
func (f *fleet) stop() {
	for _, m := range f.machines() {
		for _, program := range m.programs() {
			m.signal(program, syscall.SIGCONT)
			m.signal(program, syscall.SIGKILL)
			m.reap(program)
		}
	}
	f.platform.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// recorder writes record.txt: what was sent, answered and run, with the time since the start of the case.
type recorder struct {
	lock      sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, startedAt: time.Now()}, nil
}

func (r *recorder) now() time.Duration { return time.Since(r.startedAt) }

func (r *recorder) line(format string, arguments ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, arguments...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf("%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, arguments...))
}

// programFolder is the folder of the programs, as the deploy file builds them.
func programFolder() string {
	if folder := os.Getenv("PROGRAMS"); folder != "" {
		return folder
	}
	return "target/"
}
