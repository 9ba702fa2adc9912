// The HTTP interface towards operators: which path asks what, and how each answer is put.
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

// standIn is a control machine that replies with one code, and tells in the body what it was
// asked. A silent one never replies.
type standIn struct {
	code   errcode.Code
	silent bool
}

func (m *standIn) Handle(*statemachine.Env, string, any)  {}
func (m *standIn) Tick(*statemachine.Env)                 {}
func (m *standIn) Synced(*statemachine.Env, int64, error) {}
func (m *standIn) HandleRequest(env *statemachine.Env, requestID int64, question any) {
	env.Event("an-event", 4003, 7, "a cause")
	if m.silent {
		return
	}
	env.Reply(requestID, registry.OperatorResponse{Code: m.code, Body: []byte(`{"asked":"` + asked(question) + `"}`)})
}

// asked returns a question as text that no renaming of its type changes.
func asked(question any) string {
	switch it := question.(type) {
	case registry.WriteConfiguration:
		return fmt.Sprintf("write %s %d %d bytes, checked %t, %d faults", it.ConfigName, it.Version, len(it.Body),
			it.Check.Done, len(it.Check.Faults))
	case registry.ReadConfiguration:
		return fmt.Sprintf("get %s %d list %t", it.ConfigName, it.Version, it.List)
	case registry.ReadConfigurationStatus:
		return fmt.Sprintf("configuration status %s %d", it.ConfigName, it.Version)
	case registry.ReadUsage:
		return fmt.Sprintf("usage %d", it.Window)
	case registry.ReadStatus:
		return "status"
	case registry.ReadRoster:
		return "roster"
	case registry.ReadReadiness:
		return "ready"
	}
	return "unknown"
}

// runProcess runs a machine as a process on a free address until the test ends.
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

func standInSettings() settings.Settings {
	cfg := settings.Default()
	cfg.Node, cfg.Zone, cfg.Zones, cfg.Address = "one", "north", []string{"north", "south"}, "127.0.0.1:0"
	cfg.Limits.Configuration = 200
	// Without ticks no event of a late control thread gets into the journal.
	const hour = 3_600_000
	cfg.Bounds.ConfigurationInForce, cfg.Bounds.HolderCooldown, cfg.Bounds.CatchUp, cfg.Bounds.Restore = hour, hour*2, hour*2, hour*10
	return cfg
}

// fixed replaces what differs from run to run.
func fixed(text string) string {
	for pattern, stands := range map[string]string{
		`"at_ms":\d+`:        `"at_ms":1`,
		`"wall":"[^"]+"`:     `"wall":"2026-01-02T03:04:05Z"`,
		`"goroutines":\d+`:   `"goroutines":1`,
		`"control_(\w+)":\d`: `"control_$1":1`,
	} {
		text = regexp.MustCompile(pattern).ReplaceAllString(text, stands)
	}
	return regexp.MustCompile(`("control_\w+":1)\d+`).ReplaceAllString(text, "$1")
}

func exchange(handler http.Handler, method, target, body string) string {
	in := httptest.NewRequest(method, target, strings.NewReader(body))
	return serve(handler, in)
}

func serve(handler http.Handler, in *http.Request) string {
	out := httptest.NewRecorder()
	handler.ServeHTTP(out, in)
	return golden.Response(out.Code, out.Result().Header, fixed(out.Body.String()))
}

const goodConfiguration = `{"services":["dispatch"],"tenants":[{"name":"t","keys":["secret"]}],` +
	`"routes":[{"name":"r","service":"dispatch","path":"/a","methods":["GET"],"callers":["*"]}]}`

// Each path of a registry, with the machine's answer OK.
func TestRegistryPaths(t *testing.T) {
	c := qt.New(t)
	cfg := standInSettings()
	handler := api.NewRegistryHandler(cfg, runProcess(c, cfg, message.RoleRegistry, &standIn{code: errcode.OK}))
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
		{"PUT", "/v1/configurations/main/3", goodConfiguration},
		{"PUT", "/v1/configurations/main", goodConfiguration},
		{"PUT", "/v1/configurations/main/4", `{"services":1}`},
		{"PUT", "/v1/configurations/main/5", strings.Repeat("x", 202)},
		{"POST", "/v1/configurations/check", goodConfiguration},
		{"POST", "/v1/configurations/check", `{"services":1,"colour":2}`},
		{"POST", "/v1/configurations/check", strings.Repeat(" ", 201)},
		{"POST", "/v1/configurations/check", strings.Repeat("x", 202)},
		{"POST", "/v1/status", ""},
		{"GET", "/v2", ""},
	} {
		text.WriteString("=== " + call.method + " " + call.target + "\n" + exchange(handler, call.method, call.target, call.body))
	}
	golden.Check(c, "registry-paths.txt", text.String())
}

// The journal and the counters of a process, whose figures are replaced by fixed ones.
func TestJournalAndCounters(t *testing.T) {
	c := qt.New(t)
	cfg := standInSettings()
	handler := api.NewRegistryHandler(cfg, runProcess(c, cfg, message.RoleRegistry, &standIn{code: errcode.OK}))
	exchange(handler, "GET", "/v1/status", "")
	exchange(handler, "GET", "/v1/status", "")
	golden.Check(c, "journal.txt", exchange(handler, "GET", "/journal", ""))
	golden.Check(c, "registry-counters.txt", exchange(handler, "GET", "/counters", ""))
}

// Each code that a machine may answer with: its status and head.
func TestRegistryAnswersOfEachCode(t *testing.T) {
	c := qt.New(t)
	cfg := standInSettings()
	text := strings.Builder{}
	machine := &standIn{}
	handler := api.NewRegistryHandler(cfg, runProcess(c, cfg, message.RoleRegistry, machine))
	for _, code := range codes() {
		machine.code = code // read by the control goroutine after the request that follows
		text.WriteString("=== " + code.String() + "\n" + exchange(handler, "GET", "/v1/status", ""))
	}
	golden.Check(c, "registry-codes.txt", text.String())
}

// What is said when the control machine doesn't reply.
func TestSilentRegistry(t *testing.T) {
	c := qt.New(t)
	cfg := standInSettings()
	handler := api.NewRegistryHandler(cfg, runProcess(c, cfg, message.RoleRegistry, &standIn{silent: true}))
	text := strings.Builder{}
	for _, call := range []struct{ method, target, body string }{
		{"GET", "/ready", ""},
		{"GET", "/v1/configurations/main", ""},
		{"GET", "/v1/configurations/main/3/in-force", ""},
		{"PUT", "/v1/configurations/main/3", goodConfiguration},
	} {
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		in := httptest.NewRequest(call.method, call.target, strings.NewReader(call.body)).WithContext(gone)
		text.WriteString("=== " + call.method + " " + call.target + "\n" + serve(handler, in))
	}
	golden.Check(c, "registry-silent.txt", text.String())
}
