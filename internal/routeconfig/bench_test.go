package routeconfig

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// benchLimits are limits that no benchmark reaches.
var benchLimits = Limits{
	MaxBytes: 1 << 24, MaxEntries: 1 << 20, MaxValues: 1 << 22, MaxDepth: 32, MaxTimeout: time.Hour, Lenient: true,
}

// largeConfiguration returns a configuration of a large site, with many routes that are bound to hosts.
func largeConfiguration(routes int) []byte {
	text := strings.Builder{}
	text.WriteString(`{"version":7,"limits":{"head_bytes":16384},"tenants":[`)
	for number := range 80 {
		if number > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"name":"tenant%d","keys":["key-%d-aaaaaaaaaaaa","key-%d-bbbbbbbbbbbb"],"priority":1}`, number, number, number)
	}
	text.WriteString(`],"services":[{"name":"quoter","health":"/health","connections":130},`)
	text.WriteString(`{"name":"bookings","health":"/health","connections":130}],"routes":[`)
	for number := range routes {
		if number > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"name":"r-%d","host":"host%d.example","prefix":"/path%d/",`, number, number%9, number)
		text.WriteString(`"kind":"repeatable","aim_ms":500,"priority":2,"open":false,"service":"quoter","timeout_ms":1200,"attempts":2}`)
	}
	text.WriteString(`]}`)
	return []byte(text.String())
}

func BenchmarkParseLarge(b *testing.B) {
	body := largeConfiguration(1400)
	b.ReportAllocs()
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		Parse("main", 7, body, benchLimits)
	}
}

func BenchmarkCheckLarge(b *testing.B) {
	body := largeConfiguration(1400)
	b.ReportAllocs()
	for b.Loop() {
		Check(body, benchLimits)
	}
}

func BenchmarkNextLarge(b *testing.B) {
	limits := benchLimits
	body := largeConfiguration(1400)
	configuration := Parse("main", 7, body, limits)
	b.ReportAllocs()
	for b.Loop() {
		configuration = configuration.Next("main", 7, body, limits)
	}
}
