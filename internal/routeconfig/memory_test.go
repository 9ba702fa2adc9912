// Tests of the memory that one configuration takes, valid or not.
package routeconfig

import (
	"fmt"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/atomic"
)

// productLimits are the default limits of the settings.
var productLimits = Limits{
	MaxBytes: 4 << 20, MaxEntries: 20000, MaxValues: 800000, MaxDepth: 32, MaxTimeout: time.Hour, Lenient: true,
}

// filled returns a configuration of almost MaxBytes bytes: a head, an item as often as it fits, and an end.
func filled(head, item, end string) []byte {
	count := (int(productLimits.MaxBytes) - len(head) - len(end)) / len(item)
	return []byte(head + strings.Repeat(item, count) + end)
}

// oddConfigurations are configurations within MaxBytes that have as much as possible of one thing. The padding is
// added to each item, so that the number of values is above or just within MaxValues.
func oddConfigurations(padding string) map[string][]byte {
	names := strings.Builder{}
	for number := range 260000 {
		fmt.Fprintf(&names, `"f%d":0,%s`, number, padding)
	}
	return map[string][]byte{
		"numbers as routes":    filled(`{"version":8,"routes":[0`, `,0`+padding, `]}`),
		"objects as routes":    filled(`{"version":8,"routes":[{}`, `,{}`+padding, `]}`),
		"numbers as tenants":   filled(`{"version":8,"tenants":[0`, `,0`+padding, `]}`),
		"numbers as keys":      filled(`{"version":8,"tenants":[{"name":"t","keys":[0`, `,0`+padding, `]}]}`),
		"numbers as services":  filled(`{"version":8,"services":[0`, `,0`+padding, `]}`),
		"numbers in a split":   filled(`{"version":8,"routes":[{"host":"h","split":[0`, `,0`+padding, `]}]}`),
		"numbers as callers":   filled(`{"version":8,"routes":[{"host":"h","callers":[0`, `,0`+padding, `]}]}`),
		"openings":             filled(`{"version":8,"routes":[{"host":"h","calendar":{"open":[0`, `,0`+padding, `]}}]}`),
		"nested lists, cut":    filled(`{"version":8,"routes":[`, `[`+padding, ``),
		"nested objects":       filled(`{"version":8,"routes":`, `{"a":`+padding, ``),
		"nested unknown field": filled(`{"version":8,"note":`, `[`+padding, ``),
		"fields":               []byte(`{"version":8,` + names.String() + `"routes":[]}`),
		"one long text":        filled(`{"version":8,"note":"`, `\"`+padding, `"}`),
		"quotes":               filled(`{"version":8,"routes":["`, `\\`+padding, ``),
		"routes of few fields": filled(`{"version":8,"routes":[{"host":"h"}`, `,{"host":"h"}`+padding, `]}`),
	}
}

// memoryInUse is the runtime's memory of the heap and the stacks, with what it has not returned to the system.
func memoryInUse() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// peakGrowth returns by how many bytes the memory of the process grows at the most while an action runs.
func peakGrowth(action func()) int64 {
	debug.FreeOSMemory()
	before, highest := memoryInUse(), atomic.NewUint64(0)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			highest.Store(max(highest.Load(), memoryInUse()))
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	action()
	close(stop)
	<-stopped
	return int64(highest.Load()) - int64(before)
}

// maxCheckGrowth is what the check of one configuration of MaxBytes may add to the memory of a process.
const maxCheckGrowth = 48 << 20

// Guards against a configuration that takes a registry over its memory: what a check needs is bounded before the text
// is parsed, whatever it consists of.
func TestCheckIsBoundedInMemory(t *testing.T) {
	configurations := map[string][]byte{}
	for _, padding := range []string{"", "    "} {
		for name, body := range oddConfigurations(padding) {
			configurations[fmt.Sprintf("%s, %d spaces", name, len(padding))] = body
		}
	}
	for name, body := range configurations {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var faults []string
			growth := peakGrowth(func() { faults, _ = Check(body, productLimits) })
			t.Logf("%d bytes: %d MiB, %d faults, first %.80q", len(body), growth>>20, len(faults), append(faults, "none")[0])
			c.Assert(growth < maxCheckGrowth, qt.IsTrue, qt.Commentf("%d MiB", growth>>20))
			c.Assert(len(faults) <= maxFaults+1, qt.IsTrue)
		})
	}
}

// A valid configuration of many routes is accepted within the same memory.
func TestLargeValidConfigurationIsAccepted(t *testing.T) {
	c := qt.New(t)
	body := &strings.Builder{}
	body.WriteString(`{"version":8,"services":["a","b"],"routes":[`)
	for number := range 14000 {
		if number > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(body, `{"name":"r-%d","host":"host-%d.example","prefix":"/path-%d/","kind":"repeatable","timeout_ms":1200,`+
			`"aim_ms":500,"priority":2,"attempts":2,"open":false,`+
			`"split":[{"service":"a","weight":90},{"service":"b","weight":10}],"note":"0123456789"}`,
			number, number, number)
	}
	body.WriteString(`]}`)
	var faults []string
	growth := peakGrowth(func() { faults, _ = Check([]byte(body.String()), productLimits) })
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(growth < maxCheckGrowth, qt.IsTrue, qt.Commentf("%d MiB", growth>>20))
	t.Logf("%d bytes, %d values: check %d MiB", body.Len(), measureStructure([]byte(body.String()), productLimits).values, growth>>20)
	growth = peakGrowth(func() { Parse("main", 8, []byte(body.String()), productLimits) })
	t.Logf("parse %d MiB", growth>>20)
}

// The structure is measured up to the limits: depth, values, and quotes within texts.
func TestStructureLimits(t *testing.T) {
	c := qt.New(t)
	for text, expected := range map[string]structure{
		`{}`:                       {1, 1},
		`{"a":[1,2,{"b":"c"}]}`:    {3, 7},
		`{"a":"[[[,\":{{","b\\":1`: {1, 4},
		`"\`:                       {0, 0},
	} {
		c.Check(measureStructure([]byte(text), productLimits), qt.Equals, expected, qt.Commentf(text))
	}
	small := Limits{MaxBytes: 1000, MaxEntries: 10, MaxValues: 12, MaxDepth: 3, Lenient: true}
	for text, expected := range map[string]string{
		`{"routes":[[[0]]]}`:                      "$: nested deeper than 3",
		`{"note":[0,0,0,0,0,0,0,0,0,0,0,0]}`:      "$: more than 12 values",
		`{"version":1,"services":[],"routes":[]}`: "",
	} {
		faults, tooLarge := Check([]byte(text), small)
		c.Check(strings.Join(faults, "\n"), qt.Equals, expected, qt.Commentf(text))
		c.Check(tooLarge, qt.Equals, expected != "")
	}
}
