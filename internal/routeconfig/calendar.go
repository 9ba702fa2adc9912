package routeconfig

import (
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // zones by name on machines without them

	"github.com/robfig/cron/v3"
	"github.com/tidwall/gjson"
)

// maxOpeningMinutes bounds one opening: a week.
const maxOpeningMinutes = 7 * 24 * 60

// Calendar says when a route is open: at cron-like times in a named time zone. Each entry has the
// cron expression at which it opens and for how many minutes; the route is open while any entry
// is, so that overlapping entries join. Times are local to the zone: an opening that doesn't exist
// on a day on which the clocks change is skipped by the cron library, and the length counts in real
// minutes.
type Calendar struct {
	location *time.Location
	entries  []calendarEntry
}

// calendarEntry is an entry of a calendar.
type calendarEntry struct {
	schedule cron.Schedule
	length   time.Duration
}

// checkCalendar lists what is wrong with a calendar.
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
	entries := value.Get("open").Array()
	if len(entries) == 0 {
		problems = append(problems, "open: want at least one entry")
	}
	for index, entry := range entries {
		if !isCronExpression(entry.Get("at").String()) {
			problems = append(problems, fmt.Sprintf("open.%d.at: not a cron expression of five fields", index))
		}
		if minutes := entry.Get("minutes").Int(); minutes < 1 || minutes > maxOpeningMinutes {
			problems = append(problems, fmt.Sprintf("open.%d.minutes: want 1 to %d", index, maxOpeningMinutes))
		}
	}
	return problems
}

// isCronExpression allows the five fields alone, and not the library's own additions: descriptors
// such as @every, and a time zone in front.
func isCronExpression(text string) bool {
	_, err := cron.ParseStandard(text)
	return err == nil && !strings.HasPrefix(text, "@") && !strings.Contains(text, "TZ=")
}

// parseCalendar reads a checked calendar.
func parseCalendar(value gjson.Result) *Calendar {
	zone, err := time.LoadLocation(value.Get("zone").String())
	if err != nil {
		zone = time.UTC
	}
	calendar := &Calendar{location: zone}
	for _, entry := range value.Get("open").Array() {
		if schedule, err := cron.ParseStandard(entry.Get("at").String()); err == nil {
			length := time.Duration(entry.Get("minutes").Int()) * time.Minute
			calendar.entries = append(calendar.entries, calendarEntry{schedule, length})
		}
	}
	return calendar
}

// IsOpen says whether the route is open at a time of day.
func (c *Calendar) IsOpen(at time.Time) bool {
	local := at.In(c.location)
	for _, entry := range c.entries {
		// The newest opening before now is after now-length, or the route is closed.
		opensAt := entry.schedule.Next(local.Add(-entry.length))
		if !opensAt.IsZero() && !opensAt.After(local) {
			return true
		}
	}
	return false
}

// UntilOpen says how long it is until the route opens.
func (c *Calendar) UntilOpen(at time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, entry := range c.entries {
		if wait := entry.schedule.Next(at.In(c.location)).Sub(at); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
