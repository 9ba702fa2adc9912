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

type memory struct {
	files map[string][]byte
	fail  bool
}

func (m *memory) Read(name string) ([]byte, error) {
	body, found := m.files[name]
	if !found {
		return nil, os.ErrNotExist
	}
	return append([]byte{}, body...), nil
}

func (m *memory) Write(name string, body []byte) error {
	m.files[name] = append([]byte{}, body...)
	return nil
}

func (m *memory) Append(name string, body []byte) error {
	m.files[name] = append(m.files[name], body...)
	return nil
}

func (m *memory) Sync(string) error {
	if m.fail {
		return errors.New("no")
	}
	return nil
}

func (m *memory) SyncDirectory() error { return nil }

func (m *memory) Truncate(name string, size int64) error {
	m.files[name] = m.files[name][:size]
	return nil
}

func (m *memory) copy() *memory {
	copied := &memory{files: map[string][]byte{}}
	for name, body := range m.files {
		copied.files[name] = append([]byte{}, body...)
	}
	return copied
}

func written(c *qt.C) *memory {
	disk := &memory{files: map[string][]byte{}}
	store, snapshot, _, err := Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot, qt.IsNil)
	c.Assert(store.Compact([]byte("one")), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("a")}), qt.IsNil)
	c.Assert(store.Compact([]byte("two")), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("first record"), []byte("second record")}), qt.IsNil)
	return disk
}

func TestReopen(t *testing.T) {
	c := qt.New(t)
	_, snapshot, records, err := Open(written(c))
	c.Assert(err, qt.IsNil)
	c.Assert(string(snapshot), qt.Equals, "two")
	c.Assert(records, qt.DeepEquals, [][]byte{[]byte("first record"), []byte("second record")})
}

// A log cut at any byte opens with a prefix of its records, and takes more.
func TestTornTailIsCut(t *testing.T) {
	c := qt.New(t)
	disk := written(c)
	whole := disk.files[logName]
	for size := range len(whole) {
		torn := disk.copy()
		torn.files[logName] = append([]byte{}, whole[:size]...)
		store, snapshot, records, err := Open(torn)
		c.Assert(err, qt.IsNil, qt.Commentf("cut at %d", size))
		c.Assert(string(snapshot), qt.Equals, "two")
		c.Assert(len(records) < 2, qt.IsTrue)
		c.Assert(store.Append([][]byte{[]byte("later")}), qt.IsNil)
		_, _, again, err := Open(torn)
		c.Assert(err, qt.IsNil)
		c.Assert(string(again[len(again)-1]), qt.Equals, "later")
		c.Assert(again, qt.HasLen, len(records)+1)
	}
}

// Sectors of the last append that reached the disk in any order: opening gives all that
// was settled before, and takes more; with a settled frame behind them it refuses.
func TestSectorsOutOfOrder(t *testing.T) {
	c := qt.New(t)
	disk := written(c)
	committed := len(disk.files[logName])
	store, _, _, err := Open(disk)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Append([][]byte{bytes.Repeat([]byte("long "), 300), []byte("x")}), qt.IsNil)
	whole := len(disk.files[logName])
	sectors := whole/sectorBytes + 1
	for missing := 1; missing < 1<<sectors; missing++ {
		crashed := disk.copy()
		lost := false
		for number := range sectors {
			for index := max(committed, number*sectorBytes); missing>>number&1 == 1 && index < min(whole, (number+1)*sectorBytes); index++ {
				crashed.files[logName][index], lost = 0, true
			}
		}
		behind := crashed.copy()
		behind.files[logName] = append(behind.files[logName], currentFormat(2).encodeFrame([][]byte{[]byte("settled later")})...)
		again, _, records, err := Open(crashed)
		c.Assert(err, qt.IsNil, qt.Commentf("sectors %b of %d", missing, sectors))
		c.Assert(records, qt.HasLen, map[bool]int{true: 2, false: 4}[lost])
		c.Assert(again.Append([][]byte{[]byte("more")}), qt.IsNil)
		_, _, records, err = Open(crashed)
		c.Assert(err, qt.IsNil)
		c.Assert(string(records[len(records)-1]), qt.Equals, "more")
		_, _, _, err = Open(behind)
		c.Assert(err != nil, qt.Equals, lost)
	}
}

// A flipped bit anywhere in settled data never passes for something else: either the
// store refuses, or all that was settled is there.
func TestFlippedBitIsRefused(t *testing.T) {
	c := qt.New(t)
	disk := written(c)
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

// A slot torn while it is written leaves the older slot and its log.
func TestTornSlot(t *testing.T) {
	c := qt.New(t)
	disk := written(c)
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

// One failed sync stops the store for good.
func TestFailedSyncStays(t *testing.T) {
	c := qt.New(t)
	disk := written(c)
	store, _, _, err := Open(disk)
	c.Assert(err, qt.IsNil)
	disk.fail = true
	c.Assert(errcode.CodeOf(store.Append([][]byte{[]byte("x")})), qt.Equals, errcode.DiskFault)
	disk.fail = false
	c.Assert(errcode.CodeOf(store.Append([][]byte{[]byte("y")})), qt.Equals, errcode.DiskFault)
	c.Assert(errcode.CodeOf(store.Compact([]byte("z"))), qt.Equals, errcode.DiskFault)
}
