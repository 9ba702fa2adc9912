package main

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/golden"
)

// The commands and flags, with their types and defaults, match the golden file.
func TestCommandLine(t *testing.T) {
	c := qt.New(t)
	text := strings.Builder{}
	for _, arguments := range [][]string{
		{"scaletest", "--help"},
		{"scaletest", "measure", "--help"},
		{"scaletest", "hollow-fleet", "--help"},
	} {
		text.WriteString("=== " + strings.Join(arguments, " ") + "\n" + golden.CommandLine(golden.Output(c, main, arguments...)))
	}
	golden.Check(c, "command-line.txt", text.String())
}
