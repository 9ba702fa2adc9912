// Package golden supports golden tests: it compares the output of a test with a file in the
// testdata directory of the test's package. The files record the externally visible formats of the
// system (HTTP responses, settings, result codes, metrics, command lines), which a refactoring must
// not change. Run the tests with -update-golden to rewrite the files, and review the diff before
// committing it.
package golden

import (
	"flag"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update-golden", false, "write the golden files instead of comparing with them")

// Check fails the test if got differs from the golden file with the given name. With -update-golden
// it writes got to the file instead.
func Check(c *qt.C, name, got string) {
	c.Helper()
	path := Path(name)
	if *update {
		c.Assert(os.MkdirAll(filepath.Dir(path), 0o755), qt.IsNil)
		c.Assert(os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
		return
	}
	c.Check(got, qt.Equals, Read(c, name), qt.Commentf(path))
}

// Path returns the path of the golden file with the given name, relative to the package of the
// running test.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Read returns the content of the golden file with the given name.
func Read(c *qt.C, name string) string {
	c.Helper()
	text, err := os.ReadFile(Path(name))
	c.Assert(err, qt.IsNil)
	return string(text)
}

// Updating reports whether this test run rewrites the golden files.
func Updating() bool { return *update }

// Response formats an HTTP response as text: the status, the header fields sorted by name, and the
// body. It omits the Date field, which differs between runs.
func Response(status int, header http.Header, body string) string {
	text := strings.Builder{}
	text.WriteString(strconv.Itoa(status) + "\n")
	fieldNames := []string{}
	for name := range header {
		if name != "Date" {
			fieldNames = append(fieldNames, name)
		}
	}
	slices.Sort(fieldNames)
	for _, name := range fieldNames {
		text.WriteString(name + ": " + strings.Join(header[name], ", ") + "\n")
	}
	text.WriteString("\n" + body)
	if !strings.HasSuffix(body, "\n") {
		text.WriteString("\n")
	}
	return text.String()
}

// Output runs the main function of a command with the given os.Args and returns its standard
// output. It replaces os.Stdout and os.Args for the duration of the call, so tests that use it must
// not run in parallel.
func Output(c *qt.C, mainFunction func(), arguments ...string) string {
	c.Helper()
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	savedStdout, savedArguments := os.Stdout, os.Args
	os.Stdout, os.Args = writer, arguments
	mainFunction()
	os.Stdout, os.Args = savedStdout, savedArguments
	c.Assert(writer.Close(), qt.IsNil)
	output, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	return string(output)
}

var (
	usageLine   = regexp.MustCompile(`^  \w+( \S+)+$`)
	commandLine = regexp.MustCompile(`^  ([a-z-]+) +\S`)
	flagLine    = regexp.MustCompile(`^ +(-\w, )?--([\w-]+)( \w+)?\s{2,}.*?(\(default .*\))?$`)
)

// CommandLine extracts the usage lines, the subcommands, and the flags with their types and defaults
// from the help text of a command. It omits the descriptions.
func CommandLine(help string) string {
	text, section := strings.Builder{}, ""
	for _, line := range strings.Split(help, "\n") {
		if strings.HasSuffix(line, ":") && !strings.HasPrefix(line, " ") {
			section = line
			continue
		}
		flagMatch, commandMatch := flagLine.FindStringSubmatch(line), commandLine.FindStringSubmatch(line)
		switch {
		case section == "Usage:" && usageLine.MatchString(line):
			text.WriteString("use" + line + "\n")
		case section == "Available Commands:" && commandMatch != nil:
			text.WriteString("command  " + commandMatch[1] + "\n")
		case section == "Flags:" && flagMatch != nil:
			text.WriteString(strings.TrimSpace("flag  "+flagMatch[1]+"--"+flagMatch[2]+flagMatch[3]+" "+flagMatch[4]) + "\n")
		}
	}
	return text.String()
}
