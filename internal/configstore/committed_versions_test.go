package configstore

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// numberedDocument returns a configuration whose content differs for each version.
func numberedDocument(version int64) string {
	return document(fmt.Sprintf(`"note":"content %d",`, version))
}

// A repeated write of a committed version is acknowledged again even if its body was dropped from the log,
// and different content under its number is refused, in both write modes.
func TestRepeatedWriteAfterBodyIsDropped(t *testing.T) {
	for _, writes := range []string{settings.WritesRising, settings.WritesHighest} {
		t.Run(writes, func(t *testing.T) {
			c := qt.New(t)
			store := newSingleVoterStore(c, writes)
			lastVersion := settings.Default().Limits.RetainedVersions * 3
			for version := int64(1); version <= lastVersion; version++ {
				c.Assert(store.writeCode(c, version, numberedDocument(version)), qt.Equals, errcode.OK)
			}
			c.Assert(int64(len(store.machine.log.versions["main"])) < lastVersion, qt.IsTrue)
			for version := int64(1); version <= lastVersion; version++ {
				c.Assert(store.writeCode(c, version, numberedDocument(version)), qt.Equals, errcode.OK, qt.Commentf("version %d", version))
				conflicting := numberedDocument(version + 1)
				c.Assert(store.writeCode(c, version, conflicting), qt.Equals, errcode.ConfigurationConflict,
					qt.Commentf("version %d", version))
			}
			current, _ := store.machine.current("main")
			c.Assert(current.Version, qt.Equals, lastVersion)
			c.Assert(string(current.Body), qt.Equals, numberedDocument(lastVersion))
		})
	}
}

// A write whose number is not above the floor of the history gets the response that the outcome is unknown
// in the mode WritesRising, and is acknowledged in the mode WritesHighest.
func TestWriteOlderThanHistory(t *testing.T) {
	c := qt.New(t)
	rising, highest := newSingleVoterStore(c, settings.WritesRising), newSingleVoterStore(c, settings.WritesHighest)
	for _, store := range []*singleVoterStore{rising, highest} {
		store.machine.log.history.limit = 8
		for version := int64(1); version <= 20; version++ {
			c.Assert(store.writeCode(c, version*2, numberedDocument(version)), qt.Equals, errcode.OK)
		}
		c.Assert(len(store.machine.log.history.entries) <= 8, qt.IsTrue)
		c.Assert(store.writeCode(c, 40, numberedDocument(20)), qt.Equals, errcode.OK)
		c.Assert(store.writeCode(c, 40, numberedDocument(19)), qt.Equals, errcode.ConfigurationConflict)
	}
	c.Assert(rising.writeCode(c, 2, numberedDocument(1)), qt.Equals, errcode.ConfigurationUnsure)
	c.Assert(rising.writeCode(c, 2, numberedDocument(2)), qt.Equals, errcode.ConfigurationUnsure)
	c.Assert(rising.writeCode(c, 39, numberedDocument(1)), qt.Equals, errcode.ConfigurationConflict)
	c.Assert(highest.writeCode(c, 2, numberedDocument(1)), qt.Equals, errcode.OK)
	c.Assert(highest.writeCode(c, 39, numberedDocument(1)), qt.Equals, errcode.OK)
}

// The history is restored from a snapshot and from records.
func TestHistoryIsRestored(t *testing.T) {
	c := qt.New(t)
	store := newSingleVoterStore(c, settings.WritesRising)
	store.machine.log.history.limit = 40
	for version := int64(1); version <= 60; version++ {
		c.Assert(store.writeCode(c, version, numberedDocument(version)), qt.Equals, errcode.OK)
	}
	restored, err := New(store.machine.settings, message.Member{Name: "configstore/one"}, store.machine.Snapshot(), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(restored.log.position(), qt.Equals, store.machine.log.position())
	for _, version := range []int64{60, 50, 41} {
		c.Assert(restored.log.history.outcome("main", version, []byte(numberedDocument(version))), qt.Equals, committedSame)
		c.Assert(restored.log.history.outcome("main", version, []byte(numberedDocument(1))), qt.Equals, committedOther)
	}
	c.Assert(restored.log.history.outcome("main", 1, []byte(numberedDocument(1))), qt.Equals, olderThanHistory)
	before := store.machine.Snapshot()
	epoch, seq := store.machine.log.epoch, store.machine.log.seq+1
	next := message.StoredConfiguration{ConfigName: "main", Version: 61, Epoch: epoch, Seq: seq, Body: []byte(numberedDocument(61))}
	record, err := message.Encode(message.LogAppend{Epoch: epoch, Seq: seq, Configuration: next})
	c.Assert(err, qt.IsNil)
	c.Assert(store.writeCode(c, 61, numberedDocument(61)), qt.Equals, errcode.OK)
	replayed, err := New(store.machine.settings, message.Member{Name: "configstore/one"}, before, [][]byte{record})
	c.Assert(err, qt.IsNil)
	c.Assert(replayed.log.position().seq, qt.Equals, store.machine.log.position().seq)
	c.Assert(replayed.log.history.outcome("main", 61, []byte(numberedDocument(61))), qt.Equals, committedSame)
}

// Logs that differ only in the content of a version have different positions.
func TestPositionCoversContent(t *testing.T) {
	c := qt.New(t)
	positions := map[position]bool{}
	for _, note := range []string{"one", "two"} {
		store := newSingleVoterStore(c, settings.WritesRising)
		store.machine.log.append(1, 1, message.StoredConfiguration{ConfigName: "main", Version: 1, Epoch: 1, Seq: 1, Body: []byte(note)})
		positions[store.machine.log.position()] = true
	}
	c.Assert(positions, qt.HasLen, 2)
}
