package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
)

// fileChange is a write to a file, or a truncation, that has not been synced.
type fileChange struct {
	offset   int
	body     []byte
	truncate bool // the file is truncated to offset
}

// outcome is the effect of a power loss on a change.
type outcome struct {
	name       string
	keptBytes  int  // bytes of the write that reach the disk; -1: all
	zeroFilled bool // the rest of the write is replaced by zeros
}

// unsyncedDisk is a Directory that records the changes of each file since its last sync. Once
// remainingOperations is 0, all operations fail as after a power loss; a negative number means no limit.
type unsyncedDisk struct {
	durable             map[string][]byte
	changes             map[string][]fileChange
	remainingOperations int
}

var errPowerLost = errcode.Wrap("storage.test", errcode.DiskFault, fmt.Errorf("power lost"))

// countOperation counts one operation, or fails if the power is lost.
func (d *unsyncedDisk) countOperation() error {
	if d.remainingOperations == 0 {
		return errPowerLost
	}
	d.remainingOperations--
	return nil
}

// applyChanges returns a file's content after changes.
func applyChanges(body []byte, changes []fileChange) []byte {
	body = append([]byte{}, body...)
	for _, next := range changes {
		end := next.offset + len(next.body)
		if next.truncate {
			body = append([]byte{}, body[:min(len(body), next.offset)]...)
			continue
		}
		for len(body) < end {
			body = append(body, 0)
		}
		copy(body[next.offset:], next.body)
	}
	return body
}

func (d *unsyncedDisk) Read(name string) ([]byte, error) {
	body, found := d.durable[name]
	if !found && len(d.changes[name]) == 0 {
		return nil, os.ErrNotExist
	}
	return applyChanges(body, d.changes[name]), nil
}

// recordChange performs a change that is lost or torn by a power loss before the next sync.
func (d *unsyncedDisk) recordChange(name string, next fileChange) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.changes[name] = append(d.changes[name], next)
	return nil
}

// Write consists of two operations, a truncation and a write, as with O_TRUNC.
func (d *unsyncedDisk) Write(name string, body []byte) error {
	if err := d.recordChange(name, fileChange{truncate: true}); err != nil {
		return err
	}
	return d.recordChange(name, fileChange{body: append([]byte{}, body...)})
}

func (d *unsyncedDisk) Append(name string, body []byte) error {
	content, err := d.Read(name)
	if err != nil {
		return err
	}
	return d.recordChange(name, fileChange{offset: len(content), body: append([]byte{}, body...)})
}

func (d *unsyncedDisk) Truncate(name string, size int64) error {
	return d.recordChange(name, fileChange{offset: int(size), truncate: true})
}

func (d *unsyncedDisk) Sync(name string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.durable[name] = applyChanges(d.durable[name], d.changes[name])
	delete(d.changes, name)
	return nil
}

func (d *unsyncedDisk) SyncDirectory() error { return d.countOperation() }

func (d *unsyncedDisk) copy() *unsyncedDisk {
	copied := &unsyncedDisk{durable: map[string][]byte{}, changes: map[string][]fileChange{}, remainingOperations: d.remainingOperations}
	for name, body := range d.durable {
		copied.durable[name] = append([]byte{}, body...)
	}
	for name, changes := range d.changes {
		copied.changes[name] = append([]fileChange{}, changes...)
	}
	return copied
}

// outcomes lists the possible outcomes of a change: present, absent, or torn at any byte.
func (c fileChange) outcomes() []outcome {
	list := []outcome{{name: "present", keptBytes: -1}, {name: "absent"}}
	if c.truncate {
		return list
	}
	for kept := 1; kept < len(c.body); kept++ {
		list = append(list,
			outcome{fmt.Sprintf("first %d bytes", kept), kept, false},
			outcome{fmt.Sprintf("first %d bytes, then zeros", kept), kept, true})
	}
	return list
}

// withOutcome returns the changes that reach the disk under an outcome.
func (c fileChange) withOutcome(result outcome) []fileChange {
	switch {
	case result.keptBytes < 0:
		return []fileChange{c}
	case result.keptBytes == 0:
		return nil
	case result.zeroFilled:
		torn := make([]byte, len(c.body))
		copy(torn, c.body[:result.keptBytes])
		return []fileChange{{offset: c.offset, body: torn}}
	}
	return []fileChange{{offset: c.offset, body: c.body[:result.keptBytes]}}
}

// afterPowerLoss calls check for every state of the disk that a power loss may leave, with a description of
// the outcomes that lead to it.
func (d *unsyncedDisk) afterPowerLoss(check func(remaining *unsyncedDisk, description string)) {
	type powerLossState struct {
		changes     map[string][]fileChange
		description string
	}
	states := []powerLossState{{map[string][]fileChange{}, ""}}
	for name, changes := range d.changes {
		for _, next := range changes {
			extended := []powerLossState{}
			for _, state := range states {
				for _, result := range next.outcomes() {
					changesLeft := map[string][]fileChange{}
					for other, otherChanges := range state.changes {
						changesLeft[other] = append([]fileChange{}, otherChanges...)
					}
					changesLeft[name] = append(changesLeft[name], next.withOutcome(result)...)
					description := fmt.Sprintf("%s %s@%d truncate=%t: %s;",
						state.description, name, next.offset, next.truncate, result.name)
					extended = append(extended, powerLossState{changesLeft, description})
				}
			}
			states = extended
		}
	}
	for _, state := range states {
		remaining := d.copy()
		remaining.remainingOperations = -1
		for name := range d.changes {
			remaining.durable[name] = applyChanges(d.durable[name], state.changes[name])
		}
		remaining.changes = map[string][]fileChange{}
		check(remaining, state.description)
	}
}

// storedState formats the data of a store for comparison.
func storedState(snapshot []byte, records [][]byte) string {
	return fmt.Sprintf("%q %q", snapshot, records)
}

// checkPowerLossDuring interrupts an operation on an open store after each number of disk operations. In
// every state that the power loss may leave, the next Open must return the state before or after the
// operation, and the store must accept further records.
func checkPowerLossDuring(c *qt.C, disk *unsyncedDisk, before, after string, operate func(store *Store) error) {
	for operations := 0; ; operations++ {
		running := disk.copy()
		store, _, _, err := Open(running)
		c.Assert(err, qt.IsNil)
		running.remainingOperations = operations
		finished := operate(store) == nil
		running.afterPowerLoss(func(remaining *unsyncedDisk, description string) {
			comment := qt.Commentf("after %d operations:%s", operations, description)
			reopened, snapshot, records, err := Open(remaining)
			c.Assert(err, qt.IsNil, comment)
			found := storedState(snapshot, records)
			if finished || found != before {
				c.Assert(found, qt.Equals, after, comment)
			}
			c.Assert(reopened.Append([][]byte{[]byte("later")}), qt.IsNil, comment)
			_, snapshot, more, err := Open(remaining)
			c.Assert(err, qt.IsNil, comment)
			c.Assert(storedState(snapshot, more), qt.Equals, storedState(snapshot, append(records, []byte("later"))), comment)
		})
		if finished {
			return
		}
	}
}

// newFilledDisk returns a synced disk with a snapshot and a log of two frames.
func newFilledDisk(c *qt.C) *unsyncedDisk {
	disk := &unsyncedDisk{durable: map[string][]byte{}, changes: map[string][]fileChange{}, remainingOperations: -1}
	store, _, _, err := Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Compact([]byte("one")), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("first"), []byte("second")}), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("third")}), qt.IsNil)
	return disk
}

// If power is lost while a snapshot replaces the log, the store contains the old state or the new snapshot
// alone, but never the new snapshot with the old records.
func TestPowerLossWhileTheLogIsReplaced(t *testing.T) {
	c := qt.New(t)
	records := [][]byte{[]byte("first"), []byte("second"), []byte("third")}
	checkPowerLossDuring(c, newFilledDisk(c), storedState([]byte("one"), records), storedState([]byte("two"), nil),
		func(store *Store) error { return store.Compact([]byte("two")) })
}

// If an append is torn at any byte, all records that were synced before it are read.
func TestPowerLossWhileARecordIsAppended(t *testing.T) {
	c := qt.New(t)
	synced := [][]byte{[]byte("first"), []byte("second"), []byte("third")}
	checkPowerLossDuring(c, newFilledDisk(c),
		storedState([]byte("one"), synced), storedState([]byte("one"), append(synced, []byte("fourth"))),
		func(store *Store) error { return store.Append([][]byte{[]byte("fourth")}) })
}

// A log of the previous format, whose frames are not bound to a generation, is read and appended to until
// a snapshot replaces it. A crash during the replacement must not leave old records.
func TestLogOfPreviousFormat(t *testing.T) {
	c := qt.New(t)
	disk := newFilledDisk(c)
	previousFormat := frameFormat{version: oldestLogFormat, generation: 1}
	header := encodeLogHeader(1)
	binary.BigEndian.PutUint32(header[4:], oldestLogFormat)
	binary.BigEndian.PutUint32(header[logChecksumOffset:], crc32.Checksum(header[:logChecksumOffset], checksumTable))
	disk.durable[logName] = append(header, previousFormat.encodeFrame([][]byte{[]byte("first")})...)
	store, snapshot, records, err := Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(storedState(snapshot, records), qt.Equals, storedState([]byte("one"), [][]byte{[]byte("first")}))
	c.Assert(store.Append([][]byte{[]byte("second")}), qt.IsNil)
	_, _, records, err = Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.DeepEquals, [][]byte{[]byte("first"), []byte("second")})
	c.Assert(store.Compact([]byte("two")), qt.IsNil)
	_, snapshot, records, err = Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(storedState(snapshot, records), qt.Equals, storedState([]byte("two"), nil))

	// The log is left as by a crash that lost the truncation of the old content.
	disk.durable[logName] = append(encodeLogHeader(2), previousFormat.encodeFrame([][]byte{[]byte("first")})...)
	_, snapshot, records, err = Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(storedState(snapshot, records), qt.Equals, storedState([]byte("two"), nil))
}
