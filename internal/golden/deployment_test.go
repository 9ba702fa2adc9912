// Golden test of a complete deployment: one configuration store, one registry, one proxy and an
// upstream run in the test process and use real connections. The test records the external output
// of the running system: each JSON response with every field set, the names of all metrics, a
// caller's request and response, and the usage report.
package golden_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"beaconvane/internal/backend"
	"beaconvane/internal/cli"
	"beaconvane/internal/frontend"
	"beaconvane/internal/golden"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/settings"
)

const (
	// responseTimeout limits the wait until a response matches its golden file.
	responseTimeout = 60 * time.Second
	// settleTime is the wait before the golden files are rewritten, since the first responses of a
	// new deployment still change.
	settleTime = 8 * time.Second
	// pollInterval is the delay between two requests for the same response.
	pollInterval = 50 * time.Millisecond
)

const deploymentConfiguration = `{"version":1,"services":["dispatch"],"tenants":[{"name":"clinic","keys":["secret"]}],
 "routes":[{"name":"send","service":"dispatch","path":"/messages","methods":["POST"],"callers":["frontdesk"],` +
	`"body_bytes":64,"timeout_ms":4000},
 {"name":"own","service":"dispatch","path":"/own","methods":["POST"],"callers":["nobody"]}]}`

// deployment is the set of running processes and the requests that their HTTP peers received.
type deployment struct {
	registry, configStore, proxy settings.Settings
	reports                      chan string       // usage reports as the collector received them
	requests                     chan string       // requests as the upstream received them
	addressNames                 map[string]string // the name that replaces each address in the golden files
}

// unusedAddress returns a loopback address with a port that is free at the time of the call.
func unusedAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

// startProcess runs a program with the given settings, in the way that package cli does, until the
// test ends.
func startProcess(c *qt.C, role string, cfg settings.Settings, module fx.Option) {
	checked, faults := settings.Read(role, []byte(marshal(c, cfg)), nil)
	c.Assert(faults, qt.HasLen, 0)
	group := goroutine.New()
	process := node.New(checked, role, group)
	protocols := cli.Protocols{Callers: frontend.NativeProtocol{}, Upstreams: backend.NativeProtocol{}}
	app := fx.New(fx.NopLogger, fx.Supply(checked, group, process, protocols), module)
	c.Assert(app.Err(), qt.IsNil)
	c.Assert(app.Start(context.Background()), qt.IsNil)
	c.Cleanup(func() {
		stopContext, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := app.Stop(stopContext); err != nil {
			c.Logf("stopping the %s process: %v", role, err)
		}
	})
}

// marshal returns a value as JSON text.
func marshal(c *qt.C, value any) string {
	text, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	return string(text)
}

// startRecordingServer starts an HTTP server that responds with status 200 and the given body, and
// sends each request as text to received. It drops a request if the channel is full. It returns the
// URL of the server.
func startRecordingServer(c *qt.C, received chan string, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, request *http.Request) {
		text, _ := io.ReadAll(request.Body)
		select {
		case received <- request.Method + " " + request.RequestURI + "\n" + golden.Response(0, request.Header, string(text)):
		default:
		}
		out.Header().Set("Content-Type", "text/plain")
		out.Header().Set("X-Of-Upstream", "kept")
		io.WriteString(out, body)
	}))
	c.Cleanup(server.Close)
	return server.URL
}

// startDeployment starts the three processes and the collector, and registers the names that
// replace their addresses in the golden files.
func startDeployment(c *qt.C) *deployment {
	d := &deployment{reports: make(chan string, 1000), requests: make(chan string, 1000), addressNames: map[string]string{}}
	collector := startRecordingServer(c, d.reports, "")
	baseSettings := settings.Default()
	baseSettings.Zone, baseSettings.Zones, baseSettings.Regions = "north", []string{"north"}, map[string]string{"north": "west"}
	baseSettings.Seeds = []string{unusedAddress(c), unusedAddress(c), unusedAddress(c)}
	baseSettings.Bounds.UsageWindow = 1000
	baseSettings.Limits.Grace = 3000
	registryAddress, configStoreAddress := baseSettings.Seeds[0], baseSettings.Seeds[1]
	coreSettings := func(name, address string) settings.Settings {
		cfg := baseSettings
		cfg.Node, cfg.Address, cfg.DataDirectory, cfg.VoterCount, cfg.Bootstrap = name, address, c.TempDir(), 1, true
		cfg.Anchors = []string{address}
		cfg.Collector, cfg.MetricsAddress = collector+"/reports", unusedAddress(c)
		return cfg
	}
	d.configStore = coreSettings("store-1", configStoreAddress)
	d.registry = coreSettings("registry-1", registryAddress)
	d.registry.HTTPAddress = unusedAddress(c)
	d.proxy = baseSettings
	d.proxy.Node, d.proxy.Address, d.proxy.HTTPAddress, d.proxy.MetricsAddress =
		"proxy-1", baseSettings.Seeds[2], unusedAddress(c), unusedAddress(c)
	startProcess(c, message.RoleConfigStore, d.configStore, cli.ConfigStoreModule)
	startProcess(c, message.RoleRegistry, d.registry, cli.RegistryModule)
	startProcess(c, message.RoleProxy, d.proxy, cli.ProxyModule)
	for name, address := range map[string]string{"STORE": configStoreAddress, "REGISTRY": registryAddress,
		"REGISTRY-HTTP": d.registry.HTTPAddress,
		"PROXY":         d.proxy.Address, "PROXY-HTTP": d.proxy.HTTPAddress} {
		d.addressNames[address] = name
	}
	return d
}

// call sends a request and returns the response. Status 0 means that no complete response arrived;
// responseBody is then the text of the error.
func (d *deployment) call(
	c *qt.C, method, target string, header map[string]string, body string,
) (status int, responseHeader http.Header, responseBody string) {
	request, err := http.NewRequest(method, "http://"+target, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, http.Header{}, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, http.Header{}, err.Error()
	}
	return response.StatusCode, response.Header, string(text)
}

// callUntilServed repeats a call until a complete response with a status other than 503 arrives or
// responseTimeout has passed. It returns the last response.
func (d *deployment) callUntilServed(c *qt.C, method, target string, header map[string]string, body string) string {
	deadline := time.Now().Add(responseTimeout)
	for {
		status, responseHeader, responseBody := d.call(c, method, target, header, body)
		if status != 0 && status != http.StatusServiceUnavailable || time.Now().After(deadline) {
			return golden.Response(status, responseHeader, responseBody)
		}
		time.Sleep(pollInterval)
	}
}

// callUntilStatus repeats a call until the response has the expected status, and returns that
// response. It fails the test after responseTimeout.
func (d *deployment) callUntilStatus(c *qt.C, expectedStatus int, method, target string, header map[string]string, body string) string {
	deadline := time.Now().Add(responseTimeout)
	for {
		status, responseHeader, responseBody := d.call(c, method, target, header, body)
		if status == expectedStatus {
			return golden.Response(status, responseHeader, responseBody)
		}
		if time.Now().After(deadline) {
			c.Fatalf("%s %s: got status %d, expected %d, last response: %s", method, target, status, expectedStatus, responseBody)
		}
		time.Sleep(pollInterval)
	}
}

// checkEventually compares a text with a golden file. It fetches the text again until it matches or
// responseTimeout has passed.
func checkEventually(c *qt.C, name string, fetch func() string) {
	c.Helper()
	got := fetch()
	if !golden.Updating() {
		expected := golden.Read(c, name)
		for deadline := time.Now().Add(responseTimeout); got != expected && time.Now().Before(deadline); got = fetch() {
			time.Sleep(pollInterval)
		}
	}
	golden.Check(c, name, got)
}

// normalize replaces each number in a JSON value by "number" and each address by the name of its
// process, since both differ between runs.
func (d *deployment) normalize(value any) any {
	switch typed := value.(type) {
	case map[string]any:
		for key := range typed {
			typed[key] = d.normalize(typed[key])
		}
	case []any:
		for index := range typed {
			typed[index] = d.normalize(typed[index])
		}
	case float64:
		return "number"
	case string:
		for address, name := range d.addressNames {
			typed = strings.ReplaceAll(typed, address, name)
		}
		return typed
	}
	return value
}

// normalizedResponse sends a GET request and returns the response with normalized values.
func (d *deployment) normalizedResponse(c *qt.C, target string) string {
	status, header, body := d.call(c, http.MethodGet, target, nil, "")
	header.Del("Content-Length")
	var value any
	if err := json.Unmarshal([]byte(body), &value); err != nil {
		return golden.Response(status, header, body)
	}
	if sections, isObject := value.(map[string]any); isObject {
		removeVolatileCounters(sections["process"])
		removeVolatileCounters(sections["answers"])
	}
	text, err := json.MarshalIndent(d.normalize(value), "", " ")
	c.Assert(err, qt.IsNil)
	return golden.Response(status, header, string(text))
}

// removeVolatileCounters removes the counters that exist only in some runs: those of events, of
// failures, and of requests that arrived before the process was ready. TestFailureCounterNames
// checks the names of the failure counters.
func removeVolatileCounters(counters any) {
	counts, isObject := counters.(map[string]any)
	if !isObject {
		return
	}
	for name := range counts {
		if strings.HasPrefix(name, "event_") || strings.HasPrefix(name, "Busy") || slices.Contains(failureCounters, name) {
			delete(counts, name)
		}
	}
}

var sampleLine = regexp.MustCompile(`^([a-z_]+)(\{(\w+)=".*"\})? [-+.e\d]+$`)

// metricNames returns the metric names on a metrics page with their label names, and each line that
// is not a sample unchanged. It omits the label values, since the events and states that occur
// differ between runs.
func (d *deployment) metricNames(c *qt.C, address string) string {
	_, header, body := d.call(c, http.MethodGet, address+"/metrics", nil, "")
	names := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(body), "\n") {
		match := sampleLine.FindStringSubmatch(line)
		switch {
		case match != nil && slices.Contains(failureCounters, strings.TrimPrefix(match[1], "beaconvane_")):
		case match == nil:
			names["not a sample: "+line] = true
		case match[3] != "":
			names[match[1]+"{"+match[3]+"}"] = true
		default:
			names[match[1]] = true
		}
	}
	return header.Get("Content-Type") + "\n" + strings.Join(slices.Sorted(maps.Keys(names)), "\n") + "\n"
}

// startAnnouncing announces the upstream to the proxy at the heartbeat interval until the test ends.
func (d *deployment) startAnnouncing(c *qt.C, upstream string) {
	address, err := url.Parse(upstream)
	c.Assert(err, qt.IsNil)
	d.addressNames[address.Host] = "UPSTREAM"
	body := fmt.Sprintf(`{"service":"dispatch","instance":"d1","incarnation":1,"address":"%s","zone":"north",`+
		`"slots":4,"warming":false,"leaving":false,"load":0.5}`, address.Host)
	group := goroutine.New()
	c.Cleanup(func() { group.Stop(time.Second) })
	group.Go("announce", func(ctx context.Context) {
		for ctx.Err() == nil {
			d.call(c, http.MethodPost, d.proxy.HTTPAddress+"/beacon/announce", nil, body)
			select {
			case <-ctx.Done():
			case <-time.After(d.proxy.HeartbeatEvery()):
			}
		}
	})
}

// TestDeployment writes a configuration, announces an upstream and sends a caller's request, and then
// compares the external output of each process with the golden files.
func TestDeployment(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	registryHTTP, proxyHTTP := d.registry.HTTPAddress, d.proxy.HTTPAddress
	d.callUntilStatus(c, http.StatusNotFound, http.MethodGet, registryHTTP+"/v1/configurations/main", nil, "")
	putResponse := d.callUntilStatus(
		c, http.StatusOK, http.MethodPut, registryHTTP+"/v1/configurations/main/1", nil, deploymentConfiguration)
	d.startAnnouncing(c, startRecordingServer(c, d.requests, "done\n"))
	d.callUntilStatus(c, http.StatusOK, http.MethodGet, proxyHTTP+"/beacon/ready", nil, "")
	validHeader := map[string]string{"X-Api-Key": "secret", "X-Calling-Service": "frontdesk", "X-Color": "red"}
	callerResponse := d.callUntilStatus(c, http.StatusOK, http.MethodPost, proxyHTTP+"/messages?a=b", validHeader, "hello")

	if golden.Updating() {
		time.Sleep(settleTime)
	}
	c.Check(putResponse, qt.Contains, `"configuration":"main"`)
	golden.Check(c, "deployment-answer.txt", callerResponse)
	golden.Check(c, "deployment-request.txt", d.normalizedRequest(<-d.requests))
	d.checkRegistryResponses(c)
	d.checkCallerRefusals(c, validHeader)
	checkEventually(c, "deployment-proxy-counters.txt", func() string { return d.normalizedResponse(c, proxyHTTP+"/beacon/counters") })
	checkEventually(c, "metrics-registry.txt", func() string { return d.metricNames(c, d.registry.MetricsAddress) })
	checkEventually(c, "metrics-configstore.txt", func() string { return d.metricNames(c, d.configStore.MetricsAddress) })
	checkEventually(c, "metrics-proxy.txt", func() string { return d.metricNames(c, d.proxy.MetricsAddress) })
	d.checkUsageReport(c)
}

// normalizedRequest replaces the values in an upstream request that differ between runs.
func (d *deployment) normalizedRequest(text string) string {
	return regexp.MustCompile(`(X-Beacon-Pass|X-Request-Id): [0-9a-f]+`).ReplaceAllString(text, "$1: HEX")
}

// checkUsageReport checks the first usage report that includes the tenant, and the registry's usage
// response for the same window.
func (d *deployment) checkUsageReport(c *qt.C) {
	report := d.awaitUsageReport(c)
	window := regexp.MustCompile(`"window":(\d+)`).FindStringSubmatch(report)
	c.Assert(window, qt.HasLen, 2)
	report = regexp.MustCompile(`Content-Length: \d+\n`).ReplaceAllString(report, "")
	golden.Check(c, "deployment-report.txt", regexp.MustCompile(`":\d+`).ReplaceAllString(report, `":1`))
	checkEventually(c, "deployment-registry-usage.txt", func() string {
		return d.normalizedResponse(c, d.registry.HTTPAddress+"/v1/usage/"+window[1])
	})
}

// awaitUsageReport returns the first usage report that includes the tenant.
func (d *deployment) awaitUsageReport(c *qt.C) string {
	deadline := time.After(responseTimeout)
	for {
		select {
		case report := <-d.reports:
			if strings.Contains(report, "clinic") {
				return report
			}
		case <-deadline:
			c.Fatalf("no usage report with tenant %q within %v", "clinic", responseTimeout)
		}
	}
}

// checkRegistryResponses checks the response of each path of the registry.
func (d *deployment) checkRegistryResponses(c *qt.C) {
	registryHTTP := d.registry.HTTPAddress
	for name, path := range map[string]string{
		"ready": "/ready", "status": "/v1/status", "roster": "/v1/roster", "configuration": "/v1/configurations/main",
		"version":  "/v1/configurations/main/1",
		"versions": "/v1/configurations/main/versions", "configuration-status": "/v1/configurations/main/status",
		"in-force": "/v1/configurations/main/1/in-force", "lacking": "/v1/configurations/main/9/in-force?wait_ms=1",
		"no-configuration": "/v1/configurations/other", "no-version": "/v1/configurations/main/9", "no-usage": "/v1/usage/9",
	} {
		checkEventually(c, "deployment-registry-"+name+".txt", func() string { return d.normalizedResponse(c, registryHTTP+path) })
	}
	text := strings.Builder{}
	for _, write := range []struct{ path, body string }{
		{"/v1/configurations/main/1", deploymentConfiguration},
		{"/v1/configurations/main/1", strings.Replace(deploymentConfiguration, "4000", "3000", 1)},
		{"/v1/configurations/main/2", `{"services":1}`},
		{"/v1/configurations/other/1", deploymentConfiguration},
	} {
		text.WriteString(d.callUntilServed(c, http.MethodPut, registryHTTP+write.path, nil, write.body))
	}
	golden.Check(c, "deployment-writes.txt", text.String())
}

// checkCallerRefusals checks the response for each reason to refuse a request of a caller.
func (d *deployment) checkCallerRefusals(c *qt.C, validHeader map[string]string) {
	text := strings.Builder{}
	for _, testCase := range []struct {
		name, method, path, body string
		headerChanges            map[string]string // an empty value removes the field
	}{
		{"no key", "POST", "/messages", "", map[string]string{"X-Api-Key": ""}},
		{"unknown key", "POST", "/messages", "", map[string]string{"X-Api-Key": "other"}},
		{"bearer", "POST", "/messages", "", map[string]string{"X-Api-Key": "", "Authorization": "Bearer secret"}},
		{"caller refused", "POST", "/messages", "", map[string]string{"X-Calling-Service": "stranger"}},
		{"route refused", "POST", "/own", "", nil},
		{"no route", "GET", "/messages", "", nil},
		{"bad path", "POST", "/a/../messages", "", nil},
		{"too large", "POST", "/messages", strings.Repeat("x", 65), nil},
		{"bad pass", "POST", "/messages", "", map[string]string{"X-Api-Key": "", "X-Beacon-Pass": "0123"}},
	} {
		header := maps.Clone(validHeader)
		for name, value := range testCase.headerChanges {
			header[name] = value
			if value == "" {
				delete(header, name)
			}
		}
		text.WriteString("=== " + testCase.name + "\n" +
			d.callUntilServed(c, testCase.method, d.proxy.HTTPAddress+testCase.path, header, testCase.body))
	}
	golden.Check(c, "deployment-refusals.txt", text.String())
}
