package safeguard

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestWithout(t *testing.T) {
	c := qt.New(t)
	for _, guard := range All() {
		t.Run(guard.String(), func(t *testing.T) {
			Without(t, guard)
			for _, other := range All() {
				qt.Check(t, other.On(), qt.Equals, other != guard)
			}
		})
		c.Assert(guard.On(), qt.IsTrue)
	}
}

// Programs never disable a check or a rule: Without and WithoutField are called in test files only.
func TestOnlyTestFilesDisableChecks(t *testing.T) {
	c := qt.New(t)
	calls := []string{"safeguard." + "Without(", "safeguard." + "WithoutField("}
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, call := range calls {
			c.Check(strings.Contains(string(text), call), qt.IsFalse, qt.Commentf(path))
		}
		return err
	})
	c.Assert(err, qt.IsNil)
}

// docs/request-safety.md names every check.
func TestPageListsEveryCheck(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/request-safety.md")
	c.Assert(err, qt.IsNil)
	for _, guard := range All() {
		c.Check(strings.Contains(string(page), "`"+guard.String()+"`"), qt.IsTrue, qt.Commentf(guard.String()))
	}
}

func TestWithoutFieldSetsOneRule(t *testing.T) {
	c := qt.New(t)
	rules := struct{ one, other bool }{}
	WithoutField(&rules, "other", func() {
		c.Assert(rules.other, qt.IsTrue)
		c.Assert(rules.one, qt.IsFalse)
	})
	c.Assert(rules.other, qt.IsFalse)
	c.Assert(func() { WithoutField(&rules, "none", func() {}) }, qt.PanicMatches, ".*no rule.*")
}
