package scaletest

import (
	"fmt"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// Row is one measure at one size, a value for each window. Rates are differences of counters over a
// window; a proxy's figure is the mean over the fleet, a core role's that of its busiest voter.
type Row struct {
	Phase  string    `json:"phase"`
	Role   string    `json:"role"`
	Metric string    `json:"metric"`
	Size   int       `json:"size"`
	Values []float64 `json:"values"`
}

// Course says how each size is measured.
type Course struct {
	Sizes      []int             `json:"sizes"`
	Repeats    int               `json:"repeats"`
	Window     time.Duration     `json:"window"`
	Every      time.Duration     `json:"every"`  // between two configuration changes, or two restarts
	SettleTime time.Duration     `json:"settle"` // pause before the first window
	Limit      time.Duration     `json:"limit"`  // of any wait
	Phases     []string          `json:"phases"`
	Progress   func(text string) `json:"-"`
}

// Phases of a course: a steady one, one with configuration changes, one with restarts of proxies.
const (
	Steady         = "steady"
	Configurations = "configurations"
	Restarts       = "restarts"
)

// partOf gives the part of the control traffic that each type of message belongs to, by the type's name;
// all others are the voters'.
var partOf = map[string]string{
	"Ping": "membership", "Ack": "membership", "IndirectPing": "membership", "JoinRequest": "membership", "JoinResponse": "membership",
	"UpdatesRequest": "updates", "UpdatesResponse": "updates", "ConfigurationCommitted": "updates",
	"HeartbeatBatch": "heartbeats", "HeartbeatResponse": "heartbeats", "ProbeRequest": "heartbeats",
	"UsageUpdate": "usage", "UsageRead": "usage", "UsageReadResponse": "usage", "UsageSeal": "usage", "UsageSealResponse": "usage",
	"WriteRequest": "config_log", "ReadRequest": "config_log", "StoreResponse": "config_log",
	"LogPositionRequest": "config_log", "LogPositionResponse": "config_log",
	"LogSnapshotRequest": "config_log", "LogSnapshot": "config_log",
	"LogRecommit": "config_log", "LogAppend": "config_log", "LogAppended": "config_log",
	"RosterChange": "roster", "RosterCheck": "roster", "RosterDigest": "roster", "RosterPull": "roster", "RosterSnapshot": "roster",
}

// partName returns the part that a type of message belongs to.
func partName(kind string) string {
	if part, known := partOf[kind]; known {
		return part
	}
	return "voters"
}

// rows collects the rows of one size, a value for each window.
type rows struct {
	size int
	list []Row
	at   map[string]int
}

func (r *rows) add(phase, role, metric string, value float64) {
	key := phase + "/" + role + "/" + metric
	index, known := r.at[key]
	if !known {
		index = len(r.list)
		r.at[key] = index
		r.list = append(r.list, Row{Phase: phase, Role: role, Metric: metric, Size: r.size})
	}
	r.list[index].Values = append(r.list[index].Values, value)
}

// roles are the programs, in the order of the table.
var roles = []string{message.RoleProxy, message.RoleRegistry, message.RoleConfigStore}

// read asks all processes for a reading, by role.
func (f *Fleet) read(command Command) map[string][]Reading {
	readings := map[string][]Reading{}
	for _, role := range roles {
		for _, held := range f.processes[role] {
			answer := held.do(Request{Command: command})
			if answer.Reading == nil {
				answer.Reading = &Reading{}
			}
			readings[role] = append(readings[role], *answer.Reading)
		}
	}
	return readings
}

// rates returns the differences of two readings of one process, for each second.
func rates(before, after Reading) map[string]float64 {
	seconds := (after.At - before.At).Seconds()
	sums := map[string]float64{}
	for _, metric := range metrics {
		sums[metric] = 0
	}
	take := func(reading Reading, sign float64) {
		for _, passed := range reading.Counts {
			direction := "in"
			if passed.Outbound {
				direction = "out"
			}
			sums[passed.Protocol+"_"+direction+"_messages"] += sign * float64(passed.Messages)
			sums[passed.Protocol+"_"+direction+"_bytes"] += sign * float64(passed.Bytes)
			sums["bytes_"+partName(passed.Kind)] += sign * float64(passed.Bytes)
			sums["messages"] += sign * float64(passed.Messages)
			sums["bytes"] += sign * float64(passed.Bytes)
		}
		sums["processor"] += sign * reading.Processor.Seconds() * 100
		sums["disk_syncs"] += sign * float64(reading.Node["disk_syncs"])
		sums["disk_bytes"] += sign * float64(reading.Node["disk_bytes"])
		dropped := reading.Node["sends_dropped"] + reading.Node["datagrams_dropped"] + reading.Node["control_queue_full"]
		sums["dropped"] += sign * float64(dropped)
	}
	take(after, 1)
	take(before, -1)
	for metric := range sums {
		sums[metric] /= seconds
	}
	return sums
}

// metrics are the rates that each window has, in the order of the table.
var metrics = []string{
	"messages", "bytes",
	"tcp_in_messages", "tcp_in_bytes", "tcp_out_messages", "tcp_out_bytes",
	"udp_in_messages", "udp_in_bytes", "udp_out_messages", "udp_out_bytes",
	"bytes_membership", "bytes_updates", "bytes_heartbeats", "bytes_usage", "bytes_roster", "bytes_voters", "bytes_config_log",
	"processor", "disk_syncs", "disk_bytes", "dropped",
}

// addRates adds the rates of one window: the mean of the proxies, the busiest voter of a core role.
func (f *Fleet) addRates(sum *rows, phase string, before, after map[string][]Reading) {
	for _, role := range roles {
		sums, busiest := map[string]float64{}, map[string]float64{}
		for index := range after[role] {
			for metric, rate := range rates(before[role][index], after[role][index]) {
				sums[metric] += rate
				busiest[metric] = max(busiest[metric], rate)
			}
		}
		for _, metric := range metrics {
			if role == message.RoleProxy {
				sum.add(phase, role, metric, sums[metric]/float64(f.plan.Proxies))
			} else {
				sum.add(phase, role, metric, busiest[metric])
			}
		}
	}
}

// pause waits; it returns at once for a length that is not positive.
func pause(length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	<-timer.C
}

const (
	completeInterval = 100 * time.Millisecond // between two checks of a starting fleet
	reachedInterval  = 20 * time.Millisecond  // between two checks of a configuration
	restoreInterval  = 50 * time.Millisecond  // between two checks after a restart
)

// Measure runs a fleet of one size through the phases of a course and returns its rows.
func Measure(plan Plan, course Course) ([]Row, error) {
	sum := &rows{size: plan.Proxies, at: map[string]int{}}
	began := time.Now()
	f, err := Start(plan)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	if err := f.awaitComplete(course.Limit); err != nil {
		return nil, err
	}
	sum.add(Steady, "fleet", "whole_ms", float64(time.Since(began).Milliseconds()))
	pause(course.SettleTime)
	for _, phase := range course.Phases {
		for range course.Repeats {
			if err := f.measurePhase(sum, course, phase); err != nil {
				return nil, err
			}
		}
		if phase == Steady {
			f.measureMemory(sum, phase)
		}
	}
	return sum.list, nil
}

// awaitComplete writes the first configuration and waits until every proxy knows all.
func (f *Fleet) awaitComplete(limit time.Duration) error {
	var failure error
	written := until(limit, completeInterval, func() bool {
		_, failure = f.write()
		return failure == nil
	})
	if !written {
		return failure
	}
	if !until(limit, completeInterval, f.complete) {
		return errcode.Wrap("scaletest.measure", errcode.BusyNotReady, fmt.Errorf("the fleet did not become complete: %+v", f.state()))
	}
	return nil
}

// measurePhase measures one window of a phase.
func (f *Fleet) measurePhase(sum *rows, course Course, phase string) error {
	before := f.read(CommandRead)
	var err error
	switch phase {
	case Steady:
		pause(course.Window)
	case Configurations:
		err = f.changeConfigurations(sum, course)
	case Restarts:
		err = f.restartProxies(sum, course)
	}
	if err != nil {
		return err
	}
	f.addRates(sum, phase, before, f.read(CommandRead))
	state := f.state()
	sum.add(phase, "fleet", "depth", float64(state.Depth))
	sum.add(phase, "fleet", "mean_depth", state.MeanDepth)
	sum.add(phase, "fleet", "age_ms", float64(state.Age))
	sum.add(phase, "fleet", "moves", float64(state.Moves))
	sum.add(phase, "fleet", "ready", float64(state.Ready))
	return nil
}

// measureMemory measures memory: the mean of the proxies, the largest of a core role.
func (f *Fleet) measureMemory(sum *rows, phase string) {
	for role, readings := range f.read(CommandWeigh) {
		live, resident := 0.0, 0.0
		for _, reading := range readings {
			if role == message.RoleProxy {
				live += float64(reading.Live) / float64(f.plan.Proxies)
				resident += float64(reading.Resident) / float64(f.plan.Proxies)
			} else {
				live = max(live, float64(reading.Live))
				resident = max(resident, float64(reading.Resident))
			}
		}
		sum.add(phase, role, "live", live)
		sum.add(phase, role, "resident", resident)
	}
}

// changeConfigurations writes configurations at a steady interval and waits for each to be in force everywhere.
func (f *Fleet) changeConfigurations(sum *rows, course Course) error {
	for end := time.Now().Add(course.Window); time.Now().Before(end); {
		began, err := f.write()
		if err != nil {
			return err
		}
		sum.add(Configurations, "fleet", "settled_ms", float64(time.Since(began).Milliseconds()))
		var lastAt int64
		reached := until(course.Limit, reachedInterval, func() bool {
			number := 0
			for _, held := range f.processes[message.RoleProxy] {
				if answer := held.do(Request{Command: CommandReached}); answer.State != nil {
					number += answer.State.Reached[f.version]
					lastAt = max(lastAt, answer.State.LastAt[f.version])
				}
			}
			return number >= f.plan.Proxies
		})
		if !reached {
			return errcode.Wrap("scaletest.changes", errcode.ConfigurationLacking, fmt.Errorf("version %d", f.version))
		}
		sum.add(Configurations, "fleet", "in_force_ms", float64(lastAt-began.UnixNano())/1e6)
		pause(course.Every - time.Since(began))
	}
	return nil
}

// restartProxies kills one proxy after the other, starts each again at once, and waits until all are ready
// and know all.
func (f *Fleet) restartProxies(sum *rows, course Course) error {
	for end := time.Now().Add(course.Window); time.Now().Before(end); {
		began := time.Now()
		number := int(f.goroutines.Now()/time.Millisecond) % f.plan.Proxies
		chosen := f.processes[message.RoleProxy][number/f.plan.Share]
		for _, command := range []Command{CommandKill, CommandStart} {
			if answer := chosen.do(Request{Command: command, Index: number % f.plan.Share}); answer.Fault != "" {
				return errcode.Wrap("scaletest.restarts", errcode.Internal, fmt.Errorf("%s", answer.Fault))
			}
		}
		if !until(course.Limit, restoreInterval, f.complete) {
			return errcode.Wrap("scaletest.restarts", errcode.BusyNotReady, fmt.Errorf("not complete again: %+v", f.state()))
		}
		sum.add(Restarts, "fleet", "restored_ms", float64(time.Since(began).Milliseconds()))
		pause(course.Every - time.Since(began))
	}
	return nil
}
