package configstore

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

func numberedDocument(version int64) string {
	return document(fmt.Sprintf(`"note":"content %d",`, version))
}

// A committed write that is older than every kept body is acknowledged again, and another content under
// its number is not confirmed, in both modes of writing.
func TestOrdersTakenLongAgo(t *testing.T) {
	for _, writes := range []string{settings.WritesRising, settings.WritesHighest} {
		t.Run(writes, func(t *testing.T) {
			c := qt.New(t)
			b := newConfigLog(c, writes)
			last := settings.Default().Limits.RetainedVersions * 3
			for version := int64(1); version <= last; version++ {
				c.Assert(b.code(c, version, numberedDocument(version)), qt.Equals, errcode.OK)
			}
			c.Assert(int64(len(b.m.log.versions["main"])) < last, qt.IsTrue)
			for version := int64(1); version <= last; version++ {
				c.Assert(b.code(c, version, numberedDocument(version)), qt.Equals, errcode.OK, qt.Commentf("version %d", version))
				conflicting := numberedDocument(version + 1)
				c.Assert(b.code(c, version, conflicting), qt.Equals, errcode.ConfigurationConflict, qt.Commentf("version %d", version))
			}
			current, _ := b.m.current("main")
			c.Assert(current.Version, qt.Equals, last)
			c.Assert(string(current.Body), qt.Equals, numberedDocument(last))
		})
	}
}

// A write older than the digests that are remembered is neither confirmed under a number that rises nor
// refused.
func TestOrdersForgotten(t *testing.T) {
	c := qt.New(t)
	rising, highest := newConfigLog(c, settings.WritesRising), newConfigLog(c, settings.WritesHighest)
	for _, b := range []*configLog{rising, highest} {
		b.m.log.history.limit = 8
		for version := int64(1); version <= 20; version++ {
			c.Assert(b.code(c, version*2, numberedDocument(version)), qt.Equals, errcode.OK)
		}
		c.Assert(len(b.m.log.history.entries) <= 8, qt.IsTrue)
		c.Assert(b.code(c, 40, numberedDocument(20)), qt.Equals, errcode.OK)
		c.Assert(b.code(c, 40, numberedDocument(19)), qt.Equals, errcode.ConfigurationConflict)
	}
	c.Assert(rising.code(c, 2, numberedDocument(1)), qt.Equals, errcode.ConfigurationUnsure)
	c.Assert(rising.code(c, 2, numberedDocument(2)), qt.Equals, errcode.ConfigurationUnsure)
	c.Assert(rising.code(c, 39, numberedDocument(1)), qt.Equals, errcode.ConfigurationConflict)
	c.Assert(highest.code(c, 2, numberedDocument(1)), qt.Equals, errcode.OK)
	c.Assert(highest.code(c, 39, numberedDocument(1)), qt.Equals, errcode.OK)
}

// What is remembered comes back from the disk, from a snapshot and from records alike, and gives the same
// position.
func TestHistoryIsRestored(t *testing.T) {
	c := qt.New(t)
	b := newConfigLog(c, settings.WritesRising)
	b.m.log.history.limit = 40
	for version := int64(1); version <= 60; version++ {
		c.Assert(b.code(c, version, numberedDocument(version)), qt.Equals, errcode.OK)
	}
	restored, err := New(b.m.settings, message.Member{Name: "configstore/one"}, b.m.Snapshot(), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(restored.log.position(), qt.Equals, b.m.log.position())
	for _, version := range []int64{60, 50, 41} {
		c.Assert(restored.log.history.outcome("main", version, []byte(numberedDocument(version))), qt.Equals, committedSame)
		c.Assert(restored.log.history.outcome("main", version, []byte(numberedDocument(1))), qt.Equals, committedOther)
	}
	c.Assert(restored.log.history.outcome("main", 1, []byte(numberedDocument(1))), qt.Equals, forgotten)
	before := b.m.Snapshot()
	epoch, seq := b.m.log.epoch, b.m.log.seq+1
	next := message.StoredConfiguration{ConfigName: "main", Version: 61, Epoch: epoch, Seq: seq, Body: []byte(numberedDocument(61))}
	record, err := message.Encode(message.LogAppend{Epoch: epoch, Seq: seq, Configuration: next})
	c.Assert(err, qt.IsNil)
	c.Assert(b.code(c, 61, numberedDocument(61)), qt.Equals, errcode.OK)
	replayed, err := New(b.m.settings, message.Member{Name: "configstore/one"}, before, [][]byte{record})
	c.Assert(err, qt.IsNil)
	c.Assert(replayed.log.position().seq, qt.Equals, b.m.log.position().seq)
	c.Assert(replayed.log.history.outcome("main", 61, []byte(numberedDocument(61))), qt.Equals, committedSame)
}

// Two logs whose contents differ in nothing but a byte have different positions.
func TestPositionCoversContent(t *testing.T) {
	c := qt.New(t)
	positions := map[position]bool{}
	for _, note := range []string{"one", "two"} {
		b := newConfigLog(c, settings.WritesRising)
		b.m.log.append(1, 1, message.StoredConfiguration{ConfigName: "main", Version: 1, Epoch: 1, Seq: 1, Body: []byte(note)})
		positions[b.m.log.position()] = true
	}
	c.Assert(positions, qt.HasLen, 2)
}
