package settings

import (
	"fmt"
	"net"
	"sort"

	"beaconvane/internal/errcode"
)

// Fault is one error in the settings.
type Fault struct {
	Code errcode.Code
	Path string // of the setting, such as bounds.sync_ms; "$" for the whole file
	Text string
}

// String returns the fault as the line that is printed for an operator.
func (f Fault) String() string { return fmt.Sprintf("%s: %s (%d)", f.Path, f.Text, int(f.Code)) }

// Faults are all errors in the settings.
type Faults []Fault

// Lines returns the faults as sorted lines of text.
func (f Faults) Lines() []string {
	lines := []string{}
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	sort.Strings(lines)
	return lines
}

// add adds a fault.
func (f *Faults) add(code errcode.Code, path, text string) {
	*f = append(*f, Fault{code, path, text})
}

// invalidIf adds a fault if a value is malformed or out of range.
func (f *Faults) invalidIf(invalid bool, path, text string) {
	if invalid {
		f.add(errcode.ConfigBadValue, path, text)
	}
}

// missingIf adds a fault if a value that has no default is absent.
func (f *Faults) missingIf(absent bool, path, text string) {
	if absent {
		f.add(errcode.ConfigMissing, path, text)
	}
}

// clashIf adds a fault if bounds cannot be kept together.
func (f *Faults) clashIf(clash bool, path, text string) {
	if clash {
		f.add(errcode.ConfigBoundsClash, path, text)
	}
}

// checkAddress adds a fault unless the value is an IP address and a port.
func (f *Faults) checkAddress(path, value string) {
	if value == "" {
		f.add(errcode.ConfigMissing, path, "missing")
		return
	}
	host, port, err := net.SplitHostPort(value)
	f.invalidIf(err != nil || net.ParseIP(host) == nil || port == "", path, "want an IP number and a port, have "+value)
}

// checkPositive adds a fault for each value that is not above 0. The prefix completes the values' paths.
func (f *Faults) checkPositive(prefix string, values map[string]int64) {
	for name, value := range values {
		f.invalidIf(value <= 0, prefix+name, "want more than 0")
	}
}
