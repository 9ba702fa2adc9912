// The ledger of the brief is held to what exists: each test, scenario and real run it
// names is there, each of the twelve points and each failure of the brief has a row.
package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/fleet"
)

const ledgerPath = "../../docs/brief.md"

var namedProof = regexp.MustCompile(`(scenario:|real:|\bTest)([A-Za-z0-9-]+)`)

// tests lists the names of all test functions of the project.
func tests(c *qt.C) map[string]bool {
	names := map[string]bool{}
	c.Assert(filepath.Walk("..", func(path string, _ os.FileInfo, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		body, err := os.ReadFile(path)
		for _, found := range regexp.MustCompile(`(?m)^func (Test\w+)\(`).FindAllStringSubmatch(string(body), -1) {
			names[found[1]] = true
		}
		return err
	}), qt.IsNil)
	return names
}

// faultsOf lists what is wrong with a ledger.
func faultsOf(ledger string, tests map[string]bool) []string {
	faults := []string{}
	realScenarios := strings.Split(fleet.ScenarioNames(), ", ")
	rows := map[string]string{}
	for _, line := range strings.Split(ledger, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 8 || strings.TrimSpace(cells[1]) == "id" || strings.HasPrefix(cells[1], "---") {
			continue
		}
		id, proof, state := strings.TrimSpace(cells[1]), cells[4], strings.TrimSpace(cells[6])
		rows[id] = state
		named := namedProof.FindAllStringSubmatch(proof, -1)
		for _, name := range named {
			_, simulated := Scenarios[name[2]]
			there := name[1] == "scenario:" && simulated || name[1] == "real:" && slices.Contains(realScenarios, name[2]) ||
				name[1] == "Test" && tests["Test"+name[2]]
			if !there {
				faults = append(faults, fmt.Sprintf("%s names %s%s, which does not exist", id, name[1], name[2]))
			}
		}
		if !strings.HasPrefix(state, "proved") && !strings.HasPrefix(state, "partly") && !strings.HasPrefix(state, "missing") {
			faults = append(faults, fmt.Sprintf("%s has no state: %q", id, state))
		}
		if strings.HasPrefix(state, "proved") && len(named) == 0 {
			faults = append(faults, id+" is said to be proved by nothing")
		}
	}
	wanted := []string{}
	for point := range 12 {
		wanted = append(wanted, fmt.Sprintf("never.%d", point+1))
	}
	for _, failure := range []string{"replaced", "answers", "nodes", "disks", "turn", "cuts", "slow", "seeds", "freeze", "voter",
		"configurations", "last"} {
		wanted = append(wanted, "fails."+failure)
	}
	for _, id := range wanted {
		if _, there := rows[id]; !there {
			faults = append(faults, id+" has no row")
		}
	}
	return faults
}

func TestLedgerNamesWhatExists(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile(ledgerPath)
	c.Assert(err, qt.IsNil)
	names := tests(c)
	c.Assert(faultsOf(string(body), names), qt.HasLen, 0)
	broken := strings.ReplaceAll(string(body), "scenario:freeze", "scenario:frieze")
	c.Assert(faultsOf(broken, names), qt.Not(qt.HasLen), 0)
	c.Assert(faultsOf(strings.ReplaceAll(string(body), "| never.7 |", "| ever.7 |"), names), qt.DeepEquals, []string{"never.7 has no row"})
}
