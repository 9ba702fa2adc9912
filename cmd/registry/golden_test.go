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
		{"registry", "--help"},
		{"registry", "configuration", "--help"},
		{"registry", "configuration", "put", "--help"},
		{"registry", "configuration", "get", "--help"},
		{"registry", "configuration", "versions", "--help"},
		{"registry", "configuration", "status", "--help"},
		{"registry", "configuration", "wait", "--help"},
		{"registry", "configuration", "check", "--help"},
		{"registry", "status", "--help"},
		{"registry", "roster", "--help"},
		{"registry", "journal", "--help"},
		{"registry", "usage", "--help"},
		{"registry", "voter", "--help"},
		{"registry", "voter", "force-recover", "--help"},
	} {
		text.WriteString("=== " + strings.Join(arguments, " ") + "\n" + golden.CommandLine(golden.Output(c, main, arguments...)))
	}
	golden.Check(c, "command-line.txt", text.String())
}
