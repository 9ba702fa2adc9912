// The frames of all messages, as they travel and stand on disks, against the bytes in
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

// update adds lines to the golden file for samples that have none. It never changes a line:
// processes of earlier versions and their disks hold the bytes that stand there.
var update = flag.Bool("update", false, "add the frames of new samples to testdata/frames.txt")

const (
	framesFile = "testdata/frames.txt"
	// longestLine of the golden file, in bytes, is above any sample's.
	longestLine = 1 << 20
	// numberOfKinds is how many kinds a byte tells apart.
	numberOfKinds = 256
)

// namedSample is a sample with the name under which its frame stands in the golden file.
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
	earlier := map[byte]int{}
	for _, one := range boolSamples {
		earlier[one.kind]++
		all = append(all, namedSample{one, fmt.Sprintf("%03d bool-%d", one.kind, earlier[one.kind])})
	}
	return all
}

// readFrames returns the frames of the golden file by name.
func readFrames(c *qt.C) map[string][]byte {
	frames := map[string][]byte{}
	file, err := os.Open(framesFile)
	if errors.Is(err, fs.ErrNotExist) && *update {
		return frames
	}
	c.Assert(err, qt.IsNil)
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, longestLine)
	previous := ""
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		c.Assert(fields, qt.HasLen, 3)
		name := fields[0] + " " + fields[1]
		c.Assert(name > previous, qt.IsTrue, qt.Commentf("%s is out of order or stands twice", name))
		previous = name
		frames[name], err = hex.DecodeString(fields[2])
		c.Assert(err, qt.IsNil)
	}
	c.Assert(lines.Err(), qt.IsNil)
	return frames
}

// addFrames writes the golden file with the frames that it lacks; those that it has stay.
func addFrames(c *qt.C, frames map[string][]byte) {
	for _, entry := range allSamples() {
		if _, kept := frames[entry.name]; kept {
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

// Each sample has the bytes of the golden file, and these are read as the sample.
func TestFramesStayAsTheyAre(t *testing.T) {
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
		again, err := message.Encode(decoded)
		c.Assert(err, qt.IsNil, comment)
		c.Check(hex.EncodeToString(again), qt.Equals, hex.EncodeToString(golden), comment)
		if strings.HasSuffix(entry.name, "full") {
			c.Check(decoded, qt.DeepEquals, entry.sample, comment)
		}
	}
}

// Every kind that the package knows has one full sample, and the samples have no other kind.
func TestEveryMessageKindHasASample(t *testing.T) {
	c := qt.New(t)
	sampled := map[byte]int{}
	for _, entry := range fullSamples {
		sampled[entry.kind]++
	}
	for kind := range numberOfKinds {
		want := 0
		if message.KindName(byte(kind)) != "" {
			want = 1
		}
		c.Check(sampled[byte(kind)], qt.Equals, want, qt.Commentf("kind %d %s", kind, message.KindName(byte(kind))))
	}
}

// fieldValues collects the values in a message that are neither structs nor collections.
type fieldValues struct {
	texts []string // of all but bools
	bools int
	empty int
}

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

// The samples are good for what they are there for: no field is empty, no two fields hold the
// same value, and each bool of a message with several is true alone in one sample.
func TestSamplesTellAllFieldsApart(t *testing.T) {
	c := qt.New(t)
	alone := map[byte]int{}
	for _, entry := range boolSamples {
		alone[entry.kind]++
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
			c.Check(alone[entry.kind], qt.Equals, values.bools, comment)
		}
	}
}

// Values that the processes compare, and that stand in messages and on disks.
func TestValuesInMessagesStayAsTheyAre(t *testing.T) {
	c := qt.New(t)
	for _, value := range []struct{ current, kept any }{
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
		c.Check(value.current, qt.Equals, value.kept)
	}
}
