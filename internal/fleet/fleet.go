// Package fleet runs a whole fleet on one machine for proof: the three programs
// as real processes on loopback addresses of their own, stand-in upstreams, a stand-in
// collector, the load generator, and faults by signal. It ends only what it started.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/loadgen"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/stubserver"
	"beaconvane/internal/workload"
)

// Process is one product process of the fleet.
type Process struct {
	Role     string
	Node     string
	Outside  string
	settings string
	log      string
	command  *exec.Cmd
	ended    chan struct{}

	frozenAt time.Duration
}

// Settings is the path of its settings.
func (p *Process) Settings() string { return p.settings }

// Fleet is a running deployment.
type Fleet struct {
	Deployment workload.Deployment
	Bin        string
	Folder     string
	Base       time.Time
	Group      *goroutine.Group

	Processes   []*Process
	Understudys []*stubserver.StubServer

	lock      sync.Mutex
	reported  []checker.Reported
	writes    []checker.Write
	leaving   []checker.Leaving
	collector net.Listener
	seeds     []string
	watched   map[string]time.Duration
	spans     []checker.Span
	answers   map[string]int
	held      []checker.Span
	hurt      []checker.Span
	uploads   []checker.Asked // asked besides the load
}

// freePorts finds ports for a loopback address by binding and letting go.
func freePort(host string) (int, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// New lays a fleet out: folders, settings, addresses.
func New(deployment workload.Deployment, bin, folder string) (*Fleet, error) {
	f := &Fleet{Deployment: deployment, Bin: bin, Folder: folder, Base: time.Now(), Group: goroutine.New(), watched: map[string]time.Duration{}, answers: map[string]int{}}
	type place struct{ role, node, voter, zone, host string }
	places := []place{}
	for index, voter := range workload.Voters {
		zone := deployment.Zones[index%len(deployment.Zones)]
		places = append(places, place{message.RoleRegistry, voter, voter, zone, fmt.Sprintf("127.77.1.%d", index+1)},
			place{message.RoleConfigStore, voter, voter, zone, fmt.Sprintf("127.77.1.%d", index+1)})
	}
	for number := range deployment.Proxies {
		places = append(places, place{message.RoleProxy, fmt.Sprintf("edge-%d", number+1), "", deployment.Zones[number%len(deployment.Zones)], fmt.Sprintf("127.77.2.%d", number+1)})
	}
	collector, err := net.Listen("tcp", "127.77.3.1:0")
	if err != nil {
		return nil, errcode.Wrap("fleet.collector", errcode.ConnectionLost, err)
	}
	f.collector = collector
	addresses := map[string]string{}
	for _, at := range places {
		port, err := freePort(at.host)
		if err != nil {
			return nil, errcode.Wrap("fleet.port", errcode.ConnectionLost, err)
		}
		addresses[at.role+at.node] = fmt.Sprintf("%s:%d", at.host, port)
		if at.role == message.RoleRegistry {
			f.seeds = append(f.seeds, addresses[at.role+at.node])
		}
	}
	for _, at := range places {
		outside := ""
		if at.role != message.RoleConfigStore {
			port, err := freePort(at.host)
			if err != nil {
				return nil, errcode.Wrap("fleet.port", errcode.ConnectionLost, err)
			}
			outside = fmt.Sprintf("%s:%d", at.host, port)
		}
		data := filepath.Join(folder, at.role+"-"+at.node)
		cfg := deployment.Settings(at.role, at.node, at.voter, at.zone, addresses[at.role+at.node], outside, f.seeds, data)
		if at.role == message.RoleRegistry {
			cfg.Collector = "http://" + collector.Addr().String() + "/usage"
		}
		body, _ := json.MarshalIndent(cfg, "", "  ")
		path := filepath.Join(folder, at.role+"-"+at.node+".json")
		if err := os.WriteFile(path, body, 0o600); err != nil {
			return nil, errcode.Wrap("fleet.settings", errcode.DiskFault, err)
		}
		f.Processes = append(f.Processes, &Process{Role: at.role, Node: at.node, Outside: outside, settings: path, log: filepath.Join(folder, at.role+"-"+at.node+".log")})
	}
	server := &http.Server{Handler: http.HandlerFunc(f.collect)}
	f.Group.Go("fleet.collector", func(context.Context) { server.Serve(collector) })
	return f, nil
}

func (f *Fleet) since() time.Duration { return time.Since(f.Base) }

func (f *Fleet) collect(out http.ResponseWriter, in *http.Request) {
	report := struct {
		Window int64            `json:"window"`
		Counts map[string]int64 `json:"counts"`
		From   string           `json:"from"`
	}{}
	if err := json.NewDecoder(in.Body).Decode(&report); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	length := time.Duration(settings.Default().Bounds.UsageWindow) * time.Millisecond
	end := time.Duration(report.Window+1)*length - time.Duration(f.Base.UnixNano())
	f.lock.Lock()
	defer f.lock.Unlock()
	f.reported = append(f.reported, checker.Reported{Window: report.Window, From: report.From, Counts: report.Counts, At: f.since(), End: end})
}

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
		command.Wait()
		log.Close()
		close(ended)
	})
	return nil
}

// Watch begins to hold the proxies that run to the bounds for connected nodes.
func (f *Fleet) Watch() {
	for _, process := range f.Of(message.RoleProxy) {
		f.watched[process.Node] = f.since()
	}
}

// unwatch ends that for a process that is about to be disturbed; it is not resumed.
func (f *Fleet) unwatch(process *Process) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if from, watched := f.watched[process.Node]; watched && process.Role == message.RoleProxy {
		delete(f.watched, process.Node)
		f.spans = append(f.spans, checker.Span{Name: process.Node, From: from, To: f.since()})
	}
}

// Signal sends a signal to a process this fleet started.
func (f *Fleet) Signal(process *Process, signal syscall.Signal) {
	f.unwatch(process)
	f.lock.Lock()
	switch signal {
	case syscall.SIGKILL:
		f.hurt = append(f.hurt, checker.Span{Name: process.Outside, From: f.since(), To: f.since()})
	case syscall.SIGSTOP:
		process.frozenAt = f.since()
	case syscall.SIGCONT:
		if process.frozenAt > 0 {
			f.held = append(f.held, checker.Span{Name: process.Outside, From: process.frozenAt, To: f.since()})
		}
		process.frozenAt = 0
	}
	f.lock.Unlock()
	select {
	case <-process.ended:
	default:
		process.command.Process.Signal(signal)
	}
}

// Kill ends a process hard and waits for it.
func (f *Fleet) Kill(process *Process) {
	f.Signal(process, syscall.SIGKILL)
	<-process.ended
}

// StartAll starts every process and the upstreams.
func (f *Fleet) StartAll() error {
	for _, process := range f.Processes {
		if err := f.Start(process); err != nil {
			return err
		}
	}
	proxies := f.Of(message.RoleProxy)
	keys := []string{}
	for _, tenant := range f.Deployment.Tenants() {
		keys = append(keys, tenant.Key)
	}
	number := 0
	for _, service := range f.Deployment.Services {
		for index := range service.Count {
			servingProxy := proxies[number%len(proxies)]
			next := proxies[(number+len(f.Deployment.Zones))%len(proxies)]
			response := backend.Announcement{Service: service.Name, Instance: fmt.Sprintf("%s-%d", service.Name, index+1), Incarnation: time.Now().UnixNano(),
				Address: fmt.Sprintf("127.77.4.%d:0", number+1), Zone: f.Deployment.Zones[number%len(proxies)%len(f.Deployment.Zones)], Slots: service.Slots}
			if service.Load {
				response.Load = 0.1
			}
			stand := &stubserver.StubServer{Response: response, Proxies: []string{servingProxy.Outside, next.Outside}, Work: service.Work, Keys: keys, Base: f.Base, Calls: map[string]stubserver.Call{}, Share: workload.CallShare}
			for _, kind := range f.Deployment.Kinds {
				if called, calls := f.Deployment.Kind(kind.Calls); calls && kind.Service == service.Name {
					stand.Calls[kind.Path] = stubserver.Call{Route: called.Route, Service: called.Service, Method: called.Method, Path: called.Path, Once: called.Once}
				}
			}
			if err := stand.Start(f.Group); err != nil {
				return err
			}
			f.Understudys = append(f.Understudys, stand)
			number++
		}
	}
	return nil
}

// Of lists the processes of a role.
func (f *Fleet) Of(role string) []*Process {
	list := []*Process{}
	for _, process := range f.Processes {
		if process.Role == role {
			list = append(list, process)
		}
	}
	return list
}

// Until waits for a condition, asked again in a steady rhythm.
func (f *Fleet) Until(limit time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if condition() {
			return true
		}
		<-ticker.C
	}
	return false
}

var httpClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 4}}

// fetch reads the very bytes of an answer; status 0: none came whole.
func fetch(url string) ([]byte, int) {
	response, err := httpClient.Get(url)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0
	}
	return body, response.StatusCode
}

// Get reads JSON from a process.
func Get(url string, target any) int {
	body, status := fetch(url)
	if status == 0 || target != nil && json.Unmarshal(body, target) != nil {
		return 0
	}
	return status
}

// Ready says that every proxy is ready.
func (f *Fleet) Ready() bool {
	for _, process := range f.Of(message.RoleProxy) {
		if Get("http://"+process.Outside+"/beacon/ready", nil) != http.StatusOK {
			return false
		}
	}
	return true
}

// Put puts a configuration at some registry and remembers the acknowledgement.
func (f *Fleet) Write(version int64, tenants []loadgen.Tenant, more int) (int, error) {
	configName := f.Deployment.ConfigName(tenants, more)
	for _, process := range f.Of(message.RoleRegistry) {
		request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/configurations/main/%d", process.Outside, version), bytes.NewReader(configName))
		if err != nil {
			return 0, errcode.Wrap("fleet.put", errcode.Internal, err)
		}
		response, err := httpClient.Do(request)
		if err != nil {
			continue
		}
		answer, _ := io.ReadAll(io.LimitReader(response.Body, 300))
		response.Body.Close()
		f.lock.Lock()
		f.answers[fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get(frontend.CodeHeader))]++
		f.lock.Unlock()
		if response.StatusCode != http.StatusOK {
			return response.StatusCode, errcode.Wrap("fleet.put", errcode.ConfigurationBad, fmt.Errorf("%s", answer))
		}
		write := checker.Write{ConfigName: "main", Version: version, At: f.since(), Services: map[string]string{}, Keys: map[string]string{}, Digest: checker.Digest(configName)}
		for _, kind := range f.Deployment.Kinds {
			write.Services[kind.Route] = kind.Service
		}
		for _, tenant := range tenants {
			write.Keys[tenant.Key] = tenant.Name
		}
		f.lock.Lock()
		f.writes = append(f.writes, write)
		f.lock.Unlock()
		return response.StatusCode, nil
	}
	return 0, errcode.Wrap("fleet.put", errcode.ConnectionLost, fmt.Errorf("no registry answers"))
}

// Load runs the load generator over all proxies.
func (f *Fleet) Load(rate float64, length time.Duration, seed uint64) []checker.Asked {
	proxies := []string{}
	for _, process := range f.Of(message.RoleProxy) {
		proxies = append(proxies, process.Outside)
	}
	return loadgen.Run(f.Group.Context, f.Group, loadgen.Plan{Proxies: proxies, Kinds: f.Deployment.Kinds, Tenants: f.Deployment.Tenants(),
		Rate: rate, Length: length, Limit: 8 * time.Second, Seed: seed, Base: f.Base})
}

// Leave makes a stand-in say that it leaves, and remembers when.
func (f *Fleet) Leave(stand *stubserver.StubServer) {
	stand.Change(func(response *backend.Announcement) { response.Leaving = true })
	f.lock.Lock()
	defer f.lock.Unlock()
	f.leaving = append(f.leaving, checker.Leaving{Service: stand.Response.Service, Instance: stand.Response.Instance, Life: stand.Response.Incarnation, At: f.since()})
}

// End ends a stand-in hard, and remembers when.
func (f *Fleet) End(stand *stubserver.StubServer) {
	f.lock.Lock()
	f.hurt = append(f.hurt, checker.Span{Name: stand.Response.Instance, From: f.since(), To: f.since()})
	f.lock.Unlock()
	stand.Kill()
}

// readBack asks each registry for every version kept and every window reported.
func (f *Fleet) readBack(record *checker.Record) {
	record.KeptMost = int(settings.Default().Limits.KeptConfigurations)
	for _, process := range f.Of(message.RoleRegistry) {
		listed := struct {
			Versions []int64 `json:"versions"`
		}{}
		Get("http://"+process.Outside+"/v1/configurations/main/versions", &listed)
		for _, version := range listed.Versions {
			body, status := fetch(fmt.Sprintf("http://%s/v1/configurations/main/%d", process.Outside, version))
			if status == http.StatusOK {
				record.Kept = append(record.Kept, checker.Kept{Voter: process.Node, ConfigName: "main", Version: version, Digest: checker.Digest(body)})
			}
		}
		for _, report := range record.Reported {
			reread := struct {
				Counts map[string]int64 `json:"counts"`
			}{}
			if Get(fmt.Sprintf("http://%s/v1/usage/%d", process.Outside, report.Window), &reread) == http.StatusOK {
				record.Reread = append(record.Reread, checker.Reported{Window: report.Window, From: process.Node, Counts: reread.Counts})
			}
		}
	}
}

// Holder finds the process that holds a tag, by asking the registries.
func (f *Fleet) Holder(tag string) *Process {
	for _, process := range f.Of(message.RoleRegistry) {
		status := struct {
			Leases map[string]struct {
				Here bool `json:"here"`
			} `json:"leases"`
		}{}
		if Get("http://"+process.Outside+"/v1/status", &status) == http.StatusOK && status.Leases[tag].Here {
			return process
		}
	}
	return nil
}

// Record gathers what the run left, with the journals of the processes still there.
func (f *Fleet) Record(asked []checker.Asked) checker.Record {
	record := checker.Record{Asked: asked, Bounds: checker.BriefBounds(f.Deployment.Withdrawal)}
	for _, stand := range f.Understudys {
		record.Ran = append(record.Ran, stand.Runs()...)
		record.Asked = append(record.Asked, stand.Asked()...)
		record.Peaks = append(record.Peaks, checker.Peak{Instance: stand.Response.Instance, Most: stand.Most(), Slots: int(stand.Response.Slots)})
	}
	for _, process := range f.Processes {
		f.unwatch(process)
	}
	f.lock.Lock()
	record.Up, record.Held, record.Hurt = f.spans, f.held, f.hurt
	record.Writes, record.Reported, record.Leaving = f.writes, f.reported, f.leaving
	f.lock.Unlock()
	for _, process := range f.Processes {
		record.Keeping = append(record.Keeping, f.keepings(process)...)
		if process.Role == message.RoleProxy {
			record.Forced = append(record.Forced, f.forces(process)...)
		}
	}
	f.readBack(&record)
	record.End = f.since()
	record.Window, record.Epoch = time.Duration(settings.Default().Bounds.UsageWindow)*time.Millisecond, time.Duration(f.Base.UnixNano())
	return record
}

type logLine struct {
	EventName string `json:"msg"`
	At        string `json:"ts"`
	Epoch     int64  `json:"epoch"`
	Cause     string `json:"cause"`
}

// deeds reads a process's log: JSON lines that outlive the process.
func (f *Fleet) deeds(process *Process, wanted string) []logLine {
	body, err := os.ReadFile(process.log)
	if err != nil {
		return nil
	}
	list := []logLine{}
	for _, line := range bytes.Split(body, []byte("\n")) {
		response := logLine{}
		if json.Unmarshal(line, &response) == nil && response.EventName == wanted {
			list = append(list, response)
		}
	}
	return list
}

func (f *Fleet) at(line logLine) time.Duration {
	at, err := time.Parse(time.RFC3339Nano, line.At)
	if err != nil {
		return 0
	}
	return at.Sub(f.Base)
}

func (f *Fleet) forces(process *Process) []checker.Force {
	list := []checker.Force{}
	for _, line := range f.deeds(process, "configuration-in-force") {
		list = append(list, checker.Force{Node: process.Node, ConfigName: line.Cause, Version: line.Epoch, At: f.at(line)})
	}
	return list
}

func (f *Fleet) keepings(process *Process) []checker.Keeping {
	list := []checker.Keeping{}
	for _, line := range f.deeds(process, "lease-taken") {
		tag := line.Cause
		for index := range tag {
			if tag[index] == ' ' {
				tag = tag[:index]
				break
			}
		}
		list = append(list, checker.Keeping{Tag: tag, Voter: process.Node, Epoch: line.Epoch, At: f.at(line)})
	}
	return list
}

// Use is what a process has taken of the machine.
type Use struct {
	Role   string  `json:"role"`
	Node   string  `json:"node"`
	CPU    float64 `json:"cpu_seconds"`
	Memory int64   `json:"memory_kib"`
}

// Uses reads CPU and memory of the processes that run.
func (f *Fleet) Uses() []Use {
	list := []Use{}
	for _, process := range f.Processes {
		body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.command.Process.Pid))
		if err != nil {
			continue
		}
		fields := bytes.Fields(body[bytes.LastIndexByte(body, ')')+2:])
		var user, system, pages int64
		fmt.Sscan(string(fields[11]), &user)
		fmt.Sscan(string(fields[12]), &system)
		fmt.Sscan(string(fields[21]), &pages)
		list = append(list, Use{process.Role, process.Node, float64(user+system) / 100, pages * 4})
	}
	return list
}

// StopAll asks politely and then ends what is left.
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
		timer := time.NewTimer(5 * time.Second)
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
