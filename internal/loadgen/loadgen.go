// Package loadgen is the project's load generator: an open loop at a set rate, so that
// a stall shows as late answers and not as fewer requests. Latency counts from the
// intended start. Every request has an id of its own, kept with what the caller was
// told, for the checker to hold against what the upstreams ran.
package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/stubserver"
)

// Kind is one kind of request with its weight in the mix.
type Kind struct {
	Route   string  `json:"route"`
	Service string  `json:"service"`
	Method  string  `json:"method"`
	Path    string  `json:"path"`
	Caller  string  `json:"caller"`
	Once    bool    `json:"once"`
	Body    int     `json:"body_bytes"`
	Weight  float64 `json:"weight"`
	Calls   string  `json:"calls"` // the route that its upstream calls in turn, now and then
}

// Tenant is a tenant with a key to use.
type Tenant struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Plan is what to ask, where, how fast and for how long.
type Plan struct {
	Proxies []string      `json:"proxies"`
	Kinds   []Kind        `json:"kinds"`
	Tenants []Tenant      `json:"tenants"`
	Rate    float64       `json:"rate"`
	Length  time.Duration `json:"length"`
	Limit   time.Duration `json:"limit"`
	Seed    uint64        `json:"seed"`
	Base    time.Time     `json:"-"`
	Direct  bool          `json:"direct"` // the targets are upstreams, not proxies
}

// Run asks by the plan and gives the record.
func Run(ctx context.Context, members *goroutine.Group, plan Plan) []checker.Asked {
	random := rand.New(rand.NewPCG(plan.Seed, 7))
	client := &http.Client{Timeout: plan.Limit, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 256, MaxIdleConns: 4096, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	total := 0.0
	for _, kind := range plan.Kinds {
		total += kind.Weight
	}
	var lock sync.Mutex
	var waiting sync.WaitGroup
	list := []checker.Asked{}
	var out atomic.Int64
	begin := time.Now()
	count := int(plan.Rate * plan.Length.Seconds())
	for number := range count {
		intended := begin.Add(time.Duration(float64(number) / plan.Rate * float64(time.Second)))
		if wait := time.Until(intended); wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				waiting.Wait()
				return list
			}
		}
		memberList, chosenKind := random.Float64()*total, plan.Kinds[0]
		for _, kind := range plan.Kinds {
			if memberList -= kind.Weight; memberList < 0 {
				chosenKind = kind
				break
			}
		}
		chosenTenant := plan.Tenants[random.IntN(len(plan.Tenants))]
		chosenProxy := plan.Proxies[random.IntN(len(plan.Proxies))]
		asked := checker.Asked{ID: fmt.Sprintf("q%d-%d", plan.Seed, number), Proxy: chosenProxy, Route: chosenKind.Route, Service: chosenKind.Service,
			Tenant: chosenTenant.Name, Key: chosenTenant.Key, Caller: chosenKind.Caller, Once: chosenKind.Once, Intended: intended.Sub(plan.Base)}
		waiting.Add(1)
		out.Inc()
		members.Go("loadgen.ask", func(context.Context) {
			defer waiting.Done()
			defer out.Dec()
			request(client, plan, chosenKind, &asked)
			lock.Lock()
			list = append(list, asked)
			lock.Unlock()
		})
	}
	waiting.Wait()
	return list
}

func request(client *http.Client, plan Plan, kind Kind, asked *checker.Asked) {
	asked.Sent = time.Since(plan.Base)
	// A body that is no bytes.Reader can't be rewound, so the library can't resend it.
	request, err := http.NewRequest(kind.Method, "http://"+asked.Proxy+kind.Path, io.MultiReader(bytes.NewReader(make([]byte, kind.Body))))
	if err != nil {
		asked.Connection = true
		return
	}
	request.ContentLength = int64(kind.Body)
	if kind.Body == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set(stubserver.IDHeader, asked.ID)
	request.Header.Set(frontend.KeyHeader, asked.Key)
	request.Header.Set(backend.CallerHeader, kind.Caller)
	response, err := client.Do(request)
	if err != nil {
		asked.Connection, asked.Done = true, time.Since(plan.Base)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	asked.Done = time.Since(plan.Base)
	asked.Connection = err != nil
	asked.Status, asked.Body = response.StatusCode, string(body)
	asked.Code, _ = strconv.Atoi(response.Header.Get(frontend.CodeHeader))
	asked.Mark = response.Header.Get(stubserver.MarkHeader)
	asked.Retry = response.Header.Get("Retry-After") != ""
}

// Summary is a run in numbers.
type Summary struct {
	Asked   int            `json:"asked"`
	Good    int            `json:"good"`
	Share   float64        `json:"share"`
	ByCode  map[string]int `json:"by_code"`
	P50     float64        `json:"p50_ms"`
	P99     float64        `json:"p99_ms"`
	P999    float64        `json:"p999_ms"`
	Longest float64        `json:"max_ms"`
}

// Summarise counts answers and ranks latencies from the intended start.
func Summarise(list []checker.Asked) Summary {
	summary := Summary{Asked: len(list), ByCode: map[string]int{}}
	waits := []float64{}
	for _, asked := range list {
		switch {
		case asked.Connection:
			summary.ByCode["connection"]++
		case asked.Code != 0:
			summary.ByCode[strconv.Itoa(asked.Code)]++
		default:
			summary.Good++
			waits = append(waits, float64((asked.Done-asked.Intended).Microseconds())/1000)
		}
	}
	if len(list) > 0 {
		summary.Share = float64(summary.Good) / float64(len(list))
	}
	sort.Float64s(waits)
	rank := func(share float64) float64 {
		if len(waits) == 0 {
			return 0
		}
		return waits[min(len(waits)-1, int(share*float64(len(waits))))]
	}
	summary.P50, summary.P99, summary.P999, summary.Longest = rank(0.5), rank(0.99), rank(0.999), rank(1)
	return summary
}
