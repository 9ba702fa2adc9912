// Package loadgen generates load in an open loop: requests start at a set rate whether or not earlier
// ones were answered, so that a stall shows as late answers and not as fewer requests. Latency counts
// from the intended start. Every request has an ID of its own, recorded with its answer, by which the
// checker finds what the upstreams ran.
package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

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
	Calls   string  `json:"calls"` // the route that its upstream calls for a share of the runs
}

// Tenant is a tenant with a key to use.
type Tenant struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Plan is what to request, where, how fast and for how long.
type Plan struct {
	Proxies []string      `json:"proxies"`
	Kinds   []Kind        `json:"kinds"`
	Tenants []Tenant      `json:"tenants"`
	Rate    float64       `json:"rate"` // requests a second
	Length  time.Duration `json:"length"`
	Limit   time.Duration `json:"limit"` // of one request
	Seed    uint64        `json:"seed"`
	Base    time.Time     `json:"-"` // times of the record are since then
}

// seedStream is the second half of the random source's seed; the plan gives the first.
const seedStream = 7

// Run makes the requests of a plan and returns their record, once all are answered or the context
// has ended.
func Run(ctx context.Context, group *goroutine.Group, plan Plan) []checker.CallerRequest {
	run := &run{plan: plan, client: newClient(plan), random: rand.New(rand.NewPCG(plan.Seed, seedStream))}
	begin := time.Now()
	count := int(plan.Rate * plan.Length.Seconds())
	for number := range count {
		intended := begin.Add(time.Duration(float64(number) / plan.Rate * float64(time.Second)))
		if !waitUntil(ctx, intended) {
			break
		}
		kind, asked := run.next(number, intended)
		run.waiting.Add(1)
		group.Go("loadgen.request", func(context.Context) {
			defer run.waiting.Done()
			run.request(kind, &asked)
			run.addRecord(asked)
		})
	}
	run.waiting.Wait()
	return run.record
}

// run is the state of a plan that is being run.
type run struct {
	plan    Plan
	client  *http.Client
	random  *rand.Rand
	waiting sync.WaitGroup
	lock    sync.Mutex
	record  []checker.CallerRequest
}

func newClient(plan Plan) *http.Client {
	return &http.Client{
		Timeout:       plan.Limit,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			Proxy:               nil,
			MaxIdleConnsPerHost: 256,
			MaxIdleConns:        4096,
			DisableCompression:  true,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		},
	}
}

// waitUntil waits for a time; it returns false when the context ended first.
func waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// next draws kind, tenant and proxy of the next request.
func (r *run) next(number int, intended time.Time) (Kind, checker.CallerRequest) {
	kind := r.drawKind()
	tenant := r.plan.Tenants[r.random.IntN(len(r.plan.Tenants))]
	proxy := r.plan.Proxies[r.random.IntN(len(r.plan.Proxies))]
	return kind, checker.CallerRequest{
		ID:       fmt.Sprintf("q%d-%d", r.plan.Seed, number),
		Proxy:    proxy,
		Route:    kind.Route,
		Service:  kind.Service,
		Tenant:   tenant.Name,
		Key:      tenant.Key,
		Caller:   kind.Caller,
		Once:     kind.Once,
		Intended: intended.Sub(r.plan.Base),
	}
}

// drawKind draws a kind of request by weight.
func (r *run) drawKind() Kind {
	total := 0.0
	for _, kind := range r.plan.Kinds {
		total += kind.Weight
	}
	left := r.random.Float64() * total
	for _, kind := range r.plan.Kinds {
		if left -= kind.Weight; left < 0 {
			return kind
		}
	}
	return r.plan.Kinds[0]
}

// addRecord adds a request to the record.
func (r *run) addRecord(asked checker.CallerRequest) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.record = append(r.record, asked)
}

// request makes one request and records its answer.
func (r *run) request(kind Kind, asked *checker.CallerRequest) {
	asked.Sent = time.Since(r.plan.Base)
	// A body that is no bytes.Reader can't be rewound, so the library can't send it again.
	body := io.MultiReader(bytes.NewReader(make([]byte, kind.Body)))
	request, err := http.NewRequest(kind.Method, "http://"+asked.Proxy+kind.Path, body)
	if err != nil {
		asked.Connection = true
		return
	}
	request.ContentLength = int64(kind.Body)
	if kind.Body == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set(stubserver.IDHeader, asked.ID)
	request.Header.Set(frontend.APIKeyHeader, asked.Key)
	request.Header.Set(backend.CallerHeader, kind.Caller)
	response, err := r.client.Do(request)
	if err != nil {
		asked.Connection, asked.Done = true, time.Since(r.plan.Base)
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	asked.Done = time.Since(r.plan.Base)
	asked.Connection = err != nil
	asked.Status, asked.Body = response.StatusCode, string(answer)
	asked.Code, _ = strconv.Atoi(response.Header.Get(frontend.CodeHeader))
	asked.ResponseMark = response.Header.Get(stubserver.ResponseMarkHeader)
	asked.Retry = response.Header.Get("Retry-After") != ""
}
