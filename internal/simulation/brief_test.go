// Checks docs/brief.md, the table of requirements: each test, scenario and real run it names exists,
// and each of the twelve points and each failure of the brief has a row.
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

const requirementsPath = "../../docs/brief.md"

var proofReference = regexp.MustCompile(`(scenario:|real:|\bTest)([A-Za-z0-9-]+)`)

// testFunctions returns the names of all test functions under internal/.
func testFunctions(c *qt.C) map[string]bool {
	names := map[string]bool{}
	c.Assert(filepath.Walk("..", func(path string, _ os.FileInfo, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		body, err := os.ReadFile(path)
		for _, match := range regexp.MustCompile(`(?m)^func (Test\w+)\(`).FindAllStringSubmatch(string(body), -1) {
			names[match[1]] = true
		}
		return err
	}), qt.IsNil)
	return names
}

// requirementFaults returns the faults of a requirements page, one sentence each.
func requirementFaults(page string, testNames map[string]bool) []string {
	faults := []string{}
	realScenarios := strings.Split(fleet.ScenarioNames(), ", ")
	rows := map[string]string{}
	for _, line := range strings.Split(page, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 8 || strings.TrimSpace(cells[1]) == "id" || strings.HasPrefix(cells[1], "---") {
			continue
		}
		id, proof, state := strings.TrimSpace(cells[1]), cells[4], strings.TrimSpace(cells[6])
		rows[id] = state
		references := proofReference.FindAllStringSubmatch(proof, -1)
		for _, reference := range references {
			_, simulated := Scenarios[reference[2]]
			exists := reference[1] == "scenario:" && simulated || reference[1] == "real:" && slices.Contains(realScenarios, reference[2]) ||
				reference[1] == "Test" && testNames["Test"+reference[2]]
			if !exists {
				faults = append(faults, fmt.Sprintf("%s names %s%s, which does not exist", id, reference[1], reference[2]))
			}
		}
		if !strings.HasPrefix(state, "proved") && !strings.HasPrefix(state, "partly") && !strings.HasPrefix(state, "missing") {
			faults = append(faults, fmt.Sprintf("%s has state %q, want one that begins with proved, partly or missing", id, state))
		}
		if strings.HasPrefix(state, "proved") && len(references) == 0 {
			faults = append(faults, id+" is marked as proved but names no test, scenario or real run")
		}
	}
	requiredIDs := []string{}
	for point := range 12 {
		requiredIDs = append(requiredIDs, fmt.Sprintf("never.%d", point+1))
	}
	for _, failure := range []string{"replaced", "answers", "nodes", "disks", "turn", "cuts", "slow", "seeds", "freeze", "voter",
		"configurations", "last"} {
		requiredIDs = append(requiredIDs, "fails."+failure)
	}
	for _, id := range requiredIDs {
		if _, exists := rows[id]; !exists {
			faults = append(faults, id+" has no row")
		}
	}
	return faults
}

func TestLedgerNamesWhatExists(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile(requirementsPath)
	c.Assert(err, qt.IsNil)
	testNames := testFunctions(c)
	c.Assert(requirementFaults(string(body), testNames), qt.HasLen, 0)
	broken := strings.ReplaceAll(string(body), "scenario:freeze", "scenario:frieze")
	c.Assert(requirementFaults(broken, testNames), qt.Not(qt.HasLen), 0)
	c.Assert(requirementFaults(strings.ReplaceAll(string(body), "| never.7 |", "| ever.7 |"), testNames),
		qt.DeepEquals, []string{"never.7 has no row"})
}
