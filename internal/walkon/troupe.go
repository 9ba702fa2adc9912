// Package walkon runs hollow fleets to learn what a fleet's size costs: the very
// control machines of ushers, callboards and promptbooks, with their wires, datagrams
// and disks, but no queries. Many ushers share a process, called a troupe; a core seat
// is a troupe of one, so that its processor time stands alone.
//
// This file is one troupe: it starts its houses, and answers by JSON lines what they
// have passed, written, spent and know. It ends when its input ends, so none outlives
// the one who asks.
package walkon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"beaconvane/internal/callboard"
	"beaconvane/internal/crew"
	"beaconvane/internal/cue"
	"beaconvane/internal/foyer"
	"beaconvane/internal/greenroom"
	"beaconvane/internal/house"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/promptbook"
	"beaconvane/internal/script"
	"beaconvane/internal/usher"
	"beaconvane/internal/wings"
)

// Part is one house of a troupe.
type Part struct {
	Role    string          `json:"role"`
	Config  playbill.Config `json:"config"`
	Service string          `json:"service"` // of the one upstream beside a usher
	Tenants int             `json:"tenants"` // whose answers a usher counts, each round
}

// Ask is one question to a troupe.
type Ask struct {
	Deed    string `json:"deed"` // read, weigh, state, reached, put, end, begin
	Index   int    `json:"index"`
	Version int64  `json:"version"`
	Body    []byte `json:"body"`
}

// Reading is what a troupe has spent and passed since it began; it only grows, but
// for the memory.
type Reading struct {
	At        time.Duration    `json:"at"`
	Processor time.Duration    `json:"processor"`
	Resident  int64            `json:"resident"`
	Live      int64            `json:"live"` // heap in use after a collection, and stacks
	Counts    []wings.Count    `json:"counts"`
	House     map[string]int64 `json:"house"`
}

// State is what the ushers of a troupe know, the least of each.
type State struct {
	Ready     int             `json:"ready"`
	Upstreams int             `json:"upstreams"`
	Ushers    int             `json:"ushers"`
	Depth     int             `json:"depth"` // of the longest way the news takes
	MeanDepth float64         `json:"mean_depth"`
	Age       int64           `json:"age_ms"` // of the stalest topic of any usher
	Moves     int64           `json:"moves"`  // changes of parent, all ushers
	Reached   map[int64]int   `json:"reached"`
	LastAt    map[int64]int64 `json:"last_at"` // unix nanoseconds
}

// Answer is what a troupe says; Fault is empty where all went well.
type Answer struct {
	Reading *Reading `json:"reading,omitempty"`
	State   *State   `json:"state,omitempty"`
	Fault   string   `json:"fault,omitempty"`
}

type player struct {
	part    Part
	crew    *crew.Crew
	tower   *house.House
	lock    sync.Mutex
	view    *usher.View
	version int64
	gone    map[string]wings.Count // of earlier lives
}

// Troupe is a process's share of a fleet.
type Troupe struct {
	players []*player
	startAt time.Time
	lock    sync.Mutex
	reached map[int64]int
	lastAt  map[int64]int64
}

// NewTroupe starts its parts.
func NewTroupe(parts []Part) (*Troupe, error) {
	t := &Troupe{startAt: time.Now(), reached: map[int64]int{}, lastAt: map[int64]int64{}}
	for _, part := range parts {
		held := &player{part: part, gone: map[string]wings.Count{}}
		t.players = append(t.players, held)
		if err := t.begin(held); err != nil {
			t.Close()
			return nil, err
		}
	}
	return t, nil
}

func (t *Troupe) begin(held *player) error {
	members := crew.New()
	tower := house.New(held.part.Config, held.part.Role, members)
	tower.Log = logr.Discard()
	held.crew, held.tower = members, tower
	self := house.Self(held.part.Config, held.part.Role)
	if held.part.Role == script.RoleUsher {
		desk := foyer.New(held.part.Config, func(string) (greenroom.Pass, bool) { return greenroom.Pass{}, false })
		tower.OnPublish(func(view any) {
			desk.Show(members.Now(), view.(*usher.View))
			t.shown(held, view.(*usher.View))
		})
		if err := tower.Run(usher.New(held.part.Config, self), nil); err != nil {
			return err
		}
		members.Go("walkon.upstream", func(ctx context.Context) { announce(ctx, held.part, tower) })
		if held.part.Tenants > 0 {
			members.Go("walkon.count", func(ctx context.Context) { count(ctx, held.part, tower) })
		}
		return nil
	}
	_, view, records, err := tower.OpenDisk()
	if err != nil {
		return err
	}
	var machine cue.Machine
	if held.part.Role == script.RoleCallboard {
		machine, err = callboard.New(held.part.Config, self, view, records)
	} else {
		machine, err = promptbook.New(held.part.Config, self, view, records)
	}
	if err != nil {
		return err
	}
	return tower.Run(machine, nil)
}

// announce stands for the one upstream beside a usher; a dial that proves it meets the
// usher's own address, so that each upstream has one of its own.
func announce(ctx context.Context, part Part, tower *house.House) {
	registration := script.Registration{Service: part.Service, Instance: part.Config.Node, Incarnation: time.Now().UnixNano(), Address: part.Config.Address,
		District: part.Config.District, Slots: 16, State: script.StateReady}
	ticker := time.NewTicker(part.Config.BeatEvery())
	defer ticker.Stop()
	for {
		tower.Tell(usher.Announced{Registration: registration})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// count tells counts as a usher under load does: some answered in each round.
func count(ctx context.Context, part Part, tower *house.House) {
	ticker := time.NewTicker(part.Config.CountEvery())
	defer ticker.Stop()
	counts := map[int64]map[string]int64{}
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		asked, cancel := context.WithTimeout(ctx, part.Config.BeatEvery())
		answer, err := tower.Ask(asked, usher.ReadSealed{})
		cancel()
		if err != nil {
			continue
		}
		current := time.Now().UnixNano() / int64(part.Config.UsageWindow())
		if counts[current] == nil {
			counts[current] = map[string]int64{}
		}
		counts[current][fmt.Sprintf("tenant-%d", round%part.Tenants)]++
		told := usher.Counted{Closed: current}
		for window := range counts {
			if window < answer.(int64) || window < current-4 {
				delete(counts, window)
			}
		}
		for window := current - 4; window <= current; window++ {
			if held, open := counts[window]; open {
				copied := map[string]int64{}
				for tenant, number := range held {
					copied[tenant] = number
				}
				told.Usage = append(told.Usage, script.UsageCount{Window: window, Counts: copied, Open: map[string]int64{"tenant-0": 1}})
			}
		}
		tower.Tell(told)
	}
}

// shown notes when each version came in force here for the first time.
func (t *Troupe) shown(held *player, view *usher.View) {
	held.lock.Lock()
	defer held.lock.Unlock()
	held.view = view
	for _, layout := range view.Layouts {
		t.lock.Lock()
		for ; held.version < layout.Version; held.version++ {
			t.reached[held.version+1]++
			t.lastAt[held.version+1] = time.Now().UnixNano()
		}
		t.lock.Unlock()
	}
}

// end stops a house as a killed process does: without a word.
func (t *Troupe) end(held *player) {
	if held.tower == nil || held.tower.Wings == nil {
		return
	}
	for _, passed := range held.tower.Wings.Counts() {
		merge(held.gone, passed)
	}
	held.tower.Wings.Close()
	held.crew.Stop(held.part.Config.KeeperRest())
	held.lock.Lock()
	held.view, held.tower = nil, nil
	held.lock.Unlock()
}

// Close ends all houses.
func (t *Troupe) Close() {
	for _, held := range t.players {
		t.end(held)
	}
}

func merge(sums map[string]wings.Count, passed wings.Count) {
	key := fmt.Sprintf("%s %t %s", passed.Way, passed.Out, passed.Kind)
	sum := sums[key]
	sums[key] = wings.Count{Way: passed.Way, Out: passed.Out, Kind: passed.Kind, Messages: sum.Messages + passed.Messages, Bytes: sum.Bytes + passed.Bytes}
}

// Do answers one question.
func (t *Troupe) Do(ask Ask) Answer {
	answer, err := t.do(ask)
	if err != nil {
		answer.Fault = err.Error()
	}
	return answer
}

func (t *Troupe) do(ask Ask) (Answer, error) {
	if ask.Index < 0 || ask.Index >= len(t.players) {
		return Answer{}, notice.Wrap("walkon.do", notice.ConfigBadValue, fmt.Errorf("no part %d", ask.Index))
	}
	held := t.players[ask.Index]
	switch ask.Deed {
	case "read":
		return Answer{Reading: t.read()}, nil
	case "weigh":
		return Answer{Reading: t.weigh()}, nil
	case "state":
		return Answer{State: t.state()}, nil
	case "reached":
		return Answer{State: t.reachedBy(&State{Reached: map[int64]int{}, LastAt: map[int64]int64{}})}, nil
	case "put":
		limited, cancel := context.WithTimeout(held.crew.Context, held.part.Config.PutLimit()*2)
		defer cancel()
		answered, err := held.tower.Ask(limited, callboard.PutLayout{Sheet: held.part.Config.Sheets[0], Version: ask.Version, Body: ask.Body})
		if err != nil {
			return Answer{}, err
		}
		if told := answered.(callboard.Answer); told.Code != notice.OK {
			return Answer{}, notice.Wrap("walkon.put", told.Code, fmt.Errorf("%s", told.Body))
		}
		return Answer{}, nil
	case "end":
		t.end(held)
		return Answer{}, nil
	case "begin":
		return Answer{}, t.begin(held)
	}
	return Answer{}, notice.Wrap("walkon.do", notice.ConfigBadValue, fmt.Errorf("no deed %q", ask.Deed))
}

func (t *Troupe) read() *Reading {
	usage := syscall.Rusage{}
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	reading := &Reading{At: time.Since(t.startAt), Processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), House: map[string]int64{}}
	sums := map[string]wings.Count{}
	for _, held := range t.players {
		for _, passed := range held.gone {
			merge(sums, passed)
		}
		if held.tower == nil {
			continue
		}
		for _, passed := range held.tower.Wings.Counts() {
			merge(sums, passed)
		}
		for name, number := range held.tower.Counters() {
			reading.House[name] += number
		}
	}
	for _, passed := range sums {
		reading.Counts = append(reading.Counts, passed)
	}
	return reading
}

// weigh collects first, so that what is left is in use.
func (t *Troupe) weigh() *Reading {
	debug.FreeOSMemory()
	memory := runtime.MemStats{}
	runtime.ReadMemStats(&memory)
	return &Reading{Resident: resident(), Live: int64(memory.HeapAlloc + memory.StackInuse)}
}

func resident() int64 {
	body, err := os.ReadFile(filepath.Join("/proc", "self", "statm"))
	if err != nil {
		return 0
	}
	size, pages := int64(0), int64(0)
	fmt.Sscan(strings.TrimSpace(string(body)), &size, &pages)
	return pages * int64(os.Getpagesize())
}

func (t *Troupe) state() *State {
	state := &State{Reached: map[int64]int{}, LastAt: map[int64]int64{}}
	ushers, depths := 0, 0
	for _, held := range t.players {
		if held.part.Role != script.RoleUsher {
			continue
		}
		ushers++
		held.lock.Lock()
		view := held.view
		held.lock.Unlock()
		upstreams, known := 0, 0
		if view != nil {
			for _, list := range view.Upstreams {
				upstreams += len(list)
			}
			known = view.Ushers
			if view.Ready(held.crew.Now(), held.part.Config.StaleReady()) {
				state.Ready++
			}
		}
		if ushers == 1 || upstreams < state.Upstreams {
			state.Upstreams = upstreams
		}
		if ushers == 1 || known < state.Ushers {
			state.Ushers = known
		}
		if held.tower == nil {
			continue
		}
		limited, cancel := context.WithTimeout(held.crew.Context, held.part.Config.KeeperRest())
		answered, err := held.tower.Ask(limited, usher.ReadStatus{})
		cancel()
		if status, isStatus := answered.(map[string]any); err == nil && isStatus {
			path, _ := status["path"].([]string)
			state.Depth, depths = max(state.Depth, len(path)), depths+len(path)
			moves, _ := status["moves"].(int64)
			state.Moves += moves
			ages, _ := status["ages_ms"].(map[string]int64)
			for _, age := range ages {
				state.Age = max(state.Age, age)
			}
		}
	}
	if ushers > 0 {
		state.MeanDepth = float64(depths) / float64(ushers)
	}
	return t.reachedBy(state)
}

func (t *Troupe) reachedBy(state *State) *State {
	t.lock.Lock()
	defer t.lock.Unlock()
	for version, number := range t.reached {
		state.Reached[version], state.LastAt[version] = number, t.lastAt[version]
	}
	return state
}

// Serve is the loop of a troupe's process: the first line has the parts, each further
// one a question.
func Serve(in io.Reader, out io.Writer) error {
	reader, encoder := bufio.NewReaderSize(in, 1<<20), json.NewEncoder(out)
	decoder := json.NewDecoder(reader)
	parts := []Part{}
	if err := decoder.Decode(&parts); err != nil {
		return notice.Wrap("walkon.serve", notice.ConfigUnreadable, err)
	}
	troupe, err := NewTroupe(parts)
	if err != nil {
		encoder.Encode(Answer{Fault: err.Error()})
		return err
	}
	defer troupe.Close()
	if err := encoder.Encode(Answer{}); err != nil {
		return notice.Wrap("walkon.serve", notice.WireLost, err)
	}
	for {
		ask := Ask{}
		if err := decoder.Decode(&ask); err != nil {
			return nil
		}
		if err := encoder.Encode(troupe.Do(ask)); err != nil {
			return nil
		}
	}
}
