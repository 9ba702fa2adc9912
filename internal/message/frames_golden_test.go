// The tests in this file compare the frames of all messages, as sent and stored, with the bytes in
// testdata/frames.txt.
package message_test

import (
	"bufio"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"reflect"
	"sort"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// update adds lines to the golden file for samples that have none. Existing lines are never changed,
// since processes of earlier versions send these bytes and have them on disk.
var update = flag.Bool("update", false, "add the frames of new samples to testdata/frames.txt")

const (
	framesFile = "testdata/frames.txt"
	// maxLineBytes is the length limit of a line in the golden file. It exceeds the line of every sample.
	maxLineBytes = 1 << 20
	// numberOfKinds is the number of values of a kind byte.
	numberOfKinds = 256
)

// namedSample is a sample with the name of its line in the golden file.
type namedSample struct {
	goldenSample
	name string
}

// allSamples returns the samples of all messages.
func allSamples() []namedSample {
	all := []namedSample{}
	for _, full := range fullSamples {
		all = append(all, namedSample{full, fmt.Sprintf("%03d full", full.kind)})
	}
	boolCount := map[byte]int{}
	for _, sample := range boolSamples {
		boolCount[sample.kind]++
		all = append(all, namedSample{sample, fmt.Sprintf("%03d bool-%d", sample.kind, boolCount[sample.kind])})
	}
	return all
}

// readFrames returns the frames in the golden file by name.
func readFrames(c *qt.C) map[string][]byte {
	frames := map[string][]byte{}
	file, err := os.Open(framesFile)
	if errors.Is(err, fs.ErrNotExist) && *update {
		return frames
	}
	c.Assert(err, qt.IsNil)
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	previous := ""
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		c.Assert(fields, qt.HasLen, 3)
		name := fields[0] + " " + fields[1]
		c.Assert(name > previous, qt.IsTrue, qt.Commentf("%s is out of order or duplicated", name))
		previous = name
		frames[name], err = hex.DecodeString(fields[2])
		c.Assert(err, qt.IsNil)
	}
	c.Assert(lines.Err(), qt.IsNil)
	return frames
}

// addFrames adds the frames that are missing from the golden file. Existing frames are not changed.
func addFrames(c *qt.C, frames map[string][]byte) {
	for _, entry := range allSamples() {
		if _, exists := frames[entry.name]; exists {
			continue
		}
		frame, err := message.Encode(entry.sample)
		c.Assert(err, qt.IsNil)
		frames[entry.name] = frame
	}
	lines := []string{}
	for name, frame := range frames {
		lines = append(lines, name+" "+hex.EncodeToString(frame)+"\n")
	}
	sort.Strings(lines)
	c.Assert(os.MkdirAll("testdata", 0o755), qt.IsNil)
	c.Assert(os.WriteFile(framesFile, []byte(strings.Join(lines, "")), 0o644), qt.IsNil)
}

// Each sample is encoded to the bytes in the golden file, and these are decoded to the sample.
func TestFramesMatchGoldenFile(t *testing.T) {
	c := qt.New(t)
	frames := readFrames(c)
	if *update {
		addFrames(c, frames)
	}
	samples := allSamples()
	c.Assert(frames, qt.HasLen, len(samples))
	for _, entry := range samples {
		comment := qt.Commentf("%s %T", entry.name, entry.sample)
		golden, found := frames[entry.name]
		c.Assert(found, qt.IsTrue, comment)
		c.Check(golden[0], qt.Equals, entry.kind, comment)
		frame, err := message.Encode(entry.sample)
		c.Assert(err, qt.IsNil, comment)
		c.Check(hex.EncodeToString(frame), qt.Equals, hex.EncodeToString(golden), comment)
		decoded, err := message.Decode(golden)
		c.Assert(err, qt.IsNil, comment)
		reencoded, err := message.Encode(decoded)
		c.Assert(err, qt.IsNil, comment)
		c.Check(hex.EncodeToString(reencoded), qt.Equals, hex.EncodeToString(golden), comment)
		if strings.HasSuffix(entry.name, "full") {
			c.Check(decoded, qt.DeepEquals, entry.sample, comment)
		}
	}
}

// Every registered kind has exactly one full sample, and no sample has an unregistered kind.
func TestEveryMessageKindHasASample(t *testing.T) {
	c := qt.New(t)
	sampleCount := map[byte]int{}
	for _, entry := range fullSamples {
		sampleCount[entry.kind]++
	}
	for kind := range numberOfKinds {
		want := 0
		if message.KindName(byte(kind)) != "" {
			want = 1
		}
		c.Check(sampleCount[byte(kind)], qt.Equals, want, qt.Commentf("kind %d %s", kind, message.KindName(byte(kind))))
	}
}

// fieldValues collects the scalar values in a message.
type fieldValues struct {
	texts []string // text form of each value that is not a bool
	bools int      // number of bools
	empty int      // number of zero values
}

// collect adds the values in a message or a field.
func (v *fieldValues) collect(value reflect.Value) {
	if value.IsZero() {
		v.empty++
	}
	switch value.Kind() {
	case reflect.Struct:
		for index := range value.NumField() {
			v.collect(value.Field(index))
		}
	case reflect.Slice:
		if value.Type().Elem().Kind() == reflect.Uint8 {
			v.texts = append(v.texts, string(value.Bytes()))
			return
		}
		for index := range value.Len() {
			v.collect(value.Index(index))
		}
	case reflect.Map:
		for entries := value.MapRange(); entries.Next(); {
			v.collect(entries.Key())
			v.collect(entries.Value())
		}
	case reflect.Bool:
		v.bools++
	default:
		v.texts = append(v.texts, fmt.Sprint(value.Interface()))
	}
}

// Checks that the samples can detect a moved field: no field is empty, no two fields have the same value,
// and each bool of a message with several bools is the only true one in one sample.
func TestSamplesHaveDistinctValues(t *testing.T) {
	c := qt.New(t)
	boolSampleCount := map[byte]int{}
	for _, entry := range boolSamples {
		boolSampleCount[entry.kind]++
	}
	for _, entry := range fullSamples {
		comment := qt.Commentf("kind %d %T", entry.kind, entry.sample)
		values := &fieldValues{}
		values.collect(reflect.ValueOf(entry.sample))
		c.Check(values.empty, qt.Equals, 0, comment)
		distinct := map[string]bool{}
		for _, text := range values.texts {
			distinct[text] = true
		}
		c.Check(distinct, qt.HasLen, len(values.texts), comment)
		if values.bools > 1 {
			c.Check(boolSampleCount[entry.kind], qt.Equals, values.bools, comment)
		}
	}
}

// Checks the values that processes compare, and that are sent in messages and stored on disk.
func TestComparedValuesAreStable(t *testing.T) {
	c := qt.New(t)
	for _, value := range []struct{ current, expected any }{
		{message.RoleProxy, "proxy"},
		{message.RoleRegistry, "registry"},
		{message.RoleConfigStore, "configstore"},
		{message.Alive, int64(0)},
		{message.Suspect, int64(1)},
		{message.Dead, int64(2)},
		{message.Left, int64(3)},
		{message.StateCreated, "created"},
		{message.StateWarming, "warming"},
		{message.StateReady, "ready"},
		{message.StateDraining, "leaving"},
		{message.NotProbed, int64(0)},
		{message.ProbeAnswered, int64(1)},
		{message.ProbeRefused, int64(2)},
		{message.NotStarted, int64(1)},
		{message.Completed, int64(2)},
		{message.OutcomeUnknown, int64(3)},
		{message.StillRunning, int64(4)},
		{message.RefusedNoPath, "no path"},
		{message.RefusedLoop, "loop"},
		{message.RefusedNoLease, "no lease"},
		{message.RefusedFull, "full"},
	} {
		c.Check(value.current, qt.Equals, value.expected)
	}
}
