package storage

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Whatever stands in slots and log, opening refuses or gives a state that takes more, and
// that the next opening gives again with what it took.
func FuzzOpen(f *testing.F) {
	disk := written(qt.New(f))
	slots := [2][]byte{disk.files[slotNames[0]], disk.files[slotNames[1]]}
	log := disk.files[logName]
	f.Add(slots[0], slots[1], log)
	f.Add(slots[0], slots[1], []byte{})
	f.Add(slots[0][:len(slots[0])-1], slots[1], log)
	f.Add(slots[0], []byte{}, log[:len(log)-frameHeaderBytes])
	f.Add([]byte{}, []byte{}, encodeLogHeader(1))
	f.Add(encodeSlot(1<<63, []byte("far")), slots[1], append(encodeLogHeader(1<<63), currentFormat(1<<63).encodeFrame([][]byte{{}, []byte("x")})...))
	f.Fuzz(func(t *testing.T, first, second, log []byte) {
		disk := &memory{files: map[string][]byte{}}
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
		wanted := fmt.Sprintf("%q %q", snapshot, append(records, []byte("more")))
		_, snapshot, records, err = Open(disk)
		if err != nil {
			t.Fatalf("what was opened and appended to does not open: %v", err)
		}
		if got := fmt.Sprintf("%q %q", snapshot, records); got != wanted {
			t.Fatalf("%s became %s", wanted, got)
		}
	})
}
