// Golden tests of the operators' HTTP API: the request that each path makes, and the responses.
package golden_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/api"
	"beaconvane/internal/errcode"
	"beaconvane/internal/golden"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// stubMachine is a state machine that records an event for each request and replies with the same
// code and a body that describes the request. With noReply set it never replies.
type stubMachine struct {
	code    errcode.Code
	noReply bool
}

func (m *stubMachine) Handle(*statemachine.Env, string, any)  {}
func (m *stubMachine) Tick(*statemachine.Env)                 {}
func (m *stubMachine) Synced(*statemachine.Env, int64, error) {}
func (m *stubMachine) HandleRequest(env *statemachine.Env, requestID int64, request any) {
	env.Event("an-event", 4003, 7, "a cause")
	if m.noReply {
		return
	}
	env.Reply(requestID, registry.OperatorResponse{Code: m.code, Body: []byte(`{"asked":"` + describeRequest(request) + `"}`)})
}

// describeRequest formats a request as text that does not depend on the name of its Go type, so that
// renaming the type leaves the golden files unchanged.
func describeRequest(request any) string {
	switch typed := request.(type) {
	case registry.WriteConfiguration:
		return fmt.Sprintf("write %s %d %d bytes, checked %t, %d faults", typed.ConfigName, typed.Version, len(typed.Body),
			typed.Check.Done, len(typed.Check.Faults))
	case registry.ReadConfiguration:
		return fmt.Sprintf("get %s %d list %t", typed.ConfigName, typed.Version, typed.List)
	case registry.ReadConfigurationStatus:
		return fmt.Sprintf("configuration status %s %d", typed.ConfigName, typed.Version)
	case registry.ReadUsage:
		return fmt.Sprintf("usage %d", typed.Window)
	case registry.ReadStatus:
		return "status"
	case registry.ReadRoster:
		return "roster"
	case registry.ReadReadiness:
		return "ready"
	}
	return "unknown"
}

// runProcess runs a state machine as a process with the given role and settings until the test ends.
func runProcess(c *qt.C, cfg settings.Settings, role string, machine statemachine.Machine) *node.Node {
	group := goroutine.New()
	process := node.New(cfg, role, group)
	c.Assert(process.Run(machine, nil), qt.IsNil)
	c.Cleanup(func() {
		process.Transport.Close()
		group.Stop(time.Second)
	})
	return process
}

// testSettings returns the settings of a process that listens on any free loopback port.
func testSettings() settings.Settings {
	cfg := settings.Default()
	cfg.Node, cfg.Zone, cfg.Zones, cfg.Address = "one", "north", []string{"north", "south"}, "127.0.0.1:0"
	cfg.Limits.Configuration = 200
	// The tick interval derives from these bounds. Hours make it so long that no tick runs during a test and
	// no event of a late tick enters the journal.
	const hour = 3_600_000
	cfg.Bounds.ConfigurationInForce, cfg.Bounds.HolderCooldown, cfg.Bounds.CatchUp, cfg.Bounds.Restore = hour, hour*2, hour*2, hour*10
	return cfg
}

// normalizeBody replaces the values in a response body that differ between runs.
func normalizeBody(text string) string {
	for pattern, replacement := range map[string]string{
		`"at_ms":\d+`:        `"at_ms":1`,
		`"wall":"[^"]+"`:     `"wall":"2026-01-02T03:04:05Z"`,
		`"goroutines":\d+`:   `"goroutines":1`,
		`"control_(\w+)":\d`: `"control_$1":1`,
	} {
		text = regexp.MustCompile(pattern).ReplaceAllString(text, replacement)
	}
	return regexp.MustCompile(`("control_\w+":1)\d+`).ReplaceAllString(text, "$1")
}

// serveRequest serves a request with the given body and returns the response as text.
func serveRequest(handler http.Handler, method, target, body string) string {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	return serve(handler, request)
}

// serve serves a request and returns the response as text, with a normalized body.
func serve(handler http.Handler, request *http.Request) string {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return golden.Response(recorder.Code, recorder.Result().Header, normalizeBody(recorder.Body.String()))
}

const validConfiguration = `{"services":["dispatch"],"tenants":[{"name":"t","keys":["secret"]}],` +
	`"routes":[{"name":"r","service":"dispatch","path":"/a","methods":["GET"],"callers":["*"]}]}`

// TestRegistryPaths records the response of each path of a registry whose state machine replies with
// the code OK.
func TestRegistryPaths(t *testing.T) {
	c := qt.New(t)
	cfg := testSettings()
	handler := api.NewRegistryHandler(cfg, runProcess(c, cfg, message.RoleRegistry, &stubMachine{code: errcode.OK}))
	text := strings.Builder{}
	for _, call := range []struct{ method, target, body string }{
		{"GET", "/live", ""},
		{"GET", "/ready", ""},
		{"GET", "/v1/status", ""},
		{"GET", "/v1/roster", ""},
		{"GET", "/v1/usage/7", ""},
		{"GET", "/v1/usage/x", ""},
		{"GET", "/v1/configurations/main", ""},
		{"GET", "/v1/configurations/main/3", ""},
		{"GET", "/v1/configurations/main/versions", ""},
		{"GET", "/v1/configurations/main/status", ""},
		{"GET", "/v1/configurations/main/3/in-force?wait_ms=0", ""},
		{"GET", "/v1/configurations/main/x", ""},
		{"PUT", "/v1/configurations/main/3", validConfiguration},
		{"PUT", "/v1/configurations/main", validConfiguration},
		{"PUT", "/v1/configurations/main/4", `{"services":1}`},
		{"PUT", "/v1/configurations/main/5", strings.Repeat("x", 202)},
		{"POST", "/v1/configurations/check", validConfiguration},
		{"POST", "/v1/configurations/check", `{"services":1,"colour":2}`},
		{"POST", "/v1/configurations/check", strings.Repeat(" ", 201)},
		{"POST", "/v1/configurations/check", strings.Repeat("x", 202)},
		{"POST", "/v1/status", ""},
		{"GET", "/v2", ""},
	} {
		text.WriteString("=== " + call.method + " " + call.target + "\n" + serveRequest(handler, call.method, call.target, call.body))
	}
	golden.Check(c, "registry-paths.txt", text.String())
}

// TestJournalAndCounters records the journal and the counters of a process, with the values that
// differ between runs replaced.
func TestJournalAndCounters(t *testing.T) {
	c := qt.New(t)
	cfg := testSettings()
	handler := api.NewRegistryHandler(cfg, runProcess(c, cfg, message.RoleRegistry, &stubMachine{code: errcode.OK}))
	serveRequest(handler, "GET", "/v1/status", "")
	serveRequest(handler, "GET", "/v1/status", "")
	golden.Check(c, "journal.txt", serveRequest(handler, "GET", "/journal", ""))
	golden.Check(c, "registry-counters.txt", serveRequest(handler, "GET", "/counters", ""))
}

// TestRegistryResponsePerCode records the status and header of the response for each code that a
// state machine may reply with.
func TestRegistryResponsePerCode(t *testing.T) {
	c := qt.New(t)
	cfg := testSettings()
	text := strings.Builder{}
	machine := &stubMachine{}
	handler := api.NewRegistryHandler(cfg, runProcess(c, cfg, message.RoleRegistry, machine))
	for _, code := range sortedCodes() {
		machine.code = code // read by the control goroutine after the request that follows
		text.WriteString("=== " + code.String() + "\n" + serveRequest(handler, "GET", "/v1/status", ""))
	}
	golden.Check(c, "registry-codes.txt", text.String())
}

// TestRegistryWithoutReply records the responses when the state machine does not reply before the
// request is cancelled.
func TestRegistryWithoutReply(t *testing.T) {
	c := qt.New(t)
	cfg := testSettings()
	handler := api.NewRegistryHandler(cfg, runProcess(c, cfg, message.RoleRegistry, &stubMachine{noReply: true}))
	text := strings.Builder{}
	for _, call := range []struct{ method, target, body string }{
		{"GET", "/ready", ""},
		{"GET", "/v1/configurations/main", ""},
		{"GET", "/v1/configurations/main/3/in-force", ""},
		{"PUT", "/v1/configurations/main/3", validConfiguration},
	} {
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		request := httptest.NewRequest(call.method, call.target, strings.NewReader(call.body)).WithContext(cancelled)
		text.WriteString("=== " + call.method + " " + call.target + "\n" + serve(handler, request))
	}
	golden.Check(c, "registry-silent.txt", text.String())
}
