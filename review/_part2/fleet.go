package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// site holds what differs between the two small deployments of the users (SYSTEM.md).
type site struct {
	zones           []string
	region          string
	sidecarMemory   int // MB
	coreFraction    float64
	strict, fencing bool
	retryAllowance  int
}

var (
	jcHQ = site{
		zones: []string{"shah-alam", "petaling", "cyberjaya"}, region: "klang-valley", sidecarMemory: 244, coreFraction: 0.96,
		strict: true, fencing: false, retryAllowance: 62,
	}
	umuyoboroSMS = site{
		zones: []string{"nyarugenge", "gasabo", "kicukiro"}, region: "kigali", sidecarMemory: 284, coreFraction: 0.48,
		strict: false, fencing: true, retryAllowance: 58,
	}
)

// record writes a line with the time since the start of the case to record.txt.
type record struct {
	lock  sync.Mutex
	out   io.Writer
	begin time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, begin: time.Now()} }

func (r *record) line(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, values...))
}

// machine is a machine of the deployment: an address and the processes that run there.
type machine struct {
	name, class, zone, ip string
	service               string
	processes             map[string]*process // by role
}

// process is one process of the project, started with the command of the deploy file.
type process struct {
	role     string
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	root     string // the checkout
	folder   string // temporary
	site     site
	ports    ports
	cores    []*machine
	sidecars []*machine
	platform *platformStandIn
}

// ports are alike on all machines.
type ports struct{ control, ingress, egress, readiness, app, first, platform int }

// newFleet lays a deployment with one sidecar for each of the services.
func newFleet(r *record, root string, where site, services []string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, root: root, folder: folder, site: where}
	net2, net3 := 20+rand.IntN(200), 1+rand.IntN(250)
	address := func(host int) string { return fmt.Sprintf("127.%d.%d.%d", net2, net3, host) }
	for index, zone := range f.site.zones {
		f.cores = append(f.cores, &machine{name: "core-" + zone + "-1", class: "core", zone: zone, ip: address(10 + index), processes: map[string]*process{}})
	}
	for index, service := range services {
		zone := where.zones[index%len(where.zones)]
		f.sidecars = append(f.sidecars, &machine{
			name: fmt.Sprintf("sidecar-%s-%d", zone, 1+index/len(where.zones)), class: "sidecar", zone: zone,
			ip: address(50 + index), service: service, processes: map[string]*process{},
		})
	}
	base, err := freeBase(f)
	if err != nil {
		return nil, err
	}
	f.ports = ports{control: base, ingress: base + 1, egress: base + 2, readiness: base + 3, app: base + 4, platform: base + 5, first: base + 10}
	f.platform, err = newPlatform(r, fmt.Sprintf("%s:%d", address(5), f.ports.platform))
	return f, err
}

// freeBase finds a range of ports that are free on all machines.
func freeBase(f *fleet) (int, error) {
	for range 200 {
		base := 10000 + rand.IntN(20000)
		free := true
		for _, m := range append(append([]*machine{}, f.cores...), f.sidecars...) {
			for port := base; port < base+26 && free; port++ {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
				if err != nil {
					free = false
					break
				}
				listener.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free range of ports")
}

// settingsOf returns the settings file of a role on a machine (`fleetbench wire`, DEPLOY.md).
func (f *fleet) settingsOf(m *machine, role string, bootstrap bool) map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	seeds := []string{}
	for _, core := range f.cores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", core.ip, f.ports.control))
	}
	zones := map[string]string{}
	for _, zone := range f.site.zones {
		zones[zone] = f.site.region
	}
	bounds := map[string]any{
		"seed-lag-s": 3, "reuse-after-s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch-up-s": 4, "drain_ms": 2000,
		"grace-s": 6, "answer_hold_ms": 200, "configuration_in_force_ms": 2000, "slip_back_ms": 250, "stretch_ms": 5000,
		"strict-revocation": f.site.strict, "key_withdrawal_ms": 5000, "retry_share": 0.2, "retry-window-s": 10,
		"retry_allowance": f.site.retryAllowance, "fencing": f.site.fencing, "holder_rest_ms": 3000, "thaw_ms": 300, "usage-window-s": 5,
		"usage-error": 0.05, "usage-delay-s": 10, "recovery-s": 15,
	}
	s := map[string]any{
		"node-name": m.name, "role": role, "machine-class": m.class, "ip": m.ip, "zone": m.zone, "region": f.site.region,
		"zones": zones, "port-range": []int{f.ports.first, f.ports.first + 15}, "seed-nodes": seeds, "bootstrap": bootstrap,
		"discovery": "static", "entry-mode": "static", "heartbeat_ms": 1500,
		"invariants":    []string{"base", "drain", "config", "cost", "retry", "recover", "tenants", "leader"},
		"fault-budget":  map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":        bounds,
		"config-source": "highest",
		"platform-api": map[string]any{
			"address": f.platform.address, "rate-per-s": 50.0, "duties": []string{"usage_report"}, "duty-per-s": 50.0,
		},
	}
	if m.class == "core" {
		s["serves"] = []string{}
		if role == "registry" {
			s["serves"] = []string{"control"}
		}
		s["bindings"] = map[string]any{"control-plane": at(f.ports.control)}
		s["quorum-member"] = true
		s["data-path"] = filepath.Join(f.folder, m.name, role)
		s["limits"] = map[string]any{"cpu-fraction": f.site.coreFraction, "cores": 1, "memory-mb": 280, "max-fds": 4096, "bandwidth-mbps": 1000.0, "disk-mb": 256}
		return s
	}
	s["serves"] = []string{"sidecar"}
	s["bindings"] = map[string]any{"ingress": at(f.ports.ingress), "egress": at(f.ports.egress), "readiness": at(f.ports.readiness), "control-plane": at(f.ports.control)}
	s["quorum-member"] = false
	s["data-path"] = nil
	s["limits"] = map[string]any{"cpu-fraction": 0.32, "cores": 1, "memory-mb": f.site.sidecarMemory, "max-fds": 4100, "bandwidth-mbps": 1000.0, "disk-mb": 0}
	s["app-addr"] = at(f.ports.app)
	s["service"] = m.service
	return s
}

// start starts a role on a machine with the command of the deploy file.
func (f *fleet) start(m *machine, role string, bootstrap bool) error {
	folder := filepath.Join(f.folder, m.name)
	if err := os.MkdirAll(filepath.Join(folder, role), 0o755); err != nil {
		return err
	}
	body, err := json.MarshalIndent(f.settingsOf(m, role, bootstrap), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(folder, role+".json")
	if err := os.WriteFile(path, body, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.root, "target", role), "--platform")
	command.Dir = f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BEACONVANE_SETTINGS=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{role: role, settings: path, command: command, ended: make(chan struct{})}
	m.processes[role] = p
	go func() {
		err := command.Wait()
		f.record.line("process %s %s (pid %d) has ended: %v", m.name, role, command.Process.Pid, err)
		close(p.ended)
	}()
	return nil
}

// startAll starts the whole deployment for the first time.
func (f *fleet) startAll() error {
	for _, core := range f.cores {
		for _, role := range []string{"registry", "configstore"} {
			if err := f.start(core, role, true); err != nil {
				return err
			}
		}
	}
	for _, sidecar := range f.sidecars {
		if err := f.start(sidecar, "proxy", true); err != nil {
			return err
		}
	}
	f.record.line("started %d core machines and %d sidecars", len(f.cores), len(f.sidecars))
	return nil
}

// signal sends a signal to a process of this case.
func (f *fleet) signal(m *machine, role string, what syscall.Signal) {
	f.record.line("signal %s to %s %s", what, m.name, role)
	_ = m.processes[role].command.Process.Signal(what)
}

// kill ends a process and waits for its end.
func (f *fleet) kill(m *machine, role string) {
	f.signal(m, role, syscall.SIGKILL)
	<-m.processes[role].ended
}

// stopAll ends every process and removes the folder.
func (f *fleet) stopAll() {
	for _, m := range append(append([]*machine{}, f.cores...), f.sidecars...) {
		for _, p := range m.processes {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			select {
			case <-p.ended:
			case <-time.After(5 * time.Second):
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Fprintln(os.Stderr, "kept", f.folder)
	}
}

// egress is the address at which the clients of a sidecar send.
func (f *fleet) egress(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.ports.egress) }

// control is the control-plane address of a machine.
func (f *fleet) control(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.ports.control) }

// app is the address of the upstream of a sidecar.
func (f *fleet) app(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.ports.app) }

// ready asks a sidecar whether it is ready, as the platform does.
func (f *fleet) ready(m *machine) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/beacon/ready", m.ip, f.ports.readiness))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// configuration is a configuration in the wire form of the project.
func configuration(version int, services []string, routes []map[string]any, tenants []map[string]any) map[string]any {
	pools := []map[string]any{}
	for _, service := range services {
		pools = append(pools, map[string]any{"name": service, "health": "/health", "connections": 130, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": pools,
		"limits":  map[string]any{"head_bytes": 16384, "body_bytes": 67108864, "head_ms": 3000, "idle_ms": 15000},
		"tenants": tenants,
	}
}

// route is a route to one service.
func route(name, host, prefix, kind, service string, timeoutMS, aimMS int, open bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeoutMS,
		"aim_ms": aimMS, "priority": 1, "attempts": 2, "open": open,
	}
}

// putConfiguration sends a configuration as the operator does: until it is taken, to one node after another.
func (f *fleet) putConfiguration(content map[string]any, limit time.Duration) error {
	body, err := json.Marshal(content)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 1200 * time.Millisecond}
	end := time.Now().Add(limit)
	for index := 0; time.Now().Before(end); index++ {
		core := f.cores[index%len(f.cores)]
		request, _ := http.NewRequest(http.MethodPut, "http://"+f.control(core)+"/v1/configurations/main", bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.record.line("configuration %v acknowledged by %s", content["version"], core.name)
				return nil
			}
			if response.StatusCode/100 == 4 && response.StatusCode != 408 && response.StatusCode != 429 {
				return fmt.Errorf("configuration refused: %d %s", response.StatusCode, text)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged in time")
}

// awaitReady waits until all sidecars are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		all := true
		for _, sidecar := range f.sidecars {
			all = all && f.ready(sidecar)
		}
		if all {
			f.record.line("all sidecars are ready")
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the sidecars are not ready in time")
}

// platformStandIn accepts usage reports.
type platformStandIn struct {
	address string
	record  *record
	lock    sync.Mutex
	calls   []platformCall
}

// platformCall is a usage report as the platform saw it.
type platformCall struct {
	at            time.Time
	holder, fence string
	body          string
}

func newPlatform(r *record, address string) (*platformStandIn, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platformStandIn{address: address, record: r}
	go http.Serve(listener, http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		body, _ := io.ReadAll(in.Body)
		call := platformCall{time.Now(), in.Header.Get("X-Beaconvane-Duty-Holder"), in.Header.Get("X-Beaconvane-Fence-Token"), string(body)}
		p.lock.Lock()
		p.calls = append(p.calls, call)
		p.lock.Unlock()
		r.line("platform: report of %s, fence %s: %s", call.holder, call.fence, call.body)
		out.WriteHeader(http.StatusOK)
	}))
	return p, nil
}
