package storage_test

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/storage"
)

// Contents of a directory's files after two snapshots, an append of one record and an append of two
// records. A slot consists of a magic number, the format version, the generation, the length of the
// snapshot, a checksum, four unused bytes, and the snapshot. A log consists of a magic number, the format
// version, the generation, a checksum, and frames. A frame consists of the length of the body, the checksum
// of the body, the checksum of these eight bytes, the records, each preceded by its length, the same twelve
// bytes again, and an end marker.
const (
	firstSlot  = "4256534c" + "00000002" + "0000000000000001" + "0000000000000003" + "9a2624a4" + "00000000" + "6f6e65"
	secondSlot = "4256534c" + "00000002" + "0000000000000002" + "0000000000000003" + "b1f859be" + "00000000" + "74776f"

	logHeader   = "42564c47" + "00000003" + "0000000000000002" + "890d7284"
	firstFrame  = "00000009db24a9598a60f5a9" + "000000056669727374" + "00000009db24a9598a60f5a9" + "a5"
	secondFrame = "00000013c8ba668bf8611df0" + "000000067365636f6e64" + "000000057468697264" +
		"00000013c8ba668bf8611df0" + "a5"

	// The same log in the previous format, which had neither an end marker nor the generation in the
	// checksums of frames.
	previousLogHeader   = "42564c47" + "00000002" + "0000000000000002" + "7d33a4cc"
	previousFirstFrame  = "00000009296ce3a86afe707f" + "000000056669727374" + "00000009296ce3a86afe707f"
	previousSecondFrame = "00000013f50a38dbca273ceb" + "000000067365636f6e64" + "000000057468697264" +
		"00000013f50a38dbca273ceb"
)

// writeHexFiles returns a temporary directory with files whose contents are given in hexadecimal.
func writeHexFiles(c *qt.C, files map[string]string) storage.OSDirectory {
	directory, err := storage.NewOSDirectory(filepath.Join(c.TempDir(), "disk"))
	c.Assert(err, qt.IsNil)
	for name, text := range files {
		body, err := hex.DecodeString(text)
		c.Assert(err, qt.IsNil)
		c.Assert(directory.Write(name, body), qt.IsNil)
	}
	return directory
}

// assertFile compares a file's content with a hexadecimal text.
func assertFile(c *qt.C, directory storage.OSDirectory, name, text string) {
	body, err := os.ReadFile(filepath.Join(directory.Path, name))
	c.Assert(err, qt.IsNil)
	c.Assert(hex.EncodeToString(body), qt.Equals, text, qt.Commentf("%s", name))
}

// The formats of the files must not change, since later builds read files of earlier ones.
func TestWrittenFileFormats(t *testing.T) {
	c := qt.New(t)
	directory := writeHexFiles(c, nil)
	store, snapshot, records, err := storage.Open(directory)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot, qt.IsNil)
	c.Assert(records, qt.HasLen, 0)
	c.Assert(store.Compact([]byte("one")), qt.IsNil)
	c.Assert(store.Compact([]byte("two")), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("first")}), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("second"), []byte("third")}), qt.IsNil)
	assertFile(c, directory, "slot.1", firstSlot)
	assertFile(c, directory, "slot.0", secondSlot)
	assertFile(c, directory, "log", logHeader+firstFrame+secondFrame)
	entries, err := os.ReadDir(directory.Path)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 3)
}

// Files of earlier builds are read, and bytes after the last intact frame are removed.
func TestStoredFilesStayReadable(t *testing.T) {
	for name, log := range map[string]string{
		"current":               logHeader + firstFrame + secondFrame,
		"previous format":       previousLogHeader + previousFirstFrame + previousSecondFrame,
		"torn":                  logHeader + firstFrame + secondFrame + firstFrame[:20],
		"unsynced zeros":        logHeader + firstFrame + secondFrame + "0000000000000000",
		"frame of previous log": logHeader + firstFrame + secondFrame + previousFirstFrame,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			directory := writeHexFiles(c, map[string]string{"slot.1": firstSlot, "slot.0": secondSlot, "log": log})
			_, snapshot, records, err := storage.Open(directory)
			c.Assert(err, qt.IsNil)
			c.Assert(string(snapshot), qt.Equals, "two")
			c.Assert(records, qt.DeepEquals, [][]byte{[]byte("first"), []byte("second"), []byte("third")})
			if name == "previous format" {
				assertFile(c, directory, "log", log)
			} else {
				assertFile(c, directory, "log", logHeader+firstFrame+secondFrame)
			}
		})
	}
}
