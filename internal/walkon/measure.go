// This file measures one size after the other: a steady stretch, one with layout changes
// and one with restarts, each in several windows, for the spread. Rates are differences
// of counters over a window. A usher's figure is the mean over the fleet, a core role's
// that of its busiest seat.
package walkon

import (
	"fmt"
	"strings"
	"time"

	"beaconvane/internal/notice"
	"beaconvane/internal/script"
)

// Row is one measure at one size, a value for each window.
type Row struct {
	Phase  string    `json:"phase"`
	Role   string    `json:"role"`
	Metric string    `json:"metric"`
	Size   int       `json:"size"`
	Values []float64 `json:"values"`
}

// Course says how to measure.
type Course struct {
	Sizes    []int             `json:"sizes"`
	Repeats  int               `json:"repeats"`
	Window   time.Duration     `json:"window"`
	Every    time.Duration     `json:"every"` // between two layout changes, or two restarts
	Settle   time.Duration     `json:"settle"`
	Limit    time.Duration     `json:"limit"` // of any wait
	Phases   []string          `json:"phases"`
	Progress func(text string) `json:"-"`
}

// Phases that a course may have.
const (
	Steady   = "steady"
	Layouts  = "layouts"
	Restarts = "restarts"
)

// parts of the control work, by the messages that belong to them.
var partOf = map[string]string{
	"Ping": "membership", "Ack": "membership", "PingFor": "membership", "JoinAsk": "membership", "JoinTold": "membership",
	"NewsAsk": "news", "NewsTold": "news", "SheetSettled": "news",
	"BeatBatch": "beats", "BeatTold": "beats", "ProbeAsk": "beats",
	"UsageTold": "usage", "UsageRead": "usage", "UsageReadTold": "usage", "UsageSeal": "usage", "UsageSealTold": "usage",
	"RosterChange": "roster", "RosterCheck": "roster", "RosterDigest": "roster", "RosterPull": "roster", "RosterView": "roster",
}

func partName(kind string) string {
	if part, known := partOf[kind]; known {
		return part
	}
	if strings.HasPrefix(kind, "Book") {
		return "book"
	}
	return "seats"
}

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

var roles = []string{script.RoleUsher, script.RoleCallboard, script.RolePromptbook}

func (f *Fleet) read(deed string) map[string][]Reading {
	readings := map[string][]Reading{}
	for _, role := range roles {
		for _, held := range f.hands[role] {
			answer := held.do(Ask{Deed: deed})
			if answer.Reading == nil {
				answer.Reading = &Reading{}
			}
			readings[role] = append(readings[role], *answer.Reading)
		}
	}
	return readings
}

// rates are the differences of two readings of one troupe, a second.
func rates(before, after Reading) map[string]float64 {
	seconds := (after.At - before.At).Seconds()
	sums := map[string]float64{}
	for _, metric := range metrics {
		sums[metric] = 0
	}
	take := func(reading Reading, sign float64) {
		for _, passed := range reading.Counts {
			direction := "in"
			if passed.Out {
				direction = "out"
			}
			sums[passed.Way+"_"+direction+"_messages"] += sign * float64(passed.Messages)
			sums[passed.Way+"_"+direction+"_bytes"] += sign * float64(passed.Bytes)
			sums["bytes_"+partName(passed.Kind)] += sign * float64(passed.Bytes)
			sums["messages"] += sign * float64(passed.Messages)
			sums["bytes"] += sign * float64(passed.Bytes)
		}
		sums["processor"] += sign * reading.Processor.Seconds() * 100
		sums["disk_syncs"] += sign * float64(reading.House["disk_syncs"])
		sums["disk_bytes"] += sign * float64(reading.House["disk_bytes"])
		sums["dropped"] += sign * float64(reading.House["sends_dropped"]+reading.House["datagrams_dropped"]+reading.House["control_pending_full"])
	}
	take(after, 1)
	take(before, -1)
	for metric := range sums {
		sums[metric] /= seconds
	}
	return sums
}

var metrics = []string{"messages", "bytes", "tcp_in_messages", "tcp_in_bytes", "tcp_out_messages", "tcp_out_bytes", "udp_in_messages", "udp_in_bytes",
	"udp_out_messages", "udp_out_bytes", "bytes_membership", "bytes_news", "bytes_beats", "bytes_usage", "bytes_roster", "bytes_seats", "bytes_book",
	"processor", "disk_syncs", "disk_bytes", "dropped"}

func (f *Fleet) compare(sum *rows, phase string, before, after map[string][]Reading) {
	for _, role := range roles {
		whole, busiest := map[string]float64{}, map[string]float64{}
		for index := range after[role] {
			for metric, rate := range rates(before[role][index], after[role][index]) {
				whole[metric] += rate
				busiest[metric] = max(busiest[metric], rate)
			}
		}
		for _, metric := range metrics {
			if role == script.RoleUsher {
				sum.add(phase, role, metric, whole[metric]/float64(f.plan.Ushers))
			} else {
				sum.add(phase, role, metric, busiest[metric])
			}
		}
	}
}

func pause(length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	<-timer.C
}

// Measure runs one size and gives its rows.
func Measure(plan Plan, course Course) ([]Row, error) {
	sum := &rows{size: plan.Ushers, at: map[string]int{}}
	began := time.Now()
	fleet, err := Start(plan)
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	var failure error
	if !until(course.Limit, 100*time.Millisecond, func() bool { _, failure = fleet.put(); return failure == nil }) {
		return nil, failure
	}
	if !until(course.Limit, 100*time.Millisecond, fleet.whole) {
		return nil, notice.Wrap("walkon.measure", notice.BusyNotReady, fmt.Errorf("the fleet did not become whole: %+v", fleet.state()))
	}
	sum.add(Steady, "fleet", "whole_ms", float64(time.Since(began).Milliseconds()))
	pause(course.Settle)
	for _, phase := range course.Phases {
		for range course.Repeats {
			before := fleet.read("read")
			switch phase {
			case Steady:
				pause(course.Window)
			case Layouts:
				err = fleet.changes(sum, course)
			case Restarts:
				err = fleet.restarts(sum, course)
			}
			if err != nil {
				return nil, err
			}
			fleet.compare(sum, phase, before, fleet.read("read"))
			state := fleet.state()
			sum.add(phase, "fleet", "depth", float64(state.Depth))
			sum.add(phase, "fleet", "mean_depth", state.MeanDepth)
			sum.add(phase, "fleet", "age_ms", float64(state.Age))
			sum.add(phase, "fleet", "moves", float64(state.Moves))
			sum.add(phase, "fleet", "ready", float64(state.Ready))
		}
		if phase == Steady {
			for role, readings := range fleet.read("weigh") {
				live, held := 0.0, 0.0
				for _, reading := range readings {
					if role == script.RoleUsher {
						live, held = live+float64(reading.Live)/float64(plan.Ushers), held+float64(reading.Resident)/float64(plan.Ushers)
					} else {
						live, held = max(live, float64(reading.Live)), max(held, float64(reading.Resident))
					}
				}
				sum.add(phase, role, "live", live)
				sum.add(phase, role, "resident", held)
			}
		}
	}
	return sum.list, nil
}

// changes puts layouts in a steady rhythm and waits for each to be in force everywhere.
func (f *Fleet) changes(sum *rows, course Course) error {
	for end := time.Now().Add(course.Window); time.Now().Before(end); {
		began, err := f.put()
		if err != nil {
			return err
		}
		sum.add(Layouts, "fleet", "settled_ms", float64(time.Since(began).Milliseconds()))
		var lastAt int64
		reached := until(course.Limit, 20*time.Millisecond, func() bool {
			number := 0
			for _, held := range f.hands[script.RoleUsher] {
				if answer := held.do(Ask{Deed: "reached"}); answer.State != nil {
					number += answer.State.Reached[f.version]
					lastAt = max(lastAt, answer.State.LastAt[f.version])
				}
			}
			return number >= f.plan.Ushers
		})
		if !reached {
			return notice.Wrap("walkon.changes", notice.LayoutLacking, fmt.Errorf("version %d", f.version))
		}
		sum.add(Layouts, "fleet", "in_force_ms", float64(lastAt-began.UnixNano())/1e6)
		pause(course.Every - time.Since(began))
	}
	return nil
}

// restarts ends ushers without a word, one after the other, begins each again at once,
// and waits until all are ready and know all.
func (f *Fleet) restarts(sum *rows, course Course) error {
	for end := time.Now().Add(course.Window); time.Now().Before(end); {
		began := time.Now()
		number := int(f.crew.Now()/time.Millisecond) % f.plan.Ushers
		chosen := f.hands[script.RoleUsher][number/f.plan.Share]
		for _, deed := range []string{"end", "begin"} {
			if answer := chosen.do(Ask{Deed: deed, Index: number % f.plan.Share}); answer.Fault != "" {
				return notice.Wrap("walkon.restarts", notice.Internal, fmt.Errorf("%s", answer.Fault))
			}
		}
		if !until(course.Limit, 50*time.Millisecond, f.whole) {
			return notice.Wrap("walkon.restarts", notice.BusyNotReady, fmt.Errorf("not whole again: %+v", f.state()))
		}
		sum.add(Restarts, "fleet", "restored_ms", float64(time.Since(began).Milliseconds()))
		pause(course.Every - time.Since(began))
	}
	return nil
}
