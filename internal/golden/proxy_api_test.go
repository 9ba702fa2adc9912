// Golden tests of the proxy's API paths: readiness, counters, announcements and their refusals.
package golden_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/api"
	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/golden"
	"beaconvane/internal/message"
	"beaconvane/internal/metrics"
	"beaconvane/internal/node"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// stubProxyMachine is a state machine that replies with a status in which every field is set.
type stubProxyMachine struct{}

func (stubProxyMachine) Handle(*statemachine.Env, string, any)  {}
func (stubProxyMachine) Tick(*statemachine.Env)                 {}
func (stubProxyMachine) Synced(*statemachine.Env, int64, error) {}
func (stubProxyMachine) HandleRequest(env *statemachine.Env, requestID int64, request any) {
	switch request.(type) {
	case proxy.ReadStatus:
		env.Reply(requestID, proxy.Status{AgesMS: map[string]int64{"topic": 11}, Configurations: map[string]int64{"main": 12},
			Members: 13, Moves: 14,
			Parent: "registry/a", Path: []string{"registry/a", "proxy/b"}})
	case proxy.AwaitStored:
		env.Reply(requestID, proxy.DeregistrationStored{})
	case metrics.Read:
		env.Reply(requestID, []metrics.Sample{metrics.Of("figure", 1)})
	}
}

// newProxyAPI returns the HTTP API of a proxy with the real frontend, backend and request pipeline,
// and the process that runs stubProxyMachine.
func newProxyAPI(c *qt.C, cfg settings.Settings) (*api.Proxy, *node.Node) {
	process := runProcess(c, cfg, message.RoleProxy, stubProxyMachine{})
	upstreams := backend.New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	callerFrontend := frontend.New(cfg, upstreams.LookupDelegation)
	callerFrontend.UseRetryMonitor(upstreams)
	client := backend.NewUpstreamClient(cfg, upstreams, process.Group)
	pipeline := frontend.NewPipeline(cfg, callerFrontend, upstreams, client, process.Group,
		node.Self(cfg, message.RoleProxy), process.Notify)
	return api.NewProxy(cfg, process, process.Group, callerFrontend, upstreams, pipeline), process
}

const validAnnouncement = `{"service":"dispatch","instance":"d1","incarnation":5,"address":"127.0.0.1:9",` +
	`"zone":"north","slots":4,"warming":true,"leaving":false,"load":0.5,"number":1,"cold_ms":100}`

// TestProxyPaths records the response of each API path of a proxy, for valid and invalid requests,
// before and during the shutdown.
func TestProxyPaths(t *testing.T) {
	c := qt.New(t)
	cfg := testSettings()
	cfg.TargetProof = settings.ProofTarget // opens no guard connection to the upstream
	proxyAPI, _ := newProxyAPI(c, cfg)
	handler := proxyAPI.Handler()
	text := strings.Builder{}
	record := func(method, target, body string) {
		text.WriteString("=== " + method + " " + target + " " + body + "\n" + serveRequest(handler, method, target, body))
	}
	record("GET", "/beacon/live", "")
	record("GET", "/beacon/ready", "")
	record("GET", "/beacon/journal", "")
	record("GET", "/beacon/counters", "")
	record("POST", "/beacon/announce", validAnnouncement)
	for _, change := range []struct{ old, new string }{
		{`"dispatch"`, `"a/b"`}, {`"d1"`, `""`}, {`"incarnation":5`, `"incarnation":0`}, {`127.0.0.1:9`, `host:9`}, {`"north"`, `"west"`},
		{`"slots":4`, `"slots":0`}, {`0.5`, `-1`}, {`"load"`, `"burden"`}, {`{`, ``}, {`"incarnation":5`, `"incarnation":4`},
	} {
		record("POST", "/beacon/announce", strings.Replace(validAnnouncement, change.old, change.new, 1))
	}
	record("POST", "/beacon/announce/d2",
		`{"service":"dispatch","address":"127.0.0.1:9","zone":"north","slots":4,"state":"ready","unknown":1}`)
	record("POST", "/beacon/announce/d2", `{"service":"dispatch","address":"127.0.0.1:9","zone":"north","slots":4,"state":"gone"}`)
	record("POST", "/beacon/announce/d2", `{`)
	record("POST", "/beacon/signoff", `{"service":"dispatch","instance":"d1","incarnation":5}`)
	record("POST", "/beacon/signoff", `{"service":"dispatch","instance":"nobody","incarnation":5}`)
	record("POST", "/beacon/signoff", `{`)
	record("POST", "/beacon/signoff/d2", ``)
	record("GET", "/beacon/nothing", "")
	record("DELETE", "/beacon/live", "")
	record("GET", "/else", "")
	proxyAPI.BeginStop()
	record("GET", "/beacon/ready", "")
	record("POST", "/beacon/announce", validAnnouncement)
	record("POST", "/beacon/announce/d2", `{"service":"dispatch","address":"127.0.0.1:9","zone":"north","slots":4,"state":"ready"}`)
	golden.Check(c, "proxy-paths.txt", text.String())
}

// TestProxyPathsWithCallerHandler checks that a path outside the API goes to the handler of the
// callers' requests, unchanged.
func TestProxyPathsWithCallerHandler(t *testing.T) {
	c := qt.New(t)
	proxyAPI, _ := newProxyAPI(c, testSettings())
	callerHandler := http.HandlerFunc(func(out http.ResponseWriter, request *http.Request) {
		out.Header().Set("X-Callers", request.RequestURI)
	})
	handler := proxyAPI.HandlerWithCallers(callerHandler)
	text := strings.Builder{}
	for _, target := range []string{"/", "/beacon", "/beacon/", "/beacon/live", "/beacons", "/a%2fb/../c?d=e"} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
		text.WriteString("=== " + target + "\n" + golden.Response(recorder.Code, recorder.Result().Header, recorder.Body.String()))
	}
	golden.Check(c, "proxy-paths-beside-callers.txt", text.String())
}
