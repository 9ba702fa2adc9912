package loadgen

import (
	"sort"
	"strconv"

	"beaconvane/internal/checker"
)

// Summary holds the figures of a load. Good counts the answers of upstreams, Share is Good as a share of
// Sent, and ByCode counts the other outcomes by the mesh's error code, or as "connection". Latencies
// are those of the good answers, in milliseconds from the intended start.
type Summary struct {
	Sent   int            `json:"asked"`
	Good   int            `json:"good"`
	Share  float64        `json:"share"`
	ByCode map[string]int `json:"by_code"`
	P50    float64        `json:"p50_ms"`
	P99    float64        `json:"p99_ms"`
	P999   float64        `json:"p999_ms"`
	Max    float64        `json:"max_ms"`
}

// Summarise counts the outcomes and computes the percentiles of the latencies.
func Summarise(list []checker.CallerRequest) Summary {
	summary := Summary{Sent: len(list), ByCode: map[string]int{}}
	latencies := []float64{}
	for _, request := range list {
		switch {
		case request.Connection:
			summary.ByCode["connection"]++
		case request.Code != 0:
			summary.ByCode[strconv.Itoa(request.Code)]++
		default:
			summary.Good++
			latencies = append(latencies, float64((request.Done-request.Intended).Microseconds())/1000)
		}
	}
	if len(list) > 0 {
		summary.Share = float64(summary.Good) / float64(len(list))
	}
	sort.Float64s(latencies)
	rank := func(share float64) float64 {
		if len(latencies) == 0 {
			return 0
		}
		return latencies[min(len(latencies)-1, int(share*float64(len(latencies))))]
	}
	summary.P50, summary.P99, summary.P999, summary.Max = rank(0.5), rank(0.99), rank(0.999), rank(1)
	return summary
}
