package storage_test

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/storage"
)

// A folder after two snapshots, a record, and two records that were appended together. A slot is a
// magic number, the format's number, the generation, the length of the snapshot, a checksum, four
// unused bytes, and the snapshot. A log is a magic number, the format's number, the generation, a
// checksum, and frames: length, checksum of the body and of these eight bytes, the records, each
// behind its length, the same twelve bytes again, and an end byte.
const (
	firstSlot  = "4256534c" + "00000002" + "0000000000000001" + "0000000000000003" + "9a2624a4" + "00000000" + "6f6e65"
	secondSlot = "4256534c" + "00000002" + "0000000000000002" + "0000000000000003" + "b1f859be" + "00000000" + "74776f"

	logHead     = "42564c47" + "00000003" + "0000000000000002" + "890d7284"
	firstFrame  = "00000009db24a9598a60f5a9" + "000000056669727374" + "00000009db24a9598a60f5a9" + "a5"
	secondFrame = "00000013c8ba668bf8611df0" + "000000067365636f6e64" + "000000057468697264" +
		"00000013c8ba668bf8611df0" + "a5"

	// The same log in the format before, which had neither an end byte nor the generation in the
	// frames' checksums.
	olderLogHead     = "42564c47" + "00000002" + "0000000000000002" + "7d33a4cc"
	olderFirstFrame  = "00000009296ce3a86afe707f" + "000000056669727374" + "00000009296ce3a86afe707f"
	olderSecondFrame = "00000013f50a38dbca273ceb" + "000000067365636f6e64" + "000000057468697264" +
		"00000013f50a38dbca273ceb"
)

// fillFolder writes files from hexadecimal texts into a folder of the test.
func fillFolder(c *qt.C, files map[string]string) storage.OSDirectory {
	folder, err := storage.NewOSDirectory(filepath.Join(c.TempDir(), "disk"))
	c.Assert(err, qt.IsNil)
	for name, text := range files {
		body, err := hex.DecodeString(text)
		c.Assert(err, qt.IsNil)
		c.Assert(folder.Write(name, body), qt.IsNil)
	}
	return folder
}

func assertFile(c *qt.C, folder storage.OSDirectory, name, text string) {
	body, err := os.ReadFile(filepath.Join(folder.Path, name))
	c.Assert(err, qt.IsNil)
	c.Assert(hex.EncodeToString(body), qt.Equals, text, qt.Commentf("%s", name))
}

// The files of a folder are written as they were.
func TestWrittenFilesStayAsTheyAre(t *testing.T) {
	c := qt.New(t)
	folder := fillFolder(c, nil)
	store, snapshot, records, err := storage.Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot, qt.IsNil)
	c.Assert(records, qt.HasLen, 0)
	c.Assert(store.Compact([]byte("one")), qt.IsNil)
	c.Assert(store.Compact([]byte("two")), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("first")}), qt.IsNil)
	c.Assert(store.Append([][]byte{[]byte("second"), []byte("third")}), qt.IsNil)
	assertFile(c, folder, "slot.1", firstSlot)
	assertFile(c, folder, "slot.0", secondSlot)
	assertFile(c, folder, "log", logHead+firstFrame+secondFrame)
	entries, err := os.ReadDir(folder.Path)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 3)
}

// Files as earlier builds wrote them are read, and what stands behind the last whole frame is cut off.
func TestKeptFilesStayReadable(t *testing.T) {
	for name, log := range map[string]string{
		"current":             logHead + firstFrame + secondFrame,
		"format before":       olderLogHead + olderFirstFrame + olderSecondFrame,
		"torn":                logHead + firstFrame + secondFrame + firstFrame[:20],
		"never synced end":    logHead + firstFrame + secondFrame + "0000000000000000",
		"frame of log before": logHead + firstFrame + secondFrame + olderFirstFrame,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			folder := fillFolder(c, map[string]string{"slot.1": firstSlot, "slot.0": secondSlot, "log": log})
			_, snapshot, records, err := storage.Open(folder)
			c.Assert(err, qt.IsNil)
			c.Assert(string(snapshot), qt.Equals, "two")
			c.Assert(records, qt.DeepEquals, [][]byte{[]byte("first"), []byte("second"), []byte("third")})
			if name == "format before" {
				assertFile(c, folder, "log", log)
			} else {
				assertFile(c, folder, "log", logHead+firstFrame+secondFrame)
			}
		})
	}
}
