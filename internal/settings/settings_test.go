// Tests that all faults are reported together, that clashing bounds are refused and that the sample settings load.
package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSampleSettingsLoad(t *testing.T) {
	c := qt.New(t)
	paths, err := filepath.Glob("../../docs/settings/*.json")
	c.Assert(err, qt.IsNil)
	c.Assert(paths, qt.HasLen, 8)
	for _, path := range paths {
		role := strings.TrimSuffix(path[strings.LastIndex(path, "-")+1:], ".json")
		_, err := Load(role, path, nil)
		c.Check(err, qt.IsNil, qt.Commentf(path))
	}
}

func TestAllFaultsAreReported(t *testing.T) {
	c := qt.New(t)
	const file = `{"node":"a","node":"b","colour":1,"bounds":{"heartbeat":3},"address":"host:1",
		"seeds":["1.1.1.1:1"],"zones":["x"],"zone":"y"}`
	_, faults := Read("proxy", []byte(file), nil)
	text := strings.Join(faults, "\n")
	for _, expected := range []string{"node: key stands twice (1002)", "colour: unknown key (1001)",
		"bounds.heartbeat: unknown key (1001)", "address: want an IP number and a port, have host:1 (1002)", "outside: missing (1003)",
		"seeds: want three addresses (1002)", "zone: not among zones (1002)"} {
		c.Check(text, qt.Contains, expected)
	}
	_, faults = Read("proxy", []byte(`{`), nil)
	c.Assert(faults, qt.DeepEquals, []string{"$: not JSON (1005)"})
}

func TestClashingBoundsAndFlags(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile("../../docs/settings/jendela-registry.json")
	c.Assert(err, qt.IsNil)
	for change, expected := range map[string]string{
		`"holder_rest_ms": 4600`: "bounds.key_withdrawal_ms: a takeover would outlast it",
		`"usage_late_ms": 4000`:  "bounds.usage_late_ms: a takeover after the seal does not fit in it",
		`"sync_ms": 900`:         "bounds.sync_ms",
	} {
		changed := strings.Replace(string(body), `"sync_ms": 100`, change, 1)
		_, faults := Read("registry", []byte(changed), nil)
		c.Check(strings.Join(faults, "\n"), qt.Contains, expected)
	}
	cfg, faults := Read("registry", body, map[string]string{"node": "other", "seeds": "1.1.1.1:1,1.1.1.2:1,1.1.1.3:1"})
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(cfg.Node, qt.Equals, "other")
	c.Assert(cfg.Seeds[2], qt.Equals, "1.1.1.3:1")
}

func TestVoterCount(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile("../../docs/settings/jendela-registry.json")
	c.Assert(err, qt.IsNil)
	withoutVoters := regexp.MustCompile(`(?s)"voters?":\s*("[^"]*"|\[[^\]]*\]),|"active":\s*\{[^}]*\},`).ReplaceAllString(string(body), "")
	for added, expected := range map[string]string{
		``:                                     "voters: want the names of the three voters",
		`"voter_count":4,`:                     "voter_count: want an odd number from 1 to 99",
		`"voter_count":-1,`:                    "voter_count: want an odd number from 1 to 99",
		`"voter_count":3,"voter":"1",`:         "voter_count: stands instead of voter and voters, not beside them",
		`"found":true,"voters":["a","b","c"],`: "found: goes with voter_count only",
		`"voter_count":3,"active":{"usage":"core"},`: "active.usage: no such voter: core",
		`"voter_count":3,"puts":"lowest",`:           "puts: want rising or highest",
	} {
		_, faults := Read("registry", []byte(strings.Replace(withoutVoters, "{", "{"+added, 1)), nil)
		c.Check(strings.Join(faults, "\n"), qt.Contains, expected, qt.Commentf(added))
	}
	counted := strings.Replace(withoutVoters, "{", `{"voter_count":5,"active":{"usage":"5"},"puts":"highest",`, 1)
	cfg, faults := Read("registry", []byte(counted), map[string]string{"found": "true"})
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(cfg.Voters, qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
	c.Assert(cfg.Bootstrap, qt.IsTrue)
	c.Assert(Default().WritePolicy, qt.Equals, WritesRising)
}
