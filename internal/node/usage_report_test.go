package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/registry"
)

func TestReportIsPosted(t *testing.T) {
	c := qt.New(t)
	requests := make(chan string, 10)
	status := http.StatusOK
	collector := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		body, _ := io.ReadAll(in.Body)
		requests <- in.Header.Get("Fence") + " " + string(body)
		out.WriteHeader(status)
	}))
	defer collector.Close()
	setFence := func(header http.Header, _ string, _ int64) { header.Set("Fence", "7") }
	reporter := newUsageReporter(collector.URL, "core-1", time.Minute, setFence)
	report := registry.UsageReport{Window: 3, Counts: map[string]int64{"t": 5}, Epoch: 7, ExpiresAt: time.Hour}
	c.Assert(reporter.post(context.Background(), report, 0), qt.Equals, reportAccepted)
	c.Assert(<-requests, qt.Equals, `7 {"counts":{"t":5},"epoch":7,"from":"core-1","window":3}`)
	status = http.StatusConflict
	c.Assert(reporter.post(context.Background(), report, 0), qt.Equals, reportRefused)
}

// A report is not sent after the lease under which its window was sealed has expired.
func TestReportBehindItsTimeIsNotSent(t *testing.T) {
	c := qt.New(t)
	requests := make(chan struct{}, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests <- struct{}{} }))
	defer collector.Close()
	reporter := newUsageReporter(collector.URL, "core-1", time.Minute, nil)
	c.Assert(reporter.post(context.Background(), registry.UsageReport{ExpiresAt: time.Second}, time.Second), qt.Equals, reportTooLate)
	c.Assert(requests, qt.HasLen, 0)
}

// A report without a response is cancelled when its lease expires, and its connection is reset, so that bytes
// that a network partition delayed don't reach the collector later.
func TestReportIsResetWithItsLease(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	readErrors := make(chan error, 1)
	group := goroutine.New()
	defer group.Stop(0)
	group.Go("collector", func(context.Context) {
		conn, err := listener.Accept()
		if err != nil {
			readErrors <- err
			return
		}
		defer conn.Close()
		_, err = io.Copy(io.Discard, conn)
		readErrors <- err
	})
	const remaining = 50 * time.Millisecond
	reporter := newUsageReporter("http://"+listener.Addr().String(), "core-1", time.Hour, nil)
	startedAt := time.Now()
	outcome := reporter.post(context.Background(), registry.UsageReport{ExpiresAt: time.Second + remaining}, time.Second)
	c.Assert(outcome, qt.Equals, reportFailed)
	c.Assert(time.Since(startedAt) >= remaining, qt.IsTrue)
	c.Assert(errors.Is(<-readErrors, syscall.ECONNRESET), qt.IsTrue)
}
