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

// maxReportAnswer, in bytes, is read of the collector's answer.
const maxReportAnswer = 1 << 16

// usageReport is the body of a report to the collector.
type usageReport struct {
	Counts map[string]int64 `json:"counts"` // by tenant
	Epoch  int64            `json:"epoch"`  // of the lease under which it is sent
	From   string           `json:"from"`   // the sending node
	Window int64            `json:"window"`
}

// reportOutcome is what became of a report.
type reportOutcome int

const (
	reportTaken   reportOutcome = iota // the collector took it
	reportRefused                      // the collector answered otherwise
	reportFailed                       // no answer came in time
	reportTooLate                      // its time was over before anything was sent
)

// reporter posts sealed usage windows to the collector. A collector that does not look at
// the fence must hear nothing of a holder whose lease has ended, also not what a cut held
// up: a post ends with its time, and its connection is then reset, which drops the bytes
// that are still on their way.
type reporter struct {
	collector  string
	from       string        // the node's name
	limit      time.Duration // of a post
	setHeaders func(header http.Header, nodeName string, epoch int64)
	client     *http.Client
}

// newReporter returns a reporter; setHeaders adds to the header of each post, and may be nil.
func newReporter(collector, from string, limit time.Duration, setHeaders func(header http.Header, nodeName string, epoch int64)) *reporter {
	transport := &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 2, DialContext: dialThatResets}
	refuseRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &reporter{collector: collector, from: from, limit: limit, setHeaders: setHeaders,
		client: &http.Client{Transport: transport, CheckRedirect: refuseRedirects}}
}

// dialThatResets makes a connection that is reset when it is closed.
func dialThatResets(ctx context.Context, network, address string) (net.Conn, error) {
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

// post sends a report once. The time is the process clock's.
func (r *reporter) post(ctx context.Context, report registry.UsageReport, now time.Duration) reportOutcome {
	limit := min(r.limit, report.Until-now)
	if limit <= 0 {
		return reportTooLate
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := r.request(limited, report)
	if err != nil {
		return reportFailed
	}
	response, err := r.client.Do(request)
	if err != nil {
		return reportFailed
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReportAnswer))
	if response.StatusCode/100 != http.StatusOK/100 {
		return reportRefused
	}
	return reportTaken
}

func (r *reporter) request(ctx context.Context, report registry.UsageReport) (*http.Request, error) {
	body, err := json.Marshal(usageReport{Counts: report.Counts, Epoch: report.Epoch, From: r.from, Window: report.Window})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.collector, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the client can't send it a second time by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if r.setHeaders != nil {
		r.setHeaders(request.Header, r.from, report.Epoch)
	}
	return request, nil
}

// report posts a sealed window and tells the machine once the collector has it.
func (n *Node) report(ctx context.Context, report registry.UsageReport) {
	switch n.reporter.post(ctx, report, n.Group.Now()) {
	case reportTaken:
		n.Tell(registry.UsageDelivered{Window: report.Window})
	case reportFailed:
		n.count("reports_failed")
	case reportTooLate:
		n.count("reports_too_late")
	case reportRefused:
		n.count("reports_refused")
	}
}
