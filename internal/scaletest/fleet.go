package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

// HollowFleetCommand is the subcommand by which a program that embeds this package runs Serve.
const HollowFleetCommand = "hollow-fleet"

// Plan says what fleet to run.
type Plan struct {
	Proxies  int           `json:"proxies"`
	Zones    int           `json:"zones"`
	Services int           `json:"services"`
	Tenants  int           `json:"tenants"` // 0: no requests are counted
	Fanout   int64         `json:"fanout"`
	InForce  time.Duration `json:"in_force"` // the bound on configurations, to which most timers are ratios
	Share    int           `json:"share"`    // proxies in one process
	Folder   string        `json:"-"`
	Program  string        `json:"-"` // empty: all in this process
}

// hollowFleet is one process's share of the fleet, in this process or another.
type hollowFleet interface {
	do(request Request) Answer
	close()
}

// localFleet runs in this process.
type localFleet struct{ fleet *HollowFleet }

func (l localFleet) do(request Request) Answer { return l.fleet.Do(request) }
func (l localFleet) close()                    { l.fleet.Close() }

// remoteFleet runs in a process of its own, which it asks by JSON over pipes.
type remoteFleet struct {
	command *exec.Cmd
	input   io.WriteCloser
	encoder *json.Encoder
	decoder *json.Decoder
	group   *goroutine.Group
}

func (f *remoteFleet) do(request Request) Answer {
	answer := Answer{}
	if err := f.encoder.Encode(request); err != nil {
		return Answer{Fault: err.Error()}
	}
	if err := f.decoder.Decode(&answer); err != nil {
		return Answer{Fault: err.Error()}
	}
	return answer
}

// close ends the input; a process that does not end by itself is ended.
func (f *remoteFleet) close() {
	f.input.Close()
	done := make(chan struct{})
	f.group.Go("scaletest.wait", func(context.Context) {
		_ = f.command.Wait() // how it ended is of no interest
		close(done)
	})
	limit := time.NewTimer(20 * time.Second)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		_ = f.command.Process.Kill() // it may have ended meanwhile
		<-done
	}
}

// Fleet is a running hollow fleet.
type Fleet struct {
	plan       Plan
	goroutines *goroutine.Group
	processes  map[string][]hollowFleet // by role
	version    int64
}

func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", errcode.Wrap("scaletest.address", errcode.ConnectionLost, err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Settings returns the settings of one node of the plan.
func (p Plan) Settings(role, nodeName, voter, zone, address string, seeds []string) settings.Settings {
	cfg := settings.Default()
	cfg.Node, cfg.Voter, cfg.Zone, cfg.Address, cfg.Seeds = nodeName, voter, zone, address, seeds
	cfg.Voters = voterNames
	cfg.Zones = nil
	cfg.Active = map[string]string{settings.ConfigLogTag: voterNames[0], settings.UsageTag: voterNames[2]}
	for number := range p.Zones {
		name := zoneName(number)
		cfg.Zones = append(cfg.Zones, name)
		cfg.Active[name] = voterNames[number%len(voterNames)]
	}
	cfg.Limits.Fanout = p.Fanout
	if p.InForce > 0 {
		cfg.Bounds.ConfigurationInForce = p.InForce.Milliseconds()
	}
	if role != message.RoleConfigStore {
		cfg.Outside = address // told to others, never bound here
	}
	if role != message.RoleProxy {
		cfg.Data = filepath.Join(p.Folder, role+"-"+nodeName)
	}
	return cfg
}

var voterNames = []string{"core-1", "core-2", "core-3"}

func zoneName(number int) string { return fmt.Sprintf("zone-%02d", number+1) }

// Start lays the fleet out and starts it, the core first.
func Start(plan Plan) (*Fleet, error) {
	f := &Fleet{plan: plan, goroutines: goroutine.New(), processes: map[string][]hollowFleet{}}
	addresses, seeds := map[string]string{}, []string{}
	for index, voter := range voterNames {
		for _, role := range []string{message.RoleRegistry, message.RoleConfigStore} {
			address, err := freeAddress(fmt.Sprintf("127.88.1.%d", index+1))
			if err != nil {
				return nil, err
			}
			addresses[role+voter] = address
			if role == message.RoleRegistry {
				seeds = append(seeds, address)
			}
		}
	}
	for index, voter := range voterNames {
		for _, role := range []string{message.RoleConfigStore, message.RoleRegistry} {
			cfg := plan.Settings(role, voter, voter, zoneName(index%plan.Zones), addresses[role+voter], seeds)
			if err := f.add(role, []Part{{Role: role, Settings: cfg}}); err != nil {
				f.Stop()
				return nil, err
			}
		}
	}
	parts := []Part{}
	for number := range plan.Proxies {
		address, err := freeAddress(fmt.Sprintf("127.88.%d.%d", 2+number/250, 1+number%250))
		if err != nil {
			f.Stop()
			return nil, err
		}
		cfg := plan.Settings(message.RoleProxy, fmt.Sprintf("edge-%05d", number+1), "", zoneName(number%plan.Zones), address, seeds)
		parts = append(parts, Part{
			Role:     message.RoleProxy,
			Settings: cfg,
			Service:  serviceName(number % plan.Services),
			Tenants:  plan.Tenants,
		})
		if len(parts) == plan.Share || number == plan.Proxies-1 {
			if err := f.add(message.RoleProxy, parts); err != nil {
				f.Stop()
				return nil, err
			}
			parts = nil
		}
	}
	return f, nil
}

func serviceName(number int) string { return fmt.Sprintf("service-%03d", number+1) }

func (f *Fleet) add(role string, parts []Part) error {
	if f.plan.Program == "" {
		hollow, err := NewHollowFleet(parts)
		if err != nil {
			return err
		}
		f.processes[role] = append(f.processes[role], localFleet{hollow})
		return nil
	}
	command := exec.Command(f.plan.Program, HollowFleetCommand)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return errcode.Wrap("scaletest.start", errcode.Internal, err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return errcode.Wrap("scaletest.start", errcode.Internal, err)
	}
	if err := command.Start(); err != nil {
		return errcode.Wrap("scaletest.start", errcode.Internal, err)
	}
	started := &remoteFleet{command, input, json.NewEncoder(input), json.NewDecoder(output), f.goroutines}
	f.processes[role] = append(f.processes[role], started)
	if err := started.encoder.Encode(parts); err != nil {
		return errcode.Wrap("scaletest.start", errcode.Internal, err)
	}
	answer := Answer{}
	if err := started.decoder.Decode(&answer); err != nil {
		return errcode.Wrap("scaletest.start", errcode.Internal, err)
	}
	if answer.Fault != "" {
		return errcode.Wrap("scaletest.start", errcode.Internal, fmt.Errorf("%s", answer.Fault))
	}
	return nil
}

// Stop ends all processes that were started.
func (f *Fleet) Stop() {
	for _, role := range []string{message.RoleProxy, message.RoleRegistry, message.RoleConfigStore} {
		for _, held := range f.processes[role] {
			held.close()
		}
	}
	f.goroutines.Stop(time.Second)
}

// until checks a condition at a steady interval and reports whether it held within the limit.
func until(limit, interval time.Duration, condition func() bool) bool {
	ticker, end := time.NewTicker(interval), time.NewTimer(limit)
	defer ticker.Stop()
	defer end.Stop()
	for {
		if condition() {
			return true
		}
		select {
		case <-end.C:
			return false
		case <-ticker.C:
		}
	}
}

// state sums what the proxies know over all processes.
func (f *Fleet) state() State {
	sum := State{Reached: map[int64]int{}, LastAt: map[int64]int64{}}
	for index, held := range f.processes[message.RoleProxy] {
		answer := held.do(Request{Command: CommandState})
		if answer.State == nil {
			return State{}
		}
		state := answer.State
		sum.Ready += state.Ready
		if index == 0 || state.Upstreams < sum.Upstreams {
			sum.Upstreams = state.Upstreams
		}
		if index == 0 || state.Proxies < sum.Proxies {
			sum.Proxies = state.Proxies
		}
		sum.Depth, sum.Age, sum.Moves = max(sum.Depth, state.Depth), max(sum.Age, state.Age), sum.Moves+state.Moves
		sum.MeanDepth += state.MeanDepth * float64(f.size(index)) / float64(f.plan.Proxies)
		for version, number := range state.Reached {
			sum.Reached[version] += number
			sum.LastAt[version] = max(sum.LastAt[version], state.LastAt[version])
		}
	}
	return sum
}

// size is how many proxies a hollow fleet has.
func (f *Fleet) size(index int) int { return min(f.plan.Share, f.plan.Proxies-index*f.plan.Share) }

// whole says that every proxy is ready and knows all others and all upstreams.
func (f *Fleet) whole() bool {
	state := f.state()
	return state.Ready == f.plan.Proxies && state.Upstreams >= f.plan.Proxies && state.Proxies >= f.plan.Proxies
}

// write writes the next version and returns when it was sent; the configuration is as large as the
// plan's number of services makes it.
func (f *Fleet) write() (time.Time, error) {
	f.version++
	began := time.Now()
	answer := f.processes[message.RoleRegistry][0].do(Request{
		Command: CommandWrite,
		Version: f.version,
		Body:    configurationBody(f.plan.Services, f.plan.Tenants, f.version),
	})
	if answer.Fault != "" {
		return began, errcode.Wrap("scaletest.write", errcode.ConfigurationUnsure, fmt.Errorf("%s", answer.Fault))
	}
	return began, nil
}

// configurationBody returns a configuration of one route for each service.
func configurationBody(services, tenants int, version int64) []byte {
	configuration := workload.Configuration{
		Note:     fmt.Sprintf("version %d", version),
		Routes:   []workload.Route{},
		Services: []string{},
		Tenants:  []workload.Tenant{},
	}
	for number := range services {
		name := serviceName(number)
		callers := []string{serviceName((number + 1) % services), serviceName((number + 7) % services)}
		configuration.Services = append(configuration.Services, name)
		configuration.Routes = append(configuration.Routes, workload.Route{
			Name:      "route-" + name,
			Service:   name,
			Path:      "/" + name,
			Match:     "prefix",
			Methods:   []string{http.MethodGet, http.MethodPost},
			Callers:   slices.Compact(callers),
			TimeoutMS: 3000,
		})
	}
	for number := range max(tenants, 1) {
		configuration.Tenants = append(configuration.Tenants, workload.Tenant{
			Name: fmt.Sprintf("tenant-%d", number),
			Keys: []string{fmt.Sprintf("key-%d-secret", number)},
		})
	}
	return configuration.JSON()
}
