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

// change is one write of a file, or a cut of its length, that was not synced yet.
type change struct {
	offset int
	body   []byte
	cut    bool // the length is set to offset
}

// outcome is what a loss of power makes of a change.
type outcome struct {
	name string
	kept int  // bytes of the write that reached the disk; -1: all of it
	zero bool // the rest of the write is zeros
}

// unsyncedDisk keeps the changes of each file since it was last synced. After stopAfter
// operations it does nothing more, as a machine without power.
type unsyncedDisk struct {
	durable   map[string][]byte
	changes   map[string][]change
	stopAfter int
}

var errNoPower = errcode.Wrap("storage.test", errcode.DiskFault, fmt.Errorf("no power"))

func (d *unsyncedDisk) step() error {
	if d.stopAfter == 0 {
		return errNoPower
	}
	d.stopAfter--
	return nil
}

func applyChanges(body []byte, changes []change) []byte {
	body = append([]byte{}, body...)
	for _, next := range changes {
		end := next.offset + len(next.body)
		if next.cut {
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

func (d *unsyncedDisk) add(name string, next change) error {
	if err := d.step(); err != nil {
		return err
	}
	d.changes[name] = append(d.changes[name], next)
	return nil
}

// Write is two operations, as a file opened with O_TRUNC and then written is.
func (d *unsyncedDisk) Write(name string, body []byte) error {
	if err := d.add(name, change{cut: true}); err != nil {
		return err
	}
	return d.add(name, change{body: append([]byte{}, body...)})
}

func (d *unsyncedDisk) Append(name string, body []byte) error {
	whole, err := d.Read(name)
	if err != nil {
		return err
	}
	return d.add(name, change{offset: len(whole), body: append([]byte{}, body...)})
}

func (d *unsyncedDisk) Truncate(name string, size int64) error {
	return d.add(name, change{offset: int(size), cut: true})
}

func (d *unsyncedDisk) Sync(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable[name] = applyChanges(d.durable[name], d.changes[name])
	delete(d.changes, name)
	return nil
}

func (d *unsyncedDisk) SyncDirectory() error { return d.step() }

func (d *unsyncedDisk) copy() *unsyncedDisk {
	copied := &unsyncedDisk{durable: map[string][]byte{}, changes: map[string][]change{}, stopAfter: d.stopAfter}
	for name, body := range d.durable {
		copied.durable[name] = append([]byte{}, body...)
	}
	for name, changes := range d.changes {
		copied.changes[name] = append([]change{}, changes...)
	}
	return copied
}

// outcomes lists what may become of a change: present, absent, or torn at any byte.
func (c change) outcomes() []outcome {
	list := []outcome{{name: "present", kept: -1}, {name: "absent"}}
	if c.cut {
		return list
	}
	for kept := 1; kept < len(c.body); kept++ {
		list = append(list,
			outcome{fmt.Sprintf("first %d bytes", kept), kept, false},
			outcome{fmt.Sprintf("first %d bytes, then zeros", kept), kept, true})
	}
	return list
}

func (c change) after(done outcome) []change {
	switch {
	case done.kept < 0:
		return []change{c}
	case done.kept == 0:
		return nil
	case done.zero:
		torn := make([]byte, len(c.body))
		copy(torn, c.body[:done.kept])
		return []change{{offset: c.offset, body: torn}}
	}
	return []change{{offset: c.offset, body: c.body[:done.kept]}}
}

// afterPowerLoss calls then with every disk that a loss of power may leave.
func (d *unsyncedDisk) afterPowerLoss(then func(left *unsyncedDisk, how string)) {
	type lost struct {
		left map[string][]change
		how  string
	}
	states := []lost{{map[string][]change{}, ""}}
	for name, changes := range d.changes {
		for _, next := range changes {
			grown := []lost{}
			for _, state := range states {
				for _, done := range next.outcomes() {
					left := map[string][]change{}
					for other, kept := range state.left {
						left[other] = append([]change{}, kept...)
					}
					left[name] = append(left[name], next.after(done)...)
					how := fmt.Sprintf("%s %s@%d cut=%t: %s;", state.how, name, next.offset, next.cut, done.name)
					grown = append(grown, lost{left, how})
				}
			}
			states = grown
		}
	}
	for _, state := range states {
		left := d.copy()
		left.stopAfter = -1
		for name := range d.changes {
			left.durable[name] = applyChanges(d.durable[name], state.left[name])
		}
		left.changes = map[string][]change{}
		then(left, state.how)
	}
}

// storedState is what a store holds, as text.
func storedState(snapshot []byte, records [][]byte) string {
	return fmt.Sprintf("%q %q", snapshot, records)
}

// A store was opened, and one operation of it is under way when the power goes.
func lossDuring(c *qt.C, disk *unsyncedDisk, before, after string, operate func(store *Store) error) {
	for steps := 0; ; steps++ {
		under := disk.copy()
		store, _, _, err := Open(under)
		c.Assert(err, qt.IsNil)
		under.stopAfter = steps
		finished := operate(store) == nil
		under.afterPowerLoss(func(left *unsyncedDisk, how string) {
			where := qt.Commentf("after %d steps:%s", steps, how)
			again, snapshot, records, err := Open(left)
			c.Assert(err, qt.IsNil, where)
			found := storedState(snapshot, records)
			if finished || found != before {
				c.Assert(found, qt.Equals, after, where)
			}
			c.Assert(again.Append([][]byte{[]byte("later")}), qt.IsNil, where)
			_, snapshot, more, err := Open(left)
			c.Assert(err, qt.IsNil, where)
			c.Assert(storedState(snapshot, more), qt.Equals, storedState(snapshot, append(records, []byte("later"))), where)
		})
		if finished {
			return
		}
	}
}

// filled is a synced disk whose store holds a snapshot and records of an earlier generation's
// log besides.
func filled(c *qt.C) *unsyncedDisk {
	disk := &unsyncedDisk{durable: map[string][]byte{}, changes: map[string][]change{}, stopAfter: -1}
	store, _, _, err := Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Compact([]byte("one")), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("first"), []byte("second")}), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("third")}), qt.IsNil)
	return disk
}

// A snapshot replaces the log: whatever the power takes then, the store holds what it held
// before, or the snapshot alone, and never the snapshot with the old records behind it.
func TestPowerLossWhileTheLogIsReplaced(t *testing.T) {
	c := qt.New(t)
	records := [][]byte{[]byte("first"), []byte("second"), []byte("third")}
	lossDuring(c, filled(c), storedState([]byte("one"), records), storedState([]byte("two"), nil),
		func(store *Store) error { return store.Compact([]byte("two")) })
}

// An append may be torn at any byte: what was synced before it is there.
func TestPowerLossWhileARecordIsAppended(t *testing.T) {
	c := qt.New(t)
	synced := [][]byte{[]byte("first"), []byte("second"), []byte("third")}
	lossDuring(c, filled(c), storedState([]byte("one"), synced), storedState([]byte("one"), append(synced, []byte("fourth"))),
		func(store *Store) error { return store.Append([][]byte{[]byte("fourth")}) })
}

// A log of the format before, whose frames are not bound to a generation, is read and
// appended to until a snapshot replaces it; a crash in that leaves no old record behind.
func TestLogOfTheFormatBefore(t *testing.T) {
	c := qt.New(t)
	disk := filled(c)
	older := frameFormat{number: oldestLogFormat, generation: 1}
	head := encodeLogHeader(1)
	binary.BigEndian.PutUint32(head[4:], oldestLogFormat)
	binary.BigEndian.PutUint32(head[logChecksumAt:], crc32.Checksum(head[:logChecksumAt], checksumTable))
	disk.durable[logName] = append(head, older.encodeFrame([][]byte{[]byte("first")})...)
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

	// The cut of the length is lost.
	disk.durable[logName] = append(encodeLogHeader(2), older.encodeFrame([][]byte{[]byte("first")})...)
	_, snapshot, records, err = Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(storedState(snapshot, records), qt.Equals, storedState([]byte("two"), nil))
}
