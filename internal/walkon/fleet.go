// This file lays a hollow fleet out, starts its troupes, as processes or within this
// one, and asks them. Every wait is for a condition and has a limit.
package walkon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"beaconvane/internal/crew"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// Plan says what fleet to run.
type Plan struct {
	Ushers    int           `json:"ushers"`
	Districts int           `json:"districts"`
	Services  int           `json:"services"`
	Tenants   int           `json:"tenants"` // 0: no queries are counted
	Fanout    int64         `json:"fanout"`
	InForce   time.Duration `json:"in_force"` // the bound on layouts, to which most timers are ratios
	Share     int           `json:"share"`    // ushers in one process
	Folder    string        `json:"-"`
	Program   string        `json:"-"` // empty: all in this process
}

// hand is a troupe wherever it runs.
type hand interface {
	do(ask Ask) Answer
	close()
}

type near struct{ troupe *Troupe }

func (n near) do(ask Ask) Answer { return n.troupe.Do(ask) }
func (n near) close()            { n.troupe.Close() }

type far struct {
	command *exec.Cmd
	input   io.WriteCloser
	encoder *json.Encoder
	decoder *json.Decoder
	members *crew.Crew
}

func (f *far) do(ask Ask) Answer {
	answer := Answer{}
	if err := f.encoder.Encode(ask); err != nil {
		return Answer{Fault: err.Error()}
	}
	if err := f.decoder.Decode(&answer); err != nil {
		return Answer{Fault: err.Error()}
	}
	return answer
}

// close ends the input; a process that does not end by itself is ended.
func (f *far) close() {
	f.input.Close()
	done := make(chan struct{})
	f.members.Go("walkon.wait", func(context.Context) {
		f.command.Wait()
		close(done)
	})
	limit := time.NewTimer(20 * time.Second)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		f.command.Process.Kill()
		<-done
	}
}

// Fleet is a running hollow fleet.
type Fleet struct {
	plan    Plan
	crew    *crew.Crew
	hands   map[string][]hand // by role
	version int64
}

func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", notice.Wrap("walkon.address", notice.WireLost, err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Config is that of one house of the plan.
func (p Plan) Config(role, node, seat, district, address string, seeds []string) playbill.Config {
	config := playbill.Default()
	config.Node, config.Seat, config.District, config.Address, config.Seeds = node, seat, district, address, seeds
	config.Seats = seatNames
	config.Districts = nil
	config.Active = map[string]string{playbill.BookTag: seatNames[0], playbill.UsageTag: seatNames[2]}
	for number := range p.Districts {
		name := districtName(number)
		config.Districts = append(config.Districts, name)
		config.Active[name] = seatNames[number%len(seatNames)]
	}
	config.Limits.Fanout = p.Fanout
	if p.InForce > 0 {
		config.Bounds.LayoutInForce = p.InForce.Milliseconds()
	}
	if role != script.RolePromptbook {
		config.Outside = address // told to others, never bound here
	}
	if role != script.RoleUsher {
		config.Data = filepath.Join(p.Folder, role+"-"+node)
	}
	return config
}

var seatNames = []string{"core-1", "core-2", "core-3"}

func districtName(number int) string { return fmt.Sprintf("zone-%02d", number+1) }

// Start lays the fleet out and starts it, the core first.
func Start(plan Plan) (*Fleet, error) {
	f := &Fleet{plan: plan, crew: crew.New(), hands: map[string][]hand{}}
	addresses, seeds := map[string]string{}, []string{}
	for index, seat := range seatNames {
		for _, role := range []string{script.RoleCallboard, script.RolePromptbook} {
			address, err := freeAddress(fmt.Sprintf("127.88.1.%d", index+1))
			if err != nil {
				return nil, err
			}
			addresses[role+seat] = address
			if role == script.RoleCallboard {
				seeds = append(seeds, address)
			}
		}
	}
	for index, seat := range seatNames {
		for _, role := range []string{script.RolePromptbook, script.RoleCallboard} {
			config := plan.Config(role, seat, seat, districtName(index%plan.Districts), addresses[role+seat], seeds)
			if err := f.add(role, []Part{{Role: role, Config: config}}); err != nil {
				f.Stop()
				return nil, err
			}
		}
	}
	parts := []Part{}
	for number := range plan.Ushers {
		address, err := freeAddress(fmt.Sprintf("127.88.%d.%d", 2+number/250, 1+number%250))
		if err != nil {
			f.Stop()
			return nil, err
		}
		config := plan.Config(script.RoleUsher, fmt.Sprintf("edge-%05d", number+1), "", districtName(number%plan.Districts), address, seeds)
		parts = append(parts, Part{Role: script.RoleUsher, Config: config, Service: serviceName(number % plan.Services), Tenants: plan.Tenants})
		if len(parts) == plan.Share || number == plan.Ushers-1 {
			if err := f.add(script.RoleUsher, parts); err != nil {
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
		troupe, err := NewTroupe(parts)
		if err != nil {
			return err
		}
		f.hands[role] = append(f.hands[role], near{troupe})
		return nil
	}
	command := exec.Command(f.plan.Program, "troupe")
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return notice.Wrap("walkon.start", notice.Internal, err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return notice.Wrap("walkon.start", notice.Internal, err)
	}
	if err := command.Start(); err != nil {
		return notice.Wrap("walkon.start", notice.Internal, err)
	}
	started := &far{command, input, json.NewEncoder(input), json.NewDecoder(output), f.crew}
	f.hands[role] = append(f.hands[role], started)
	if err := started.encoder.Encode(parts); err != nil {
		return notice.Wrap("walkon.start", notice.Internal, err)
	}
	answer := Answer{}
	if err := started.decoder.Decode(&answer); err != nil {
		return notice.Wrap("walkon.start", notice.Internal, err)
	}
	if answer.Fault != "" {
		return notice.Wrap("walkon.start", notice.Internal, fmt.Errorf("%s", answer.Fault))
	}
	return nil
}

// Stop ends what was started.
func (f *Fleet) Stop() {
	for _, role := range []string{script.RoleUsher, script.RoleCallboard, script.RolePromptbook} {
		for _, held := range f.hands[role] {
			held.close()
		}
	}
	f.crew.Stop(time.Second)
}

// until asks in a steady rhythm whether a condition holds.
func until(limit, rhythm time.Duration, condition func() bool) bool {
	ticker, end := time.NewTicker(rhythm), time.NewTimer(limit)
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

// state sums what the ushers know.
func (f *Fleet) state() State {
	sum := State{Reached: map[int64]int{}, LastAt: map[int64]int64{}}
	for index, held := range f.hands[script.RoleUsher] {
		answer := held.do(Ask{Deed: "state"})
		if answer.State == nil {
			return State{}
		}
		state := answer.State
		sum.Ready += state.Ready
		if index == 0 || state.Upstreams < sum.Upstreams {
			sum.Upstreams = state.Upstreams
		}
		if index == 0 || state.Ushers < sum.Ushers {
			sum.Ushers = state.Ushers
		}
		sum.Depth, sum.Age, sum.Moves = max(sum.Depth, state.Depth), max(sum.Age, state.Age), sum.Moves+state.Moves
		sum.MeanDepth += state.MeanDepth * float64(f.size(index)) / float64(f.plan.Ushers)
		for version, number := range state.Reached {
			sum.Reached[version] += number
			sum.LastAt[version] = max(sum.LastAt[version], state.LastAt[version])
		}
	}
	return sum
}

// size is how many ushers a troupe has.
func (f *Fleet) size(index int) int { return min(f.plan.Share, f.plan.Ushers-index*f.plan.Share) }

// whole says that every usher is ready and knows all others and all upstreams.
func (f *Fleet) whole() bool {
	state := f.state()
	return state.Ready == f.plan.Ushers && state.Upstreams >= f.plan.Ushers && state.Ushers >= f.plan.Ushers
}

// put sets the next version and gives when it was asked for; the sheet is as large as
// the plan's number of services makes it.
func (f *Fleet) put() (time.Time, error) {
	f.version++
	began := time.Now()
	answer := f.hands[script.RoleCallboard][0].do(Ask{Deed: "put", Version: f.version, Body: Sheet(f.plan.Services, f.plan.Tenants, f.version)})
	if answer.Fault != "" {
		return began, notice.Wrap("walkon.put", notice.LayoutUnsure, fmt.Errorf("%s", answer.Fault))
	}
	return began, nil
}

// Sheet writes a layout of one route a service.
func Sheet(services, tenants int, version int64) []byte {
	names, routes, listed := []string{}, []map[string]any{}, []map[string]any{}
	for number := range services {
		name := serviceName(number)
		names = append(names, name)
		routes = append(routes, map[string]any{"name": "route-" + name, "service": name, "path": "/" + name, "match": "prefix",
			"methods": []string{"GET", "POST"}, "callers": slices.Compact([]string{serviceName((number + 1) % services), serviceName((number + 7) % services)}), "timeout_ms": 3000})
	}
	for number := range max(tenants, 1) {
		listed = append(listed, map[string]any{"name": fmt.Sprintf("tenant-%d", number), "keys": []string{fmt.Sprintf("key-%d-secret", number)}})
	}
	body, err := json.Marshal(map[string]any{"services": names, "tenants": listed, "routes": routes, "note": fmt.Sprintf("version %d", version)})
	if err != nil {
		panic("walkon: " + err.Error())
	}
	return body
}
