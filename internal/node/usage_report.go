package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"beaconvane/internal/registry"
)

// maxReportResponseBytes limits how much of the collector's response is read.
const maxReportResponseBytes = 1 << 16

// usageReportBody is the JSON body of a report to the collector. The order of the fields is part of its form.
type usageReportBody struct {
	Counts map[string]int64 `json:"counts"` // by tenant
	Epoch  int64            `json:"epoch"`  // epoch of the usage lease under which the report is sent
	From   string           `json:"from"`   // name of the sending node
	Window int64            `json:"window"`
}

// reportOutcome is the result of posting a report.
type reportOutcome int

const (
	reportAccepted reportOutcome = iota // the collector answered with a 2xx status
	reportRefused                       // the collector answered with another status
	reportFailed                        // the post failed or timed out, so that its effect is unknown
	reportTooLate                       // the report expired before it was sent
)

// usageReporter posts sealed usage windows to the collector. A collector that ignores the fencing token must
// not receive reports of a holder whose lease has expired, not even reports that a network partition delayed.
// Therefore a post is cancelled when the lease expires, and its connection is reset, which drops the bytes
// that are still queued in the kernel.
type usageReporter struct {
	collector  string
	nodeName   string        // sender in the reports
	timeout    time.Duration // limit for a post
	setHeaders headerSetter
	client     *http.Client
}

// headerSetter adds headers to a usage report that a node sends under an epoch of the usage lease.
type headerSetter func(header http.Header, nodeName string, epoch int64)

// newUsageReporter returns a reporter; setHeaders may be nil.
func newUsageReporter(collector, nodeName string, timeout time.Duration, setHeaders headerSetter) *usageReporter {
	transport := &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 2, DialContext: dialWithReset}
	refuseRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &usageReporter{collector: collector, nodeName: nodeName, timeout: timeout, setHeaders: setHeaders,
		client: &http.Client{Transport: transport, CheckRedirect: refuseRedirects}}
}

// dialWithReset opens a TCP connection that is reset when it is closed (SO_LINGER 0).
func dialWithReset(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, err
		}
	}
	return conn, nil
}

// post sends a report once. now is the process clock, on which the report expires at report.ExpiresAt.
func (r *usageReporter) post(ctx context.Context, report registry.UsageReport, now time.Duration) reportOutcome {
	timeout := min(r.timeout, report.ExpiresAt-now)
	if timeout <= 0 {
		return reportTooLate
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := r.request(timeoutCtx, report)
	if err != nil {
		return reportFailed
	}
	response, err := r.client.Do(request)
	if err != nil {
		return reportFailed
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReportResponseBytes))
	if response.StatusCode/100 != http.StatusOK/100 {
		return reportRefused
	}
	return reportAccepted
}

// request returns the HTTP request for a report.
func (r *usageReporter) request(ctx context.Context, report registry.UsageReport) (*http.Request, error) {
	body, err := json.Marshal(usageReportBody{Counts: report.Counts, Epoch: report.Epoch, From: r.nodeName, Window: report.Window})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.collector, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the client can't repeat the request on its own.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if r.setHeaders != nil {
		r.setHeaders(request.Header, r.nodeName, report.Epoch)
	}
	return request, nil
}

// reportUsage posts a sealed window, and notifies the machine if the collector accepted it. Other outcomes
// are counted; the machine repeats the report.
func (n *Node) reportUsage(ctx context.Context, report registry.UsageReport) {
	switch n.reporter.post(ctx, report, n.Group.Now()) {
	case reportAccepted:
		n.Notify(registry.UsageDelivered{Window: report.Window})
	case reportFailed:
		n.counters.increment(counterReportsFailed)
	case reportTooLate:
		n.counters.increment(counterReportsTooLate)
	case reportRefused:
		n.counters.increment(counterReportsRefused)
	}
}
