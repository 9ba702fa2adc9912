package errcode

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The table in docs/codes.md has exactly the codes of Entries, with the same names, statuses and texts.
func TestCodesAreDocumented(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile("../../docs/codes.md")
	c.Assert(err, qt.IsNil)
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (\S+) \| (.+) \|$`).FindAllStringSubmatch(string(body), -1) {
		documented[row[1]+" "+row[2]+" "+row[3]+" "+row[4]] = true
	}
	for code, entry := range Entries {
		status := "-"
		if entry.Status != 0 {
			status = fmt.Sprint(entry.Status)
		}
		line := fmt.Sprintf("%d %s %s %s", int(code), entry.Name, status, entry.Text)
		c.Check(documented[line], qt.IsTrue, qt.Commentf("docs/codes.md lacks or contradicts: %s", line))
		delete(documented, line)
	}
	c.Assert(documented, qt.HasLen, 0, qt.Commentf("docs/codes.md has rows that Entries lacks"))
}
