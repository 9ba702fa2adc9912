// These tests cover the calculations, with generated values, and a small hollow fleet in this process.
package scaletest

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/transport"
)

// sampleRows returns rows whose values follow a growth function, with three repeats of which the first
// and the last deviate by the share scatter.
func sampleRows(grows func(size float64) float64, scatter float64) []Row {
	list := []Row{}
	for _, size := range []int{16, 32, 64, 128, 256} {
		value := grows(float64(size))
		values := []float64{value * (1 - scatter), value, value * (1 + scatter)}
		list = append(list, Row{Phase: Steady, Role: message.RoleProxy, Metric: "bytes", Size: size, Values: values})
	}
	return list
}

// Rows that are generated from a shape must be fitted with that shape, and extrapolated correctly to a
// size without rows.
func TestSlopeOfRecoversEachShape(t *testing.T) {
	for _, test := range []struct {
		shape string
		grows func(size float64) float64
	}{
		{"flat", func(float64) float64 { return 250 }},
		{"log n", func(size float64) float64 { return 3 + 5*math.Log2(size) }},
		{"n", func(size float64) float64 { return 100 + 7*size }},
		{"n log n", func(size float64) float64 { return 10 + 2*size*math.Log2(size) }},
		{"n²", func(size float64) float64 { return 50 + 0.3*size*size }},
	} {
		t.Run(test.shape, func(t *testing.T) {
			c := qt.New(t)
			slope := SlopeOf(sampleRows(test.grows, 0.02), 12000)
			c.Assert(slope.Shape, qt.Equals, test.shape)
			expected := test.grows(12000)
			c.Assert(math.Abs(slope.Target-expected) < expected*1e-6, qt.IsTrue, qt.Commentf("target %v, want %v", slope.Target, expected))
			c.Assert(slope.Lower <= slope.Target*0.985 && slope.Upper >= slope.Target*1.015, qt.IsTrue, qt.Commentf("%+v", slope))
		})
	}
}

// Scatter without a trend must not be fitted as growth.
func TestScatterIsFlat(t *testing.T) {
	c := qt.New(t)
	list := []Row{}
	for index, value := range []float64{100, 109, 93, 104, 98} {
		list = append(list, Row{Size: 16 << index, Values: []float64{value}})
	}
	slope := SlopeOf(list, 12000)
	c.Assert(slope.Shape, qt.Equals, "flat")
	c.Assert(slope.Target > 90 && slope.Target < 110, qt.IsTrue)
}

// Rows of no size, of a single size, or with all values zero must not be extrapolated to growth or to a
// negative value.
func TestFewSizes(t *testing.T) {
	c := qt.New(t)
	c.Assert(SlopeOf(nil, 12000).Shape, qt.Equals, "none")
	slope := SlopeOf([]Row{{Size: 16, Values: []float64{5, 7}}}, 12000)
	c.Assert(slope.Shape, qt.Equals, "flat")
	c.Assert(slope.Target, qt.Equals, 6.0)
	c.Assert([]float64{slope.Lower, slope.Upper}, qt.DeepEquals, []float64{5, 7})
	c.Assert(SlopeOf(sampleRows(func(float64) float64 { return 0 }, 0), 12000).Target, qt.Equals, 0.0)
}

func TestNumbers(t *testing.T) {
	c := qt.New(t)
	for value, text := range map[float64]string{
		0: "0", 0.0001: "0", 0.0123: "0.0123", 9.876: "9.88", 123.4: "123",
		5678: "5678", 45678: "45.7k", 3.21e6: "3.21M", 4e9: "4G",
	} {
		c.Assert(number(value), qt.Equals, text)
	}
}

// The table must have a column for each size and omit lines that are all zero, its rows must survive
// encoding to JSON, and the plots must be written.
func TestTableAndPlots(t *testing.T) {
	c := qt.New(t)
	allZero := Row{Phase: Steady, Role: message.RoleProxy, Metric: "dropped", Size: 16, Values: []float64{0}}
	table := Table{
		Course: Course{Sizes: []int{16, 32, 64, 128, 256}, Phases: []string{Steady}},
		Target: 12000,
		Rows:   append(sampleRows(func(size float64) float64 { return 100 * size }, 0.1), allZero),
	}
	table.FitLines()
	out := bytes.Buffer{}
	table.Markdown(&out)
	c.Assert(out.String(), qt.Contains,
		"| proxy | bytes | 1600 ±160 | 3200 ±320 | 6400 ±640 | 12.8k ±1280 | 25.6k ±2560 | n | 0% | 1.2M (1.08M..1.32M) |")
	c.Assert(strings.Contains(out.String(), "dropped"), qt.IsFalse)
	body := bytes.Buffer{}
	c.Assert(table.JSON(&body), qt.IsNil)
	decoded := Table{}
	c.Assert(json.Unmarshal(body.Bytes(), &decoded), qt.IsNil)
	c.Assert(decoded.Rows, qt.DeepEquals, table.Rows)
	folder := t.TempDir()
	c.Assert(table.Plot(folder), qt.IsNil)
	chart, err := os.Stat(filepath.Join(folder, "capacity-bytes.png"))
	c.Assert(err, qt.IsNil)
	c.Assert(chart.Size() > 1000, qt.IsTrue)
}

// trafficCategories refers to message types by name: after a rename of a type its traffic would silently
// count under "voters".
func TestTrafficCategoriesNameMessageTypes(t *testing.T) {
	c := qt.New(t)
	names := map[string]bool{}
	for kind := range math.MaxUint8 + 1 {
		names[message.KindName(byte(kind))] = true
	}
	for name := range trafficCategories {
		c.Check(names[name], qt.IsTrue, qt.Commentf("trafficCategories has %s, which is not a message type", name))
	}
}

// Rates must be differences of two readings divided by the seconds between them, and a message type
// without a category must count under "voters".
func TestRates(t *testing.T) {
	c := qt.New(t)
	before := Reading{At: time.Second, Processor: time.Second}
	after := Reading{At: 3 * time.Second, Processor: 1500 * time.Millisecond, Node: map[string]int64{"disk_syncs": 8}}
	for _, kind := range []string{"Ping", "HeartbeatBatch", "LeaseRequest", "WriteRequest"} {
		after.Counts = append(after.Counts, transport.Count{Protocol: "tcp", Outbound: true, Kind: kind, Messages: 10, Bytes: 100})
	}
	rate := rates(before, after)
	for metric, value := range map[string]float64{
		"processor": 25, "disk_syncs": 4, "tcp_out_messages": 20, "bytes": 200, "bytes_membership": 50,
		"bytes_heartbeats": 50, "bytes_voters": 50, "bytes_config_log": 50, "udp_in_bytes": 0,
	} {
		c.Assert(rate[metric], qt.Equals, value, qt.Commentf(metric))
	}
}

// A small fleet in this process must become complete, bring configurations into force on all proxies and
// recover from restarts of proxies, and each phase must leave its rows.
func TestTinyFleet(t *testing.T) {
	c := qt.New(t)
	plan := Plan{Proxies: 4, Zones: 2, Services: 3, Tenants: 2, Fanout: 2, Share: 2, Folder: t.TempDir()}
	phases := []string{Steady, Configurations, Restarts}
	course := Course{Sizes: []int{4}, Repeats: 1, Limit: time.Minute, Window: time.Millisecond, Phases: phases}
	list, err := Measure(plan, course)
	c.Assert(err, qt.IsNil)
	found := map[string]float64{}
	for _, row := range list {
		found[row.Phase+" "+row.Role+" "+row.Metric] = row.Values[0]
	}
	c.Assert(found["steady fleet ready"], qt.Equals, 4.0)
	c.Assert(found["configurations fleet in_force_ms"] > 0, qt.IsTrue)
	c.Assert(found["restarts fleet restored_ms"] > 0, qt.IsTrue)
	c.Assert(found["configurations configstore disk_bytes"] > 0, qt.IsTrue)
	c.Assert(found["configurations proxy bytes_updates"] > 0, qt.IsTrue)
	c.Assert(found["steady proxy resident"] > 0, qt.IsTrue)
	c.Assert(found["steady fleet depth"] > 0, qt.IsTrue)
}

// Serve must answer each request, reject an unknown command and an index out of range with an error that
// names the value, and return at the end of its input.
func TestServe(t *testing.T) {
	c := qt.New(t)
	plan := Plan{Proxies: 1, Zones: 1, Services: 1, Fanout: 2, Folder: t.TempDir()}
	address, err := freeAddress("127.88.9.1")
	c.Assert(err, qt.IsNil)
	cfg := plan.Settings(message.RoleProxy, "edge", "", zoneName(0), address, []string{address, address, address})
	specs := []NodeSpec{{Role: message.RoleProxy, Service: "service-001", Settings: cfg}}
	input, output := bytes.Buffer{}, bytes.Buffer{}
	encoder := json.NewEncoder(&input)
	c.Assert(encoder.Encode(specs), qt.IsNil)
	requests := []Request{{Command: CommandRead}, {Command: "nothing"}, {Command: CommandState, Index: 7}, {Command: CommandMemory}}
	for _, request := range requests {
		c.Assert(encoder.Encode(request), qt.IsNil)
	}
	c.Assert(Serve(&input, &output), qt.IsNil)
	decoder, answers := json.NewDecoder(&output), make([]Answer, 5)
	for index := range answers {
		c.Assert(decoder.Decode(&answers[index]), qt.IsNil)
	}
	c.Assert(answers[0].Fault, qt.Equals, "")
	c.Assert(answers[1].Reading.Processor > 0, qt.IsTrue)
	c.Assert(answers[2].Fault, qt.Contains, `unknown command "nothing"`)
	c.Assert(answers[3].Fault, qt.Contains, "node index 7 is out of range: the process has 1 nodes")
	c.Assert(answers[4].Reading.Live > 0, qt.IsTrue)
}
