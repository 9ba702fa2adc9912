package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"go.uber.org/atomic"
)

const (
	operatorTimeout  = time.Second
	operatorRetry    = 10 * time.Millisecond // after an order without a clear answer
	operatorPatience = 8 * time.Second       // for an acknowledgement
	maxOrderPause    = 250 * time.Millisecond
	maxReadPause     = 500 * time.Millisecond
	maxVersionStep   = 3
	invalidShare     = 0.4
	largeShare       = 0.04
	largeOrderBytes  = 4_190_000
	largeOrderTime   = 3 * time.Second
	// sameRegistryShare is the share of orders that all operators send to the same registry, which changes
	// every sameRegistryTime.
	sameRegistryShare = 0.7
	sameRegistryTime  = 2 * time.Second
)

// operators write and read configurations through the registries.
type operators struct {
	seen         *observations
	registries   []string // HTTP addresses
	version      atomic.Int64
	acknowledged atomic.Int64 // newest acknowledged version
}

// nextVersion returns a version number that is higher than all before.
func (o *operators) nextVersion(random *rand.Rand) int64 {
	return o.version.Add(1 + random.Int64N(maxVersionStep))
}

// write writes versions until ctx ends, valid and invalid ones.
func (o *operators) write(ctx context.Context, random *rand.Rand) {
	client := newClient(operatorTimeout)
	for ctx.Err() == nil {
		order := newConfiguration(o.nextVersion(random))
		switch draw := random.Float64(); {
		case draw < largeShare:
			o.putLarge(ctx, random, order.Version)
		case draw < invalidShare:
			o.put(ctx, client, random, order.invalid(), false)
		default:
			o.put(ctx, client, random, order, true)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxOrderPause))))
	}
}

// put sends an order, again and unchanged until it gets a clear answer, and reports whether it was
// acknowledged.
func (o *operators) put(ctx context.Context, client *http.Client, random *rand.Rand, order configuration, valid bool) bool {
	sent := write{version: order.Version, content: order, body: string(order.encode()), valid: valid, sentAt: o.seen.now()}
	return o.putWrite(ctx, client, random, sent, []byte(sent.body))
}

// putLarge sends an invalid configuration of many values, or a deeply nested one that is cut short.
func (o *operators) putLarge(ctx context.Context, random *rand.Rand, version int64) {
	head, item := fmt.Sprintf(`{"version":%d,"routes":[`, version), []string{"0,", "{},", "["}[random.IntN(3)]
	body := head + strings.Repeat(item, (largeOrderBytes-len(head))/len(item))
	o.seen.count(countLargeOrders)
	o.putWrite(ctx, newClient(largeOrderTime), random, write{version: version, sentAt: o.seen.now()}, []byte(body))
}

// putWrite sends the body of an order, again and unchanged until it gets a clear answer, and reports whether it was
// acknowledged.
func (o *operators) putWrite(ctx context.Context, client *http.Client, random *rand.Rand, sent write, body []byte) bool {
	valid := sent.valid
	for end := time.Now().Add(operatorPatience); time.Now().Before(end); sleep(ctx, operatorRetry) {
		url := fmt.Sprintf("http://%s/v1/configurations/main/%d", o.registry(random), sent.version)
		sent.status, _ = call(client, http.MethodPut, url, body)
		o.seen.record("operator asks %s to take version %d, valid %t: %d", url, sent.version, valid, sent.status)
		if sent.status > 0 && sent.status < http.StatusInternalServerError {
			break
		}
	}
	sent.endedAt = o.seen.now()
	o.seen.addWrite(sent)
	if !sent.acknowledged() {
		return false
	}
	for newest := o.acknowledged.Load(); valid && newest < sent.version; newest = o.acknowledged.Load() {
		o.acknowledged.CompareAndSwap(newest, sent.version)
	}
	return true
}

// registry draws a registry for an order.
func (o *operators) registry(random *rand.Rand) string {
	index := random.IntN(len(o.registries))
	if random.Float64() < sameRegistryShare {
		index = int(o.seen.now()/sameRegistryTime) % len(o.registries)
	}
	return o.registries[index]
}

// read reads the configuration back until ctx ends.
func (o *operators) read(ctx context.Context, random *rand.Rand) {
	client := newClient(operatorTimeout)
	for ctx.Err() == nil {
		seen := read{sentAt: o.seen.now()}
		url := fmt.Sprintf("http://%s/v1/configurations/main", o.registries[random.IntN(len(o.registries))])
		var body []byte
		seen.status, body = call(client, http.MethodGet, url, nil)
		content := configuration{}
		if seen.status == http.StatusOK && json.Unmarshal(body, &content) == nil {
			seen.version, seen.body = content.Version, string(body)
		}
		o.seen.addRead(seen)
		sleep(ctx, time.Duration(random.Int64N(int64(maxReadPause))))
	}
}

// call makes an HTTP call and returns the status and the body; status 0 without a complete answer.
func call(client *http.Client, method, url string, body []byte) (status int, answer []byte) {
	out, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := client.Do(out)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}
