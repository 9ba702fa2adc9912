// Package golden supports golden tests: it compares what a test got with a file in
// the testdata folder of the test's package. The files hold the outward forms of the system
// (HTTP answers, settings, result codes, metrics, command lines), which a change of the code
// must leave alone. Run the tests with -update-golden to write the files anew, and read the
// difference before it is committed.
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

// Check compares a text with the golden file of that name.
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

// Path returns where the golden file of a name is.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Read returns the golden file of a name.
func Read(c *qt.C, name string) string {
	c.Helper()
	text, err := os.ReadFile(Path(name))
	c.Assert(err, qt.IsNil)
	return string(text)
}

// Updating reports whether the golden files are being written anew.
func Updating() bool { return *update }

// Response returns an HTTP answer as text: its status, its header fields in the order of
// their names, and its body. The date is left out.
func Response(status int, header http.Header, body string) string {
	text := strings.Builder{}
	text.WriteString(strconv.Itoa(status) + "\n")
	names := []string{}
	for name := range header {
		if name != "Date" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		text.WriteString(name + ": " + strings.Join(header[name], ", ") + "\n")
	}
	text.WriteString("\n" + body)
	if !strings.HasSuffix(body, "\n") {
		text.WriteString("\n")
	}
	return text.String()
}

// Output runs the main function of a command with arguments, and returns what it printed.
func Output(c *qt.C, run func(), arguments ...string) string {
	c.Helper()
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	stdout, givenArguments := os.Stdout, os.Args
	os.Stdout, os.Args = writer, arguments
	run()
	os.Stdout, os.Args = stdout, givenArguments
	c.Assert(writer.Close(), qt.IsNil)
	printed, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	return string(printed)
}

var (
	usageLine   = regexp.MustCompile(`^  \w+( \S+)+$`)
	commandLine = regexp.MustCompile(`^  ([a-z-]+) +\S`)
	flagLine    = regexp.MustCompile(`^ +(-\w, )?--([\w-]+)( \w+)?\s{2,}.*?(\(default .*\))?$`)
)

// CommandLine returns what a command's help says of its use, its subcommands and its flags
// with their types and defaults, without the texts that explain them.
func CommandLine(help string) string {
	text, section := strings.Builder{}, ""
	for _, line := range strings.Split(help, "\n") {
		if strings.HasSuffix(line, ":") && !strings.HasPrefix(line, " ") {
			section = line
			continue
		}
		option, command := flagLine.FindStringSubmatch(line), commandLine.FindStringSubmatch(line)
		switch {
		case section == "Usage:" && usageLine.MatchString(line):
			text.WriteString("use" + line + "\n")
		case section == "Available Commands:" && command != nil:
			text.WriteString("command  " + command[1] + "\n")
		case section == "Flags:" && option != nil:
			text.WriteString(strings.TrimSpace("flag  "+option[1]+"--"+option[2]+option[3]+" "+option[4]) + "\n")
		}
	}
	return text.String()
}
