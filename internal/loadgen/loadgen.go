// Package loadgen generates load in an open loop: requests start at a fixed rate, whether or not earlier
// ones were answered, so that a stall shows as high latency and not as fewer requests. Latency is
// measured from the intended start. Every request has a unique ID, recorded with its answer, by which
// the checker finds the request's runs at the upstreams.
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

// Kind is one kind of request, with its weight in the mix of requests.
type Kind struct {
	Route   string  `json:"route"`
	Service string  `json:"service"`
	Method  string  `json:"method"`
	Path    string  `json:"path"`
	Caller  string  `json:"caller"`
	Once    bool    `json:"once"`
	Body    int     `json:"body_bytes"`
	Weight  float64 `json:"weight"`
	Calls   string  `json:"calls"` // route that its upstream calls in a share of the runs; empty for none
}

// Tenant is a tenant with the key that its requests carry.
type Tenant struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Plan describes a load: the kinds of requests, the proxies, the rate and the duration.
type Plan struct {
	Proxies []string      `json:"proxies"`
	Kinds   []Kind        `json:"kinds"`
	Tenants []Tenant      `json:"tenants"`
	Rate    float64       `json:"rate"` // requests a second
	Length  time.Duration `json:"length"`
	Limit   time.Duration `json:"limit"` // timeout of one request
	Seed    uint64        `json:"seed"`
	Base    time.Time     `json:"-"` // start of the run, to which the times of the record are relative
}

// seedStream is the second half of the seed of the random source. Plan.Seed is the first half.
const seedStream = 7

// Run sends the requests of a plan and returns their record once all of them have ended. It sends no
// further requests after the context has ended.
func Run(ctx context.Context, group *goroutine.Group, plan Plan) []checker.CallerRequest {
	run := &run{plan: plan, client: newClient(plan), random: rand.New(rand.NewPCG(plan.Seed, seedStream))}
	begin := time.Now()
	count := int(plan.Rate * plan.Length.Seconds())
	for number := range count {
		intended := begin.Add(time.Duration(float64(number) / plan.Rate * float64(time.Second)))
		if !waitUntil(ctx, intended) {
			break
		}
		kind, request := run.next(number, intended)
		run.pending.Add(1)
		group.Go("loadgen.request", func(context.Context) {
			defer run.pending.Done()
			run.send(kind, &request)
			run.addRecord(request)
		})
	}
	run.pending.Wait()
	return run.record
}

// run is the state of a load in progress.
type run struct {
	plan    Plan
	client  *http.Client
	random  *rand.Rand
	pending sync.WaitGroup
	lock    sync.Mutex
	record  []checker.CallerRequest
}

// newClient returns an HTTP client with the timeout of a plan, which reuses connections and does not
// follow redirects.
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

// waitUntil blocks until a time. It returns false if the context ended first.
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

// next draws the kind, tenant and proxy of the next request.
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

// drawKind draws a kind of request with a probability proportional to its weight.
func (r *run) drawKind() Kind {
	total := 0.0
	for _, kind := range r.plan.Kinds {
		total += kind.Weight
	}
	remaining := r.random.Float64() * total
	for _, kind := range r.plan.Kinds {
		if remaining -= kind.Weight; remaining < 0 {
			return kind
		}
	}
	return r.plan.Kinds[0]
}

// addRecord appends a request with its outcome to the record.
func (r *run) addRecord(request checker.CallerRequest) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.record = append(r.record, request)
}

// send sends one request and records its outcome.
func (r *run) send(kind Kind, record *checker.CallerRequest) {
	record.Sent = time.Since(r.plan.Base)
	// net/http can resend a request only if it can rewind the body. Hiding the bytes.Reader prevents
	// that, so that a request with a body is sent at most once.
	body := io.MultiReader(bytes.NewReader(make([]byte, kind.Body)))
	request, err := http.NewRequest(kind.Method, "http://"+record.Proxy+kind.Path, body)
	if err != nil {
		record.Connection = true
		return
	}
	request.ContentLength = int64(kind.Body)
	if kind.Body == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set(stubserver.IDHeader, record.ID)
	request.Header.Set(frontend.APIKeyHeader, record.Key)
	request.Header.Set(backend.CallerHeader, kind.Caller)
	response, err := r.client.Do(request)
	if err != nil {
		record.Connection, record.Done = true, time.Since(r.plan.Base)
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	record.Done = time.Since(r.plan.Base)
	record.Connection = err != nil
	record.Status, record.Body = response.StatusCode, string(answer)
	record.Code, _ = strconv.Atoi(response.Header.Get(frontend.CodeHeader))
	record.ResponseMark = response.Header.Get(stubserver.ResponseMarkHeader)
	record.Retry = response.Header.Get("Retry-After") != ""
}
