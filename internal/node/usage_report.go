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

// maxReportResponseBytes is how much is read of the collector's answer.
const maxReportResponseBytes = 1 << 16

// usageReportBody is the body of a report to the collector.
type usageReportBody struct {
	Counts map[string]int64 `json:"counts"` // by tenant
	Epoch  int64            `json:"epoch"`  // of the lease under which it is sent
	From   string           `json:"from"`   // the sending node
	Window int64            `json:"window"`
}

// reportOutcome is what became of a report.
type reportOutcome int

const (
	reportAccepted reportOutcome = iota // the collector took it
	reportRefused                       // the collector answered otherwise
	reportFailed                        // no answer came in time
	reportTooLate                       // the lease had ended before anything was sent
)

// usageReporter posts sealed usage windows to the collector. A collector that ignores the fencing
// token must hear nothing of a holder whose lease has ended, not even what a network partition has
// delayed: a post ends with the lease, and its connection is then reset, which drops the bytes that
// are still on their way.
type usageReporter struct {
	collector  string
	nodeName       string        // the node's name
	timeout      time.Duration // of a post
	setHeaders headerSetter
	client     *http.Client
}

// headerSetter adds to the header of a usage report who sends it under which epoch.
type headerSetter func(header http.Header, nodeName string, epoch int64)

// newUsageReporter returns a reporter; setHeaders may be nil.
func newUsageReporter(collector, nodeName string, timeout time.Duration, setHeaders headerSetter) *usageReporter {
	transport := &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 2, DialContext: dialWithReset}
	refuseRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &usageReporter{collector: collector, nodeName: nodeName, timeout: timeout, setHeaders: setHeaders,
		client: &http.Client{Transport: transport, CheckRedirect: refuseRedirects}}
}

// dialWithReset opens a connection that is reset when it is closed.
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

// post sends a report once, at a time of the process clock.
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

func (r *usageReporter) request(ctx context.Context, report registry.UsageReport) (*http.Request, error) {
	body, err := json.Marshal(usageReportBody{Counts: report.Counts, Epoch: report.Epoch, From: r.nodeName, Window: report.Window})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.collector, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the client can't send the report a second time by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if r.setHeaders != nil {
		r.setHeaders(request.Header, r.nodeName, report.Epoch)
	}
	return request, nil
}

// reportUsage posts a sealed window and tells the machine once the collector has it. A report that
// did not arrive is counted; the machine sends it again.
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
