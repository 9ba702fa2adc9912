// Package metrics is the page of a process's own figures: lines of text with a name, at most
// one label, and a number, in the exposition format that monitoring systems read. A control
// machine gives its samples as the answer to Read; the process adds its own.
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

// prefix begins the name of every sample.
const prefix = "beaconvane_"

// Read asks a control machine for its samples; the answer is a []Sample.
type Read struct{}

// Sample is one figure.
type Sample struct {
	Name  string // letters, digits and underscores; its unit stands at the end
	Label string // name of the label; "" for none
	About string // value of the label
	Value float64
}

// Of returns a sample without a label.
func Of(name string, value float64) Sample { return Sample{Name: name, Value: value} }

// About returns a sample with one label.
func About(name, label, about string, value float64) Sample {
	return Sample{Name: name, Label: label, About: about, Value: value}
}

// Flag returns a sample that is 1 where something holds, and 0 where it doesn't.
func Flag(name string, holds bool) Sample {
	if holds {
		return Of(name, 1)
	}
	return Of(name, 0)
}

// Seconds turns a duration into a sample's value.
func Seconds(length time.Duration) float64 { return length.Seconds() }

// Counts returns a sample for each of some counters, labelled by its key.
func Counts(name, label string, counts map[string]int64) []Sample {
	samples := make([]Sample, 0, len(counts))
	for about, count := range counts {
		samples = append(samples, About(name, label, about, float64(count)))
	}
	return samples
}

// Write writes samples as text, a line each, ordered by name and label.
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
		buffered.WriteString(prefix + sample.Name)
		if sample.Label != "" {
			fmt.Fprintf(buffered, "{%s=%s}", sample.Label, strconv.Quote(sample.About))
		}
		buffered.WriteByte(' ')
		buffered.WriteString(strconv.FormatFloat(sample.Value, 'g', -1, 64))
		buffered.WriteByte('\n')
	}
	return buffered.Flush()
}
