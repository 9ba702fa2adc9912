// A whole deployment in this process: one configuration store, one registry, one proxy and an
// upstream on real connections. It holds what the running system shows outside: each JSON
// answer with every field filled, the names of all metrics, a caller's request and answer, and
// the usage report.
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
	// answerTimeout is how long an answer may take to become what the golden file says.
	answerTimeout = 60 * time.Second
	// settleTime is how long to wait before golden files are written anew.
	settleTime = 8 * time.Second
	// pollInterval is the pause between two requests for the same answer.
	pollInterval = 50 * time.Millisecond
)

const deploymentConfiguration = `{"version":1,"services":["dispatch"],"tenants":[{"name":"clinic","keys":["secret"]}],
 "routes":[{"name":"send","service":"dispatch","path":"/messages","methods":["POST"],"callers":["frontdesk"],` +
	`"body_bytes":64,"timeout_ms":4000},
 {"name":"own","service":"dispatch","path":"/own","methods":["POST"],"callers":["nobody"]}]}`

// deployment is the running one.
type deployment struct {
	registry, configStore, proxy settings.Settings
	reports                      chan string // bodies of usage reports, with their heads
	requests                     chan string // what the upstream got
	names                        map[string]string
}

func freeAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

// start runs a program from its settings, as package cli does, until the test ends.
func start(c *qt.C, role string, cfg settings.Settings, module fx.Option) {
	checked, faults := settings.Read(role, []byte(marshal(c, cfg)), nil)
	c.Assert(faults, qt.HasLen, 0)
	group := goroutine.New()
	process := node.New(checked, role, group)
	protocols := cli.Protocols{Callers: frontend.NativeProtocol{}, Upstreams: backend.NativeProtocol{}}
	app := fx.New(fx.NopLogger, fx.Supply(checked, group, process, protocols), module)
	c.Assert(app.Err(), qt.IsNil)
	c.Assert(app.Start(context.Background()), qt.IsNil)
	c.Cleanup(func() {
		limited, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := app.Stop(limited); err != nil {
			c.Logf("%s stopped late: %v", role, err)
		}
	})
}

func marshal(c *qt.C, value any) string {
	text, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	return string(text)
}

// recordRequests serves HTTP, answers 200 with the body given, and passes on what it got.
func recordRequests(c *qt.C, received chan string, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		text, _ := io.ReadAll(in.Body)
		select {
		case received <- in.Method + " " + in.RequestURI + "\n" + golden.Response(0, in.Header, string(text)):
		default:
		}
		out.Header().Set("Content-Type", "text/plain")
		out.Header().Set("X-Of-Upstream", "kept")
		io.WriteString(out, body)
	}))
	c.Cleanup(server.Close)
	return server.URL
}

func startDeployment(c *qt.C) *deployment {
	d := &deployment{reports: make(chan string, 1000), requests: make(chan string, 1000), names: map[string]string{}}
	collector := recordRequests(c, d.reports, "")
	base := settings.Default()
	base.Zone, base.Zones, base.Regions = "north", []string{"north"}, map[string]string{"north": "west"}
	base.Seeds = []string{freeAddress(c), freeAddress(c), freeAddress(c)}
	base.Bounds.UsageWindow = 1000
	base.Limits.Grace = 3000
	registryAddress, configStoreAddress := base.Seeds[0], base.Seeds[1]
	core := func(name, address string) settings.Settings {
		cfg := base
		cfg.Node, cfg.Address, cfg.DataDirectory, cfg.VoterCount, cfg.Bootstrap = name, address, c.TempDir(), 1, true
		cfg.Anchors = []string{address}
		cfg.Collector, cfg.MetricsAddress = collector+"/reports", freeAddress(c)
		return cfg
	}
	d.configStore = core("store-1", configStoreAddress)
	d.registry = core("registry-1", registryAddress)
	d.registry.HTTPAddress = freeAddress(c)
	d.proxy = base
	d.proxy.Node, d.proxy.Address, d.proxy.HTTPAddress, d.proxy.MetricsAddress = "proxy-1", base.Seeds[2], freeAddress(c), freeAddress(c)
	start(c, message.RoleConfigStore, d.configStore, cli.ConfigStoreModule)
	start(c, message.RoleRegistry, d.registry, cli.RegistryModule)
	start(c, message.RoleProxy, d.proxy, cli.ProxyModule)
	for name, address := range map[string]string{"STORE": configStoreAddress, "REGISTRY": registryAddress,
		"REGISTRY-HTTP": d.registry.HTTPAddress,
		"PROXY":         d.proxy.Address, "PROXY-HTTP": d.proxy.HTTPAddress} {
		d.names[address] = name
	}
	return d
}

// call makes a request and returns its answer; status 0 means that none came completely.
func (d *deployment) call(
	c *qt.C, method, target string, header map[string]string, body string,
) (status int, fields http.Header, answer string) {
	in, err := http.NewRequest(method, "http://"+target, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	for name, value := range header {
		in.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	out, err := client.Do(in)
	if err != nil {
		return 0, http.Header{}, err.Error()
	}
	defer out.Body.Close()
	text, err := io.ReadAll(out.Body)
	if err != nil {
		return 0, http.Header{}, err.Error()
	}
	return out.StatusCode, out.Header, string(text)
}

// served makes a call until its answer is none of a busy process.
func (d *deployment) served(c *qt.C, method, target string, header map[string]string, body string) string {
	deadline := time.Now().Add(answerTimeout)
	for {
		status, fields, answer := d.call(c, method, target, header, body)
		if status != 0 && status != http.StatusServiceUnavailable || time.Now().After(deadline) {
			return golden.Response(status, fields, answer)
		}
		time.Sleep(pollInterval)
	}
}

// untilStatus makes a call until it has a status.
func (d *deployment) untilStatus(c *qt.C, wanted int, method, target string, header map[string]string, body string) string {
	deadline := time.Now().Add(answerTimeout)
	for {
		status, fields, answer := d.call(c, method, target, header, body)
		if status == wanted {
			return golden.Response(status, fields, answer)
		}
		if time.Now().After(deadline) {
			c.Fatalf("%s %s: status %d, wanted %d: %s", method, target, status, wanted, answer)
		}
		time.Sleep(pollInterval)
	}
}

// checkEventually compares a text with a golden file, and gets it anew until it is the same or
// answerTimeout is over.
func checkEventually(c *qt.C, name string, look func() string) {
	c.Helper()
	got := look()
	if !golden.Updating() {
		wanted := golden.Read(c, name)
		for deadline := time.Now().Add(answerTimeout); got != wanted && time.Now().Before(deadline); got = look() {
			time.Sleep(pollInterval)
		}
	}
	golden.Check(c, name, got)
}

// normalize replaces each figure and each text that differs from run to run in a JSON value.
func (d *deployment) normalize(value any) any {
	switch it := value.(type) {
	case map[string]any:
		for key := range it {
			it[key] = d.normalize(it[key])
		}
	case []any:
		for index := range it {
			it[index] = d.normalize(it[index])
		}
	case float64:
		return "number"
	case string:
		for address, name := range d.names {
			it = strings.ReplaceAll(it, address, name)
		}
		return it
	}
	return value
}

// normalizedAnswer makes a GET call and returns its answer with every figure replaced.
func (d *deployment) normalizedAnswer(c *qt.C, target string) string {
	status, fields, body := d.call(c, http.MethodGet, target, nil, "")
	fields.Del("Content-Length")
	var value any
	if err := json.Unmarshal([]byte(body), &value); err != nil {
		return golden.Response(status, fields, body)
	}
	if counters, isObject := value.(map[string]any); isObject {
		dropVarying(counters["process"])
		dropVarying(counters["answers"])
	}
	text, err := json.MarshalIndent(d.normalize(value), "", " ")
	c.Assert(err, qt.IsNil)
	return golden.Response(status, fields, string(text))
}

// dropVarying takes out the counters that only some runs have: of events, of what was lost,
// and of requests that came too early. TestRareCounters holds the names of those that are lost.
func dropVarying(counters any) {
	counts, isObject := counters.(map[string]any)
	if !isObject {
		return
	}
	for name := range counts {
		if strings.HasPrefix(name, "event_") || strings.HasPrefix(name, "Busy") || slices.Contains(rareCounters, name) {
			delete(counts, name)
		}
	}
}

var metricLine = regexp.MustCompile(`^([a-z_]+)(\{(\w+)=".*"\})? [-+.e\d]+$`)

// metricNames returns the names on a metrics page with their labels; a line of another form
// is given as it is. Which events and states there are is left out.
func (d *deployment) metricNames(c *qt.C, address string) string {
	_, fields, body := d.call(c, http.MethodGet, address+"/metrics", nil, "")
	names := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(body), "\n") {
		parts := metricLine.FindStringSubmatch(line)
		switch {
		case parts != nil && slices.Contains(rareCounters, strings.TrimPrefix(parts[1], "beaconvane_")):
		case parts == nil:
			names["not a sample: "+line] = true
		case parts[3] != "":
			names[parts[1]+"{"+parts[3]+"}"] = true
		default:
			names[parts[1]] = true
		}
	}
	return fields.Get("Content-Type") + "\n" + strings.Join(slices.Sorted(maps.Keys(names)), "\n") + "\n"
}

func (d *deployment) announce(c *qt.C, upstream string) {
	at, err := url.Parse(upstream)
	c.Assert(err, qt.IsNil)
	d.names[at.Host] = "UPSTREAM"
	body := fmt.Sprintf(`{"service":"dispatch","instance":"d1","incarnation":1,"address":"%s","zone":"north",`+
		`"slots":4,"warming":false,"leaving":false,"load":0.5}`, at.Host)
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

func TestDeployment(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	operators, callers := d.registry.HTTPAddress, d.proxy.HTTPAddress
	d.untilStatus(c, http.StatusNotFound, http.MethodGet, operators+"/v1/configurations/main", nil, "")
	written := d.untilStatus(c, http.StatusOK, http.MethodPut, operators+"/v1/configurations/main/1", nil, deploymentConfiguration)
	d.announce(c, recordRequests(c, d.requests, "done\n"))
	d.untilStatus(c, http.StatusOK, http.MethodGet, callers+"/beacon/ready", nil, "")
	goodHead := map[string]string{"X-Api-Key": "secret", "X-Calling-Service": "frontdesk", "X-Color": "red"}
	answered := d.untilStatus(c, http.StatusOK, http.MethodPost, callers+"/messages?a=b", goodHead, "hello")

	if golden.Updating() {
		time.Sleep(settleTime)
	}
	c.Check(written, qt.Contains, `"configuration":"main"`)
	golden.Check(c, "deployment-answer.txt", answered)
	golden.Check(c, "deployment-request.txt", d.normalizedRequest(<-d.requests))
	d.checkOperators(c)
	d.checkCallers(c, goodHead)
	checkEventually(c, "deployment-proxy-counters.txt", func() string { return d.normalizedAnswer(c, callers+"/beacon/counters") })
	checkEventually(c, "metrics-registry.txt", func() string { return d.metricNames(c, d.registry.MetricsAddress) })
	checkEventually(c, "metrics-configstore.txt", func() string { return d.metricNames(c, d.configStore.MetricsAddress) })
	checkEventually(c, "metrics-proxy.txt", func() string { return d.metricNames(c, d.proxy.MetricsAddress) })
	d.checkUsage(c)
}

// normalizedRequest replaces what differs in a request to an upstream.
func (d *deployment) normalizedRequest(text string) string {
	return regexp.MustCompile(`(X-Beacon-Pass|X-Request-Id): [0-9a-f]+`).ReplaceAllString(text, "$1: HEX")
}

// checkUsage looks at the first usage report that counts the tenant, and at the registry's
// answer for its window.
func (d *deployment) checkUsage(c *qt.C) {
	report := d.usageReport(c)
	window := regexp.MustCompile(`"window":(\d+)`).FindStringSubmatch(report)
	c.Assert(window, qt.HasLen, 2)
	report = regexp.MustCompile(`Content-Length: \d+\n`).ReplaceAllString(report, "")
	golden.Check(c, "deployment-report.txt", regexp.MustCompile(`":\d+`).ReplaceAllString(report, `":1`))
	checkEventually(c, "deployment-registry-usage.txt", func() string {
		return d.normalizedAnswer(c, d.registry.HTTPAddress+"/v1/usage/"+window[1])
	})
}

func (d *deployment) usageReport(c *qt.C) string {
	deadline := time.After(answerTimeout)
	for {
		select {
		case report := <-d.reports:
			if strings.Contains(report, "clinic") {
				return report
			}
		case <-deadline:
			c.Fatal("no usage report came")
		}
	}
}

// checkOperators looks at every answer that a registry gives.
func (d *deployment) checkOperators(c *qt.C) {
	at := d.registry.HTTPAddress
	for name, path := range map[string]string{
		"ready": "/ready", "status": "/v1/status", "roster": "/v1/roster", "configuration": "/v1/configurations/main",
		"version":  "/v1/configurations/main/1",
		"versions": "/v1/configurations/main/versions", "configuration-status": "/v1/configurations/main/status",
		"in-force": "/v1/configurations/main/1/in-force", "lacking": "/v1/configurations/main/9/in-force?wait_ms=1",
		"no-configuration": "/v1/configurations/other", "no-version": "/v1/configurations/main/9", "no-usage": "/v1/usage/9",
	} {
		checkEventually(c, "deployment-registry-"+name+".txt", func() string { return d.normalizedAnswer(c, at+path) })
	}
	text := strings.Builder{}
	for _, write := range []struct{ path, body string }{
		{"/v1/configurations/main/1", deploymentConfiguration},
		{"/v1/configurations/main/1", strings.Replace(deploymentConfiguration, "4000", "3000", 1)},
		{"/v1/configurations/main/2", `{"services":1}`},
		{"/v1/configurations/other/1", deploymentConfiguration},
	} {
		text.WriteString(d.served(c, http.MethodPut, at+write.path, nil, write.body))
	}
	golden.Check(c, "deployment-writes.txt", text.String())
}

// checkCallers looks at what callers are refused for.
func (d *deployment) checkCallers(c *qt.C, goodHead map[string]string) {
	text := strings.Builder{}
	for _, tried := range []struct {
		name, method, path, body string
		change                   map[string]string
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
		head := maps.Clone(goodHead)
		for name, value := range tried.change {
			head[name] = value
			if value == "" {
				delete(head, name)
			}
		}
		text.WriteString("=== " + tried.name + "\n" + d.served(c, tried.method, d.proxy.HTTPAddress+tried.path, head, tried.body))
	}
	golden.Check(c, "deployment-refusals.txt", text.String())
}
