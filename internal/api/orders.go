package api

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"beaconvane/internal/errcode"
	"beaconvane/internal/quota"
	"beaconvane/internal/settings"
)

// smallConfiguration is the size in bytes up to which a configuration is read without a reservation, so that
// large ones don't keep the others waiting.
const smallConfiguration = 64 << 10

// errOrderTooLarge reports that a configuration exceeds the size limit.
var errOrderTooLarge = errors.New("the configuration exceeds the size limit")

// orders limits the memory that the configurations sent by operators take while they are read, checked and
// forwarded.
type orders struct {
	maxBytes int64         // of one configuration; one more is read, so that the check names its size
	bodies   *quota.Bytes  // for all that are being handled
	checking chan struct{} // holds a token while a large configuration is checked and compressed
}

// newOrders returns the limits of a registry.
func newOrders(cfg settings.Settings) *orders {
	return &orders{
		maxBytes: cfg.Limits.Configuration + 1,
		bodies:   quota.New(cfg.OrderMemory()),
		checking: make(chan struct{}, 1),
	}
}

// read reads the body of an order. If it can't, it responds and returns false. The caller must call release
// in any case.
func (o *orders) read(out http.ResponseWriter, in *http.Request) (body []byte, release func(), complete bool) {
	size := in.ContentLength
	if size < 0 {
		size = o.maxBytes
	}
	reserved := int64(0)
	release = func() { o.bodies.Release(reserved) }
	switch {
	case size > o.maxBytes:
		WriteCode(out, errcode.ConfigurationTooLarge, errOrderTooLarge.Error())
		return nil, release, false
	case size > smallConfiguration && !o.bodies.Reserve(size):
		WriteCode(out, errcode.BusyBodies, "other configurations take the memory")
		return nil, release, false
	case size > smallConfiguration:
		reserved = size
	}
	body, err := readLimited(http.MaxBytesReader(out, in.Body, o.maxBytes), in.ContentLength)
	if err != nil {
		WriteCode(out, errcode.ConfigurationTooLarge, errOrderTooLarge.Error())
		return nil, release, false
	}
	return body, release, true
}

// readLimited reads a body whose length is known, or is -1, without allocating more than its length where it is
// known.
func readLimited(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(reader)
	}
	body := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := body.ReadFrom(reader)
	return body.Bytes(), err
}

// check runs a check of a configuration while no other large one is checked. It returns false, without running
// it, if ctx ends first.
func (o *orders) check(ctx context.Context, size int, check func()) bool {
	if size <= smallConfiguration {
		check()
		return true
	}
	select {
	case o.checking <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-o.checking }()
	check()
	return true
}
