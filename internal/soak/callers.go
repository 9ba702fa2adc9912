package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/frontend"
)

const (
	callersPerProxy = 3
	minPause        = 10 * time.Millisecond // between two requests of a caller
	maxExtraPause   = 50 * time.Millisecond
)

// patience is how long a caller waits: a little longer than the rule FINAL allows.
const patience = routeTimeoutMS*time.Millisecond + finalSlack + 100*time.Millisecond

// caller sends requests to one proxy, one after the other, on a connection that it keeps open.
type caller struct {
	seen         *observations
	proxy        string
	name         string
	random       *rand.Rand
	client       *http.Client
	acknowledged *atomic.Int64 // newest acknowledged version
	number       int
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.number++
		method, sent := c.next()
		sent.sentAt = c.seen.now()
		sent.send(c.client, method, c.seen)
		sleep(ctx, minPause+time.Duration(c.random.Int64N(int64(maxExtraPause))))
	}
}

// next draws the next request: mostly to the main route, else to the at-most-once route, to the route that
// the newest acknowledged version added, or with an unknown key.
func (c *caller) next() (method string, sent request) {
	sent = request{id: fmt.Sprintf("%s-%d", c.name, c.number), proxy: c.proxy, host: shopHost, path: mainPath, key: tenantKey}
	switch draw := c.random.Float64(); {
	case draw < 0.2:
		sent.path, sent.once = oncePath, true
		return http.MethodPost, sent
	case draw < 0.3:
		sent.path = addedPath(c.acknowledged.Load())
	case draw < 0.35:
		sent.key = unknownKey
	case draw < 0.42:
		sent.host = []string{portHost, casedHost, strings.ToUpper(portHost), neverHost}[c.random.IntN(4)]
		c.seen.count(countAuthorities)
	}
	return http.MethodGet, sent
}

// send sends the request and adds what came of it to the observations. The client gives up after its time
// limit.
func (r request) send(client *http.Client, method string, seen *observations) {
	out, err := http.NewRequest(method, "http://"+r.proxy+r.path, http.NoBody)
	if err != nil {
		panic("soak: " + err.Error()) // a programming error: the addresses and paths are valid
	}
	out.Host = r.host
	out.Header.Set(requestIDHeader, r.id)
	if r.key != "" {
		out.Header.Set(frontend.APIKeyHeader, r.key)
	}
	response, err := client.Do(out)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			r.status, r.answer = response.StatusCode, string(body)
		}
	}
	r.endedAt = seen.now()
	r.answered = !isTimeout(err)
	seen.addRequest(r)
}

// isTimeout reports whether a call failed since its client gave up.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
