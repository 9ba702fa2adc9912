package storage

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// fillableDirectory is a directory of the file system that can simulate a full disk: half of a write is
// stored, and the write fails.
type fillableDirectory struct {
	OSDirectory
	full bool
}

var errFull = errors.New("no space left on device")

func (f *fillableDirectory) Write(name string, body []byte) error {
	if f.full {
		f.OSDirectory.Write(name, body[:len(body)/2])
		return errFull
	}
	return f.OSDirectory.Write(name, body)
}

func (f *fillableDirectory) Append(name string, body []byte) error {
	if f.full {
		f.OSDirectory.Append(name, body[:len(body)/2])
		return errFull
	}
	return f.OSDirectory.Append(name, body)
}

// concatenation is a machine whose state is the concatenation of its snapshot and records.
type concatenation struct{ text string }

func (c concatenation) Snapshot() []byte { return []byte(c.text) }

// buildConcatenation builds a machine from a snapshot and records, as Recover requires it.
func buildConcatenation(snapshot []byte, records [][]byte) (concatenation, error) {
	machine := concatenation{text: string(snapshot)}
	for _, record := range records {
		machine.text += string(record)
	}
	return machine, nil
}

// Recover fails while the disk is full. Once there is space again it restores everything that was synced
// before, even if the full disk tore the log or a slot.
func TestRecoverAfterAFullDisk(t *testing.T) {
	for name, fail := range map[string]func(store *Store) error{
		"while appending":  func(store *Store) error { return store.Append([][]byte{[]byte("lost")}) },
		"while compacting": func(store *Store) error { return store.Compact([]byte("lost")) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			directory, err := NewOSDirectory(t.TempDir())
			c.Assert(err, qt.IsNil)
			disk := &fillableDirectory{OSDirectory: directory}
			store, _, _, err := Open(disk)
			c.Assert(err, qt.IsNil)
			c.Assert(store.Compact([]byte("one ")), qt.IsNil)
			c.Assert(store.Append([][]byte{[]byte("two ")}), qt.IsNil)
			disk.full = true
			c.Assert(fail(store), qt.IsNotNil)
			_, _, err = Recover(disk, buildConcatenation)
			c.Assert(err, qt.IsNotNil)
			disk.full = false
			store, machine, err := Recover(disk, buildConcatenation)
			c.Assert(err, qt.IsNil)
			c.Assert(machine.text, qt.Equals, "one two ")
			c.Assert(store.Append([][]byte{[]byte("three")}), qt.IsNil)
			_, snapshot, records, err := Open(disk)
			c.Assert(err, qt.IsNil)
			machine, _ = buildConcatenation(snapshot, records)
			c.Assert(machine.text, qt.Equals, "one two three")
		})
	}
}
