package storage

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// fullDirectory is a real directory whose disk may refuse to take more bytes, in the middle of
// a write.
type fullDirectory struct {
	OSDirectory
	full bool
}

var errFull = errors.New("no space left on device")

func (f *fullDirectory) Write(name string, body []byte) error {
	if f.full {
		f.OSDirectory.Write(name, body[:len(body)/2])
		return errFull
	}
	return f.OSDirectory.Write(name, body)
}

func (f *fullDirectory) Append(name string, body []byte) error {
	if f.full {
		f.OSDirectory.Append(name, body[:len(body)/2])
		return errFull
	}
	return f.OSDirectory.Append(name, body)
}

// lines is a machine that keeps what it was given.
type lines struct{ text string }

func (l lines) Snapshot() []byte { return []byte(l.text) }

func buildLines(snapshot []byte, records [][]byte) (lines, error) {
	machine := lines{text: string(snapshot)}
	for _, record := range records {
		machine.text += string(record)
	}
	return machine, nil
}

// What was synced before the disk was full is there after it, also where the full disk
// tore the log or a slot; nothing is given back while it is full.
func TestRecoverAfterAFullDisk(t *testing.T) {
	for name, fail := range map[string]func(store *Store) error{
		"while appending":  func(store *Store) error { return store.Append([][]byte{[]byte("lost")}) },
		"while compacting": func(store *Store) error { return store.Compact([]byte("lost")) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			directory, err := NewOSDirectory(t.TempDir())
			c.Assert(err, qt.IsNil)
			disk := &fullDirectory{OSDirectory: directory}
			store, _, _, err := Open(disk)
			c.Assert(err, qt.IsNil)
			c.Assert(store.Compact([]byte("one ")), qt.IsNil)
			c.Assert(store.Append([][]byte{[]byte("two ")}), qt.IsNil)
			disk.full = true
			c.Assert(fail(store), qt.IsNotNil)
			_, _, err = Recover(disk, buildLines)
			c.Assert(err, qt.IsNotNil)
			disk.full = false
			store, machine, err := Recover(disk, buildLines)
			c.Assert(err, qt.IsNil)
			c.Assert(machine.text, qt.Equals, "one two ")
			c.Assert(store.Append([][]byte{[]byte("three")}), qt.IsNil)
			_, snapshot, records, err := Open(disk)
			c.Assert(err, qt.IsNil)
			machine, _ = buildLines(snapshot, records)
			c.Assert(machine.text, qt.Equals, "one two three")
		})
	}
}
