package storage

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// With any content of the slots and the log, Open either fails or returns a store that accepts records. The
// next Open then returns the same state followed by these records.
func FuzzOpen(f *testing.F) {
	disk := newPopulatedDirectory(qt.New(f))
	slots := [2][]byte{disk.files[slotNames[0]], disk.files[slotNames[1]]}
	log := disk.files[logName]
	f.Add(slots[0], slots[1], log)
	f.Add(slots[0], slots[1], []byte{})
	f.Add(slots[0][:len(slots[0])-1], slots[1], log)
	f.Add(slots[0], []byte{}, log[:len(log)-frameHeaderBytes])
	f.Add([]byte{}, []byte{}, encodeLogHeader(1))
	const highest = 1 << 63
	frame := currentFormat(highest).encodeFrame([][]byte{{}, []byte("x")})
	f.Add(encodeSlot(highest, []byte("far")), slots[1], append(encodeLogHeader(highest), frame...))
	f.Fuzz(func(t *testing.T, first, second, log []byte) {
		disk := &memoryDirectory{files: map[string][]byte{}}
		for name, body := range map[string][]byte{slotNames[0]: first, slotNames[1]: second, logName: log} {
			if len(body) > 0 {
				disk.files[name] = append([]byte{}, body...)
			}
		}
		store, snapshot, records, err := Open(disk)
		if err != nil {
			return
		}
		if snapshot == nil {
			snapshot, records = []byte("new"), nil
			if err := store.Compact(snapshot); err != nil {
				t.Fatal(err)
			}
		}
		if err := store.Append([][]byte{[]byte("more")}); err != nil {
			t.Fatal(err)
		}
		expected := fmt.Sprintf("%q %q", snapshot, append(records, []byte("more")))
		_, snapshot, records, err = Open(disk)
		if err != nil {
			t.Fatalf("reopen after a successful Open and Append: %v", err)
		}
		if got := fmt.Sprintf("%q %q", snapshot, records); got != expected {
			t.Fatalf("reopened state: expected %s, found %s", expected, got)
		}
	})
}
