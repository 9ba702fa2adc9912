// The proxy's own paths: readiness, counters, announcements and their refusals.
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

// standInProxy replies with a status whose every field is filled.
type standInProxy struct{}

func (standInProxy) Handle(*statemachine.Env, string, any)  {}
func (standInProxy) Tick(*statemachine.Env)                 {}
func (standInProxy) Synced(*statemachine.Env, int64, error) {}
func (standInProxy) HandleRequest(env *statemachine.Env, requestID int64, question any) {
	switch question.(type) {
	case proxy.ReadStatus:
		env.Reply(requestID, proxy.Status{AgesMS: map[string]int64{"topic": 11}, Configurations: map[string]int64{"main": 12},
			Members: 13, Moves: 14,
			Parent: "registry/a", Path: []string{"registry/a", "proxy/b"}})
	case metrics.Read:
		env.Reply(requestID, []metrics.Sample{metrics.Of("figure", 1)})
	}
}

// proxyAPI returns the HTTP interface of a proxy with real frontend, backend and stages.
func proxyAPI(c *qt.C, cfg settings.Settings) (*api.Proxy, *node.Node) {
	process := runProcess(c, cfg, message.RoleProxy, standInProxy{})
	upstreams := backend.New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	front := frontend.New(cfg, upstreams.LookupDelegation)
	front.UseRetryMonitor(upstreams)
	caller := backend.NewUpstreamClient(cfg, upstreams, process.Group)
	stages := frontend.NewPipeline(cfg, front, upstreams, caller, process.Group, node.Self(cfg, message.RoleProxy), process.Notify)
	return api.NewProxy(cfg, process, process.Group, front, upstreams, stages), process
}

const goodAnnouncement = `{"service":"dispatch","instance":"d1","incarnation":5,"address":"127.0.0.1:9",` +
	`"zone":"north","slots":4,"warming":true,"leaving":false,"load":0.5,"number":1,"cold_ms":100}`

func TestProxyPaths(t *testing.T) {
	c := qt.New(t)
	cfg := standInSettings()
	cfg.TargetProof = settings.ProofTarget // no guard connection to the upstream
	paths, _ := proxyAPI(c, cfg)
	handler := paths.Handler()
	text := strings.Builder{}
	play := func(method, target, body string) {
		text.WriteString("=== " + method + " " + target + " " + body + "\n" + exchange(handler, method, target, body))
	}
	play("GET", "/beacon/live", "")
	play("GET", "/beacon/ready", "")
	play("GET", "/beacon/journal", "")
	play("GET", "/beacon/counters", "")
	play("POST", "/beacon/announce", goodAnnouncement)
	for _, change := range []struct{ old, new string }{
		{`"dispatch"`, `"a/b"`}, {`"d1"`, `""`}, {`"incarnation":5`, `"incarnation":0`}, {`127.0.0.1:9`, `host:9`}, {`"north"`, `"west"`},
		{`"slots":4`, `"slots":0`}, {`0.5`, `-1`}, {`"load"`, `"burden"`}, {`{`, ``}, {`"incarnation":5`, `"incarnation":4`},
	} {
		play("POST", "/beacon/announce", strings.Replace(goodAnnouncement, change.old, change.new, 1))
	}
	play("POST", "/beacon/announce/d2",
		`{"service":"dispatch","address":"127.0.0.1:9","zone":"north","slots":4,"state":"ready","unknown":1}`)
	play("POST", "/beacon/announce/d2", `{"service":"dispatch","address":"127.0.0.1:9","zone":"north","slots":4,"state":"gone"}`)
	play("POST", "/beacon/announce/d2", `{`)
	play("POST", "/beacon/signoff", `{"service":"dispatch","instance":"d1","incarnation":5}`)
	play("POST", "/beacon/signoff", `{"service":"dispatch","instance":"nobody","incarnation":5}`)
	play("POST", "/beacon/signoff", `{`)
	play("POST", "/beacon/signoff/d2", ``)
	play("GET", "/beacon/nothing", "")
	play("DELETE", "/beacon/live", "")
	play("GET", "/else", "")
	paths.BeginStop()
	play("GET", "/beacon/ready", "")
	play("POST", "/beacon/announce", goodAnnouncement)
	play("POST", "/beacon/announce/d2", `{"service":"dispatch","address":"127.0.0.1:9","zone":"north","slots":4,"state":"ready"}`)
	golden.Check(c, "proxy-paths.txt", text.String())
}

// Callers' paths go to the other handler.
func TestProxyPathsBesideCallers(t *testing.T) {
	c := qt.New(t)
	paths, _ := proxyAPI(c, standInSettings())
	callers := http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { out.Header().Set("X-Callers", in.RequestURI) })
	handler := paths.HandlerWithCallers(callers)
	text := strings.Builder{}
	for _, target := range []string{"/", "/beacon", "/beacon/", "/beacon/live", "/beacons", "/a%2fb/../c?d=e"} {
		out := httptest.NewRecorder()
		handler.ServeHTTP(out, httptest.NewRequest(http.MethodGet, target, nil))
		text.WriteString("=== " + target + "\n" + golden.Response(out.Code, out.Result().Header, out.Body.String()))
	}
	golden.Check(c, "proxy-paths-beside-callers.txt", text.String())
}
