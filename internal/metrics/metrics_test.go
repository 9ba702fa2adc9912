package metrics

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSamplesAreLinesInOrder(t *testing.T) {
	c := qt.New(t)
	samples := append(Counts("events_total", "event", map[string]int64{"lease-taken": 2, "a \"b\"": 1}),
		Flag("voting", true), Of("members", 7), About("topic_age_seconds", "topic", "slice:north", Seconds(1500*time.Millisecond)))
	text := strings.Builder{}
	c.Assert(Write(&text, samples), qt.IsNil)
	c.Assert(text.String(), qt.Equals, `beaconvane_events_total{event="a \"b\""} 1
beaconvane_events_total{event="lease-taken"} 2
beaconvane_members 7
beaconvane_topic_age_seconds{topic="slice:north"} 1.5
beaconvane_voting 1
`)
}
