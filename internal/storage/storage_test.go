package storage

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
)

// memoryDirectory is a Directory in memory whose Sync can be made to fail.
type memoryDirectory struct {
	files    map[string][]byte
	failSync bool
}

func (m *memoryDirectory) Read(name string) ([]byte, error) {
	body, found := m.files[name]
	if !found {
		return nil, os.ErrNotExist
	}
	return append([]byte{}, body...), nil
}

func (m *memoryDirectory) Write(name string, body []byte) error {
	m.files[name] = append([]byte{}, body...)
	return nil
}

func (m *memoryDirectory) Append(name string, body []byte) error {
	m.files[name] = append(m.files[name], body...)
	return nil
}

func (m *memoryDirectory) Sync(string) error {
	if m.failSync {
		return errors.New("sync failed by the test")
	}
	return nil
}

func (m *memoryDirectory) SyncDirectory() error { return nil }

func (m *memoryDirectory) Truncate(name string, size int64) error {
	m.files[name] = m.files[name][:size]
	return nil
}

func (m *memoryDirectory) copy() *memoryDirectory {
	copied := &memoryDirectory{files: map[string][]byte{}}
	for name, body := range m.files {
		copied.files[name] = append([]byte{}, body...)
	}
	return copied
}

// newPopulatedDirectory returns a directory with two snapshots and a log of one frame with two records.
func newPopulatedDirectory(c *qt.C) *memoryDirectory {
	disk := &memoryDirectory{files: map[string][]byte{}}
	store, snapshot, _, err := Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot, qt.IsNil)
	c.Assert(store.Compact([]byte("one")), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("a")}), qt.IsNil)
	c.Assert(store.Compact([]byte("two")), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("first record"), []byte("second record")}), qt.IsNil)
	return disk
}

func TestOpenReturnsSnapshotAndRecords(t *testing.T) {
	c := qt.New(t)
	_, snapshot, records, err := Open(newPopulatedDirectory(c))
	c.Assert(err, qt.IsNil)
	c.Assert(string(snapshot), qt.Equals, "two")
	c.Assert(records, qt.DeepEquals, [][]byte{[]byte("first record"), []byte("second record")})
}

// A log that is truncated at any byte is opened without its torn frame, and can be appended to.
func TestTornTailIsCut(t *testing.T) {
	c := qt.New(t)
	disk := newPopulatedDirectory(c)
	log := disk.files[logName]
	for size := range len(log) {
		torn := disk.copy()
		torn.files[logName] = append([]byte{}, log[:size]...)
		store, snapshot, records, err := Open(torn)
		c.Assert(err, qt.IsNil, qt.Commentf("truncated to %d bytes", size))
		c.Assert(string(snapshot), qt.Equals, "two")
		c.Assert(len(records) < 2, qt.IsTrue)
		c.Assert(store.Append([][]byte{[]byte("later")}), qt.IsNil)
		_, _, recordsAfter, err := Open(torn)
		c.Assert(err, qt.IsNil)
		c.Assert(string(recordsAfter[len(recordsAfter)-1]), qt.Equals, "later")
		c.Assert(recordsAfter, qt.HasLen, len(records)+1)
	}
}

// A crash may leave any subset of the sectors of the last append, since a disk may write sectors in any
// order. Open then returns all earlier records, and the log can be appended to. If an intact frame follows
// the torn one, Open must fail.
func TestSectorsOutOfOrder(t *testing.T) {
	c := qt.New(t)
	disk := newPopulatedDirectory(c)
	committedBytes := len(disk.files[logName])
	store, _, _, err := Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Append([][]byte{bytes.Repeat([]byte("long "), 300), []byte("x")}), qt.IsNil)
	logBytes := len(disk.files[logName])
	sectors := logBytes/sectorBytes + 1
	for missingSectors := 1; missingSectors < 1<<sectors; missingSectors++ {
		crashed := disk.copy()
		torn := false
		for number := range sectors {
			sectorEnd := min(logBytes, (number+1)*sectorBytes)
			for index := max(committedBytes, number*sectorBytes); missingSectors>>number&1 == 1 && index < sectorEnd; index++ {
				crashed.files[logName][index], torn = 0, true
			}
		}
		followed := crashed.copy()
		followed.files[logName] = append(followed.files[logName], currentFormat(2).encodeFrame([][]byte{[]byte("synced later")})...)
		reopened, _, records, err := Open(crashed)
		c.Assert(err, qt.IsNil, qt.Commentf("missing sectors %b of %d", missingSectors, sectors))
		c.Assert(records, qt.HasLen, map[bool]int{true: 2, false: 4}[torn])
		c.Assert(reopened.Append([][]byte{[]byte("more")}), qt.IsNil)
		_, _, records, err = Open(crashed)
		c.Assert(err, qt.IsNil)
		c.Assert(string(records[len(records)-1]), qt.Equals, "more")
		_, _, _, err = Open(followed)
		c.Assert(err != nil, qt.Equals, torn)
	}
}

// After a bit flip in durable data, Open either fails with DiskCorrupt or returns all the data unchanged.
func TestFlippedBitIsRefused(t *testing.T) {
	c := qt.New(t)
	disk := newPopulatedDirectory(c)
	refused := 0
	for _, name := range []string{logName, slotNames[0]} {
		for index := range disk.files[name] {
			flipped := disk.copy()
			flipped.files[name][index] ^= 0x10
			_, snapshot, records, err := Open(flipped)
			if err != nil {
				c.Assert(errcode.CodeOf(err), qt.Equals, errcode.DiskCorrupt)
				refused++
				continue
			}
			found := fmt.Sprintf("%s %s", snapshot, records)
			c.Assert(found, qt.Equals, "two [first record second record]", qt.Commentf("%s byte %d", name, index))
		}
	}
	c.Assert(refused > 50, qt.IsTrue)
}

// If the write of a slot is torn, the older slot and its log are used.
func TestTornSlot(t *testing.T) {
	c := qt.New(t)
	disk := newPopulatedDirectory(c)
	before := disk.copy()
	store, _, _, err := Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Compact([]byte("three")), qt.IsNil)
	next := slotNames[store.slots.generation%2]
	for size := range len(disk.files[next]) {
		torn := before.copy()
		torn.files[next] = append([]byte{}, disk.files[next][:size]...)
		_, snapshot, records, err := Open(torn)
		c.Assert(err, qt.IsNil)
		c.Assert(string(snapshot), qt.Equals, "two")
		c.Assert(records, qt.HasLen, 2)
	}
}

// After one failed sync all later calls fail, even if the disk works again.
func TestStoreStaysFailedAfterFailedSync(t *testing.T) {
	c := qt.New(t)
	disk := newPopulatedDirectory(c)
	store, _, _, err := Open(disk)
	c.Assert(err, qt.IsNil)
	disk.failSync = true
	c.Assert(errcode.CodeOf(store.Append([][]byte{[]byte("x")})), qt.Equals, errcode.DiskFault)
	disk.failSync = false
	c.Assert(errcode.CodeOf(store.Append([][]byte{[]byte("y")})), qt.Equals, errcode.DiskFault)
	c.Assert(errcode.CodeOf(store.Compact([]byte("z"))), qt.Equals, errcode.DiskFault)
}
