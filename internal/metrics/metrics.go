// Package metrics writes the metrics of a process in the Prometheus text exposition format: one line for
// each sample, with a name, at most one label and a number. A control machine returns its samples as the
// reply to Read; the process adds its own.
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// namePrefix is the prefix of every metric name.
const namePrefix = "beaconvane_"

// Read is a request to a control machine for its samples; the reply is a []Sample.
type Read struct{}

// Sample is the value of one metric at one moment.
type Sample struct {
	Name  string // letters, digits and underscores, with the unit at the end; namePrefix is added
	Label string // name of the label; "": no label
	About string // value of the label
	Value float64
}

// Of returns a sample without a label.
func Of(name string, value float64) Sample { return Sample{Name: name, Value: value} }

// About returns a sample with one label.
func About(name, label, labelValue string, value float64) Sample {
	return Sample{Name: name, Label: label, About: labelValue, Value: value}
}

// Flag returns a sample with the value 1 for true and 0 for false.
func Flag(name string, condition bool) Sample {
	if condition {
		return Of(name, 1)
	}
	return Of(name, 0)
}

// Seconds returns a duration in seconds, as the value of a sample.
func Seconds(duration time.Duration) float64 { return duration.Seconds() }

// Counts returns a sample for each counter, with the counter's key as the value of the label.
func Counts(name, label string, counts map[string]int64) []Sample {
	samples := make([]Sample, 0, len(counts))
	for labelValue, count := range counts {
		samples = append(samples, About(name, label, labelValue, float64(count)))
	}
	return samples
}

// Write writes one line for each sample, sorted by name and label value.
func Write(out io.Writer, samples []Sample) error {
	ordered := slices.Clone(samples)
	slices.SortFunc(ordered, func(left, right Sample) int {
		if byName := strings.Compare(left.Name, right.Name); byName != 0 {
			return byName
		}
		return strings.Compare(left.About, right.About)
	})
	buffered := bufio.NewWriter(out)
	for _, sample := range ordered {
		fmt.Fprintln(buffered, sample.text()) // Flush returns the first error
	}
	return buffered.Flush()
}

// text returns the sample in the exposition format.
func (s Sample) text() string {
	name := namePrefix + s.Name
	if s.Label != "" {
		name += fmt.Sprintf("{%s=%s}", s.Label, strconv.Quote(s.About))
	}
	return name + " " + strconv.FormatFloat(s.Value, 'g', -1, 64)
}
