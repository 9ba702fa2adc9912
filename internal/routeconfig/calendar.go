package routeconfig

// This file is the calendar of a route: cron-like opening times in a named time zone,
// read by a library. A calendar is a list of entries, each with the cron expression at
// which it opens and for how many minutes; the route is open while any entry is, so
// that overlapping entries join. Times are local to the zone: at a change of the
// clocks an opening that does not exist that day is skipped by the library, and the
// length counts in real minutes.

import (
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // zones by name on machines without them

	"github.com/robfig/cron/v3"
	"github.com/tidwall/gjson"
)

const longestOpening = 7 * 24 * 60

// Calendar says when a route is open.
type Calendar struct {
	zone    *time.Location
	entries []opening
}

type opening struct {
	schedule cron.Schedule
	length   time.Duration
}

// checkCalendar lists the faults of a calendar.
func checkCalendar(value gjson.Result) []string {
	faults := []string{}
	if !value.IsObject() {
		return []string{"want an object"}
	}
	value.ForEach(func(key, _ gjson.Result) bool {
		if key.String() != "zone" && key.String() != "open" {
			faults = append(faults, "unknown field "+key.String())
		}
		return true
	})
	if _, err := time.LoadLocation(value.Get("zone").String()); err != nil || value.Get("zone").String() == "" {
		faults = append(faults, "zone: want a named time zone")
	}
	entries := value.Get("open").Array()
	if len(entries) == 0 {
		faults = append(faults, "open: want at least one entry")
	}
	for index, entry := range entries {
		at := entry.Get("at").String()
		if _, err := cron.ParseStandard(at); err != nil || strings.HasPrefix(at, "@") || strings.Contains(at, "TZ=") {
			faults = append(faults, fmt.Sprintf("open.%d.at: not a cron expression of five fields", index))
		}
		if minutes := entry.Get("minutes").Int(); minutes < 1 || minutes > longestOpening {
			faults = append(faults, fmt.Sprintf("open.%d.minutes: want 1 to %d", index, longestOpening))
		}
	}
	return faults
}

// parseCalendar reads a checked calendar.
func parseCalendar(value gjson.Result) *Calendar {
	zone, err := time.LoadLocation(value.Get("zone").String())
	if err != nil {
		zone = time.UTC
	}
	calendar := &Calendar{zone: zone}
	for _, entry := range value.Get("open").Array() {
		if schedule, err := cron.ParseStandard(entry.Get("at").String()); err == nil {
			calendar.entries = append(calendar.entries, opening{schedule, time.Duration(entry.Get("minutes").Int()) * time.Minute})
		}
	}
	return calendar
}

// IsOpen says whether the route is open at a time of day.
func (c *Calendar) IsOpen(at time.Time) bool {
	local := at.In(c.zone)
	for _, entry := range c.entries {
		// The newest opening before now is after now-length, or the route is closed.
		if begins := entry.schedule.Next(local.Add(-entry.length)); !begins.IsZero() && !begins.After(local) {
			return true
		}
	}
	return false
}

// UntilOpen says how long it is until the route opens.
func (c *Calendar) UntilOpen(at time.Time) time.Duration {
	soonest := time.Duration(0)
	for _, entry := range c.entries {
		if wait := entry.schedule.Next(at.In(c.zone)).Sub(at); soonest == 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest
}
