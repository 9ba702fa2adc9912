package routeconfig

import (
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // named time zones on machines without a time zone database

	"github.com/robfig/cron/v3"
	"github.com/tidwall/gjson"
)

// maxOpeningMinutes is the maximum duration of one opening: a week.
const maxOpeningMinutes = 7 * 24 * 60

// Calendar defines when a route is open. Each entry has a cron expression for the times at which an
// opening begins, and its duration in minutes. The route is open while any entry is open, so overlapping
// openings are merged. Cron expressions refer to local time in a named time zone: the cron library skips
// an opening whose local time does not exist on a day on which the clocks change. The duration is elapsed
// time, independent of clock changes.
type Calendar struct {
	location *time.Location
	entries  []calendarEntry
}

// calendarEntry is an entry of a calendar.
type calendarEntry struct {
	schedule cron.Schedule
	length   time.Duration
}

// checkCalendar returns the problems of a calendar.
func checkCalendar(value gjson.Result) []string {
	if !value.IsObject() {
		return []string{problemNotObject}
	}
	problems := []string{}
	value.ForEach(func(key, _ gjson.Result) bool {
		if name := key.String(); name != "zone" && name != "open" {
			problems = append(problems, "unknown field "+name)
		}
		return true
	})
	zone := value.Get("zone").String()
	if _, err := time.LoadLocation(zone); err != nil || zone == "" {
		problems = append(problems, "zone: want a named time zone")
	}
	entries := value.Get("open")
	if countItems(entries) == 0 {
		problems = append(problems, "open: want at least one entry")
	}
	forEachItem(entries, func(index int, entry gjson.Result) bool {
		if !isCronExpression(entry.Get("at").String()) {
			problems = append(problems, fmt.Sprintf("open.%d.at: not a cron expression of five fields", index))
		}
		if minutes := entry.Get("minutes").Int(); minutes < 1 || minutes > maxOpeningMinutes {
			problems = append(problems, fmt.Sprintf("open.%d.minutes: want 1 to %d", index, maxOpeningMinutes))
		}
		return len(problems) <= maxFaults
	})
	return problems
}

// isCronExpression reports whether a text is a cron expression of five fields. It excludes the
// extensions of the cron library: descriptors such as @every, and a time zone prefix.
func isCronExpression(text string) bool {
	_, err := cron.ParseStandard(text)
	return err == nil && !strings.HasPrefix(text, "@") && !strings.Contains(text, "TZ=")
}

// parseCalendar parses a calendar that checkCalendar accepted.
func parseCalendar(value gjson.Result) *Calendar {
	zone, err := time.LoadLocation(value.Get("zone").String())
	if err != nil {
		zone = time.UTC
	}
	calendar := &Calendar{location: zone}
	forEachItem(value.Get("open"), func(_ int, entry gjson.Result) bool {
		if schedule, err := cron.ParseStandard(entry.Get("at").String()); err == nil {
			length := time.Duration(entry.Get("minutes").Int()) * time.Minute
			calendar.entries = append(calendar.entries, calendarEntry{schedule, length})
		}
		return true
	})
	return calendar
}

// IsOpen reports whether the route is open at a time.
func (c *Calendar) IsOpen(at time.Time) bool {
	local := at.In(c.location)
	for _, entry := range c.entries {
		// The entry is open if an opening began within its duration before now.
		opensAt := entry.schedule.Next(local.Add(-entry.length))
		if !opensAt.IsZero() && !opensAt.After(local) {
			return true
		}
	}
	return false
}

// UntilOpen returns the time until the next opening begins; 0 if there are no entries.
func (c *Calendar) UntilOpen(at time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, entry := range c.entries {
		if wait := entry.schedule.Next(at.In(c.location)).Sub(at); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
