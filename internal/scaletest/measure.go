package scaletest

import (
	"fmt"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// Row holds the values of one metric at one fleet size, one for each window or event. Rates are
// differences of counters over a window. The value for the proxies is their mean, the value for a core
// role is the maximum over its voters.
type Row struct {
	Phase  string    `json:"phase"`
	Role   string    `json:"role"`
	Metric string    `json:"metric"`
	Size   int       `json:"size"`
	Values []float64 `json:"values"`
}

// Course describes how each fleet size is measured.
type Course struct {
	Sizes      []int             `json:"sizes"`
	Repeats    int               `json:"repeats"`
	Window     time.Duration     `json:"window"`
	Every      time.Duration     `json:"every"`  // interval between two configuration changes, or two restarts
	SettleTime time.Duration     `json:"settle"` // pause before the first window
	Limit      time.Duration     `json:"limit"`  // maximum duration of each wait
	Phases     []string          `json:"phases"`
	Progress   func(text string) `json:"-"`
}

// Phases of a course: steady operation, configuration changes, and restarts of proxies.
const (
	Steady         = "steady"
	Configurations = "configurations"
	Restarts       = "restarts"
)

// trafficCategories maps the names of message types to categories of control traffic. All other types
// belong to the category "voters".
var trafficCategories = map[string]string{
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

// trafficCategory returns the category of control traffic of a type of message.
func trafficCategory(kind string) string {
	if category, known := trafficCategories[kind]; known {
		return category
	}
	return "voters"
}

// rows collects the rows of one fleet size.
type rows struct {
	size int
	list []Row
	at   map[string]int // index in list by phase, role and metric
}

// add appends a value to the row of a metric.
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

// roles are the roles of the processes, in the order of the table.
var roles = []string{message.RoleProxy, message.RoleRegistry, message.RoleConfigStore}

// read requests a reading from all processes and returns the readings by role. A process that returns
// none has an empty reading.
func (f *Fleet) read(command Command) map[string][]Reading {
	readings := map[string][]Reading{}
	for _, role := range roles {
		for _, process := range f.processes[role] {
			answer := process.do(Request{Command: command})
			if answer.Reading == nil {
				answer.Reading = &Reading{}
			}
			readings[role] = append(readings[role], *answer.Reading)
		}
	}
	return readings
}

// rates returns the metrics of one process between two readings, per second. The metric processor is in
// percent of a core.
func rates(before, after Reading) map[string]float64 {
	seconds := (after.At - before.At).Seconds()
	sums := map[string]float64{}
	for _, metric := range metrics {
		sums[metric] = 0
	}
	addReading := func(reading Reading, sign float64) {
		for _, count := range reading.Counts {
			direction := "in"
			if count.Outbound {
				direction = "out"
			}
			sums[count.Protocol+"_"+direction+"_messages"] += sign * float64(count.Messages)
			sums[count.Protocol+"_"+direction+"_bytes"] += sign * float64(count.Bytes)
			sums["bytes_"+trafficCategory(count.Kind)] += sign * float64(count.Bytes)
			sums["messages"] += sign * float64(count.Messages)
			sums["bytes"] += sign * float64(count.Bytes)
		}
		sums["processor"] += sign * reading.Processor.Seconds() * 100
		sums["disk_syncs"] += sign * float64(reading.Node["disk_syncs"])
		sums["disk_bytes"] += sign * float64(reading.Node["disk_bytes"])
		dropped := reading.Node["sends_dropped"] + reading.Node["datagrams_dropped"] + reading.Node["control_queue_full"]
		sums["dropped"] += sign * float64(dropped)
	}
	addReading(after, 1)
	addReading(before, -1)
	for metric := range sums {
		sums[metric] /= seconds
	}
	return sums
}

// metrics are the names of the rates of each window, in the order of the table.
var metrics = []string{
	"messages", "bytes",
	"tcp_in_messages", "tcp_in_bytes", "tcp_out_messages", "tcp_out_bytes",
	"udp_in_messages", "udp_in_bytes", "udp_out_messages", "udp_out_bytes",
	"bytes_membership", "bytes_updates", "bytes_heartbeats", "bytes_usage", "bytes_roster", "bytes_voters", "bytes_config_log",
	"processor", "disk_syncs", "disk_bytes", "dropped",
}

// addRates adds the rates of one window: the mean over the proxies, and the maximum over the voters of
// each core role.
func (f *Fleet) addRates(collected *rows, phase string, before, after map[string][]Reading) {
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
				collected.add(phase, role, metric, sums[metric]/float64(f.plan.Proxies))
			} else {
				collected.add(phase, role, metric, busiest[metric])
			}
		}
	}
}

// pause blocks for a duration. It returns immediately if the duration is not positive.
func pause(length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	<-timer.C
}

const (
	completeInterval   = 100 * time.Millisecond // interval of the checks whether a new fleet is complete
	activationInterval = 20 * time.Millisecond  // interval of the checks whether a configuration is in force everywhere
	restoreInterval    = 50 * time.Millisecond  // interval of the checks whether the fleet is complete after a restart
)

// Measure runs a fleet of one size through the phases of a course and returns its rows.
func Measure(plan Plan, course Course) ([]Row, error) {
	collected := &rows{size: plan.Proxies, at: map[string]int{}}
	startedAt := time.Now()
	f, err := Start(plan)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	if err := f.awaitComplete(course.Limit); err != nil {
		return nil, err
	}
	collected.add(Steady, "fleet", "whole_ms", float64(time.Since(startedAt).Milliseconds()))
	pause(course.SettleTime)
	for _, phase := range course.Phases {
		for range course.Repeats {
			if err := f.measurePhase(collected, course, phase); err != nil {
				return nil, err
			}
		}
		if phase == Steady {
			f.measureMemory(collected, phase)
		}
	}
	return collected.list, nil
}

// awaitComplete writes the first configuration and waits until the fleet is complete.
func (f *Fleet) awaitComplete(limit time.Duration) error {
	var writeErr error
	written := until(limit, completeInterval, func() bool {
		_, writeErr = f.write()
		return writeErr == nil
	})
	if !written {
		return writeErr
	}
	if !until(limit, completeInterval, f.complete) {
		return errcode.Wrap("scaletest.measure", errcode.BusyNotReady,
			fmt.Errorf("the fleet of %d proxies is not complete within %s: %+v", f.plan.Proxies, limit, f.state()))
	}
	return nil
}

// measurePhase runs one window of a phase and adds its rates and the state of the fleet at its end.
func (f *Fleet) measurePhase(collected *rows, course Course, phase string) error {
	before := f.read(CommandRead)
	var err error
	switch phase {
	case Steady:
		pause(course.Window)
	case Configurations:
		err = f.changeConfigurations(collected, course)
	case Restarts:
		err = f.restartProxies(collected, course)
	}
	if err != nil {
		return err
	}
	f.addRates(collected, phase, before, f.read(CommandRead))
	state := f.state()
	collected.add(phase, "fleet", "depth", float64(state.Depth))
	collected.add(phase, "fleet", "mean_depth", state.MeanDepth)
	collected.add(phase, "fleet", "age_ms", float64(state.MaxAgeMS))
	collected.add(phase, "fleet", "moves", float64(state.ParentChanges))
	collected.add(phase, "fleet", "ready", float64(state.Ready))
	return nil
}

// measureMemory adds the memory in use: the mean over the proxies, and the maximum over the voters of
// each core role.
func (f *Fleet) measureMemory(collected *rows, phase string) {
	for role, readings := range f.read(CommandMemory) {
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
		collected.add(phase, role, "live", live)
		collected.add(phase, role, "resident", resident)
	}
}

// changeConfigurations writes configurations at the interval Course.Every for one window, and waits for
// each to be in force on all proxies. It adds the time until the write was acknowledged (settled_ms)
// and the time until the configuration was in force on the last proxy (in_force_ms).
func (f *Fleet) changeConfigurations(collected *rows, course Course) error {
	for end := time.Now().Add(course.Window); time.Now().Before(end); {
		sentAt, err := f.write()
		if err != nil {
			return err
		}
		collected.add(Configurations, "fleet", "settled_ms", float64(time.Since(sentAt).Milliseconds()))
		var lastAt int64
		inForce := until(course.Limit, activationInterval, func() bool {
			number := 0
			for _, process := range f.processes[message.RoleProxy] {
				if answer := process.do(Request{Command: CommandArrivals}); answer.State != nil {
					number += answer.State.ProxyCounts[f.version]
					lastAt = max(lastAt, answer.State.LastArrivals[f.version])
				}
			}
			return number >= f.plan.Proxies
		})
		if !inForce {
			return errcode.Wrap("scaletest.changes", errcode.ConfigurationLacking,
				fmt.Errorf("version %d is not in force on all %d proxies within %s", f.version, f.plan.Proxies, course.Limit))
		}
		collected.add(Configurations, "fleet", "in_force_ms", float64(lastAt-sentAt.UnixNano())/1e6)
		pause(course.Every - time.Since(sentAt))
	}
	return nil
}

// restartProxies kills proxies one after the other for one window, restarts each immediately, and waits
// until the fleet is complete again.
func (f *Fleet) restartProxies(collected *rows, course Course) error {
	for end := time.Now().Add(course.Window); time.Now().Before(end); {
		startedAt := time.Now()
		number := int(f.goroutines.Now()/time.Millisecond) % f.plan.Proxies
		process := f.processes[message.RoleProxy][number/f.plan.Share]
		for _, command := range []Command{CommandKill, CommandStart} {
			if answer := process.do(Request{Command: command, Index: number % f.plan.Share}); answer.Fault != "" {
				return errcode.Wrap("scaletest.restarts", errcode.Internal, fmt.Errorf("%s", answer.Fault))
			}
		}
		if !until(course.Limit, restoreInterval, f.complete) {
			return errcode.Wrap("scaletest.restarts", errcode.BusyNotReady,
				fmt.Errorf("the fleet is not complete within %s of a restart: %+v", course.Limit, f.state()))
		}
		collected.add(Restarts, "fleet", "restored_ms", float64(time.Since(startedAt).Milliseconds()))
		pause(course.Every - time.Since(startedAt))
	}
	return nil
}
