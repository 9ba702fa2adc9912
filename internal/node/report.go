package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

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

// report posts a sealed window to the collector, unless its time is over.
func (n *Node) report(ctx context.Context, report registry.Report) {
	body, err := json.Marshal(usageReport{Counts: report.Counts, Epoch: report.Epoch, From: n.Settings.Node, Window: report.Window})
	if err != nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, n.Settings.ReportEvery())
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodPost, n.Settings.Collector, bytes.NewReader(body))
	if err != nil || n.Group.Now() > report.Until {
		return
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if n.setReportHeaders != nil {
		n.setReportHeaders(request.Header, n.Settings.Node, report.Epoch)
	}
	response, err := reportClient.Do(request)
	if err != nil {
		n.count("reports_failed")
		return
	}
	defer response.Body.Close()
	io.Copy(io.Discard, io.LimitReader(response.Body, maxReportAnswer))
	if response.StatusCode/100 == http.StatusOK/100 {
		n.Tell(registry.Reported{Window: report.Window})
	}
}

var reportClient = &http.Client{
	Transport:     &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 2},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}
