package simulation

import (
	"errors"
	"math/rand/v2"
	"os"
)

// simFile is a file whose unsynced bytes may be lost or torn at a crash.
type simFile struct {
	synced      []byte
	current     []byte
	nameDurable bool // its directory entry has been synced
}

// Disk is a simulated directory; it implements storage.Directory.
type Disk struct {
	files     map[string]*simFile
	failing   bool
	stepsLeft int // operations left before the machine stops; negative: unlimited
}

// takeStep consumes one operation. It returns false if the disk is failing or the machine has stopped.
func (d *Disk) takeStep() bool {
	if d.failing || d.stepsLeft == 0 {
		return false
	}
	d.stepsLeft--
	return true
}

// NewDisk returns an empty disk without failures.
func NewDisk() *Disk { return &Disk{files: map[string]*simFile{}, stepsLeft: -1} }

// errDisk is returned by every write operation of a disk that is failing or whose machine has stopped, and by
// operations on files that don't exist.
var errDisk = errors.New("simulated disk failure")

// Read returns a copy of a file's current content, synced or not.
func (d *Disk) Read(name string) ([]byte, error) {
	file, found := d.files[name]
	if !found {
		return nil, os.ErrNotExist
	}
	return append([]byte{}, file.current...), nil
}

// Write replaces a file's content; it is not durable before Sync.
func (d *Disk) Write(name string, body []byte) error {
	if !d.takeStep() {
		return errDisk
	}
	file, found := d.files[name]
	if !found {
		file = &simFile{}
		d.files[name] = file
	}
	file.current = append([]byte{}, body...)
	return nil
}

// Append writes at the end of an existing file.
func (d *Disk) Append(name string, body []byte) error {
	file, found := d.files[name]
	if !found || !d.takeStep() {
		return errDisk
	}
	file.current = append(append([]byte{}, file.current...), body...)
	return nil
}

// Sync makes a file's content durable.
func (d *Disk) Sync(name string) error {
	file, found := d.files[name]
	if !found || !d.takeStep() {
		return errDisk
	}
	file.synced = append([]byte{}, file.current...)
	return nil
}

// Truncate shortens a file to a size in bytes.
func (d *Disk) Truncate(name string, size int64) error {
	file, found := d.files[name]
	if !found || !d.takeStep() {
		return errDisk
	}
	file.current = append([]byte{}, file.current[:size]...)
	return nil
}

// SyncDirectory makes the directory entries of all files durable.
func (d *Disk) SyncDirectory() error {
	if !d.takeStep() {
		return errDisk
	}
	for _, file := range d.files {
		file.nameDurable = true
	}
	return nil
}

// Crash simulates a power failure: each file loses its unsynced changes, or keeps all or some of them,
// at random. It ends the limit set by StopAfter.
func (d *Disk) Crash(random *rand.Rand) {
	d.stepsLeft = -1
	names := []string{}
	for _, name := range []string{"slot.0", "slot.1", "log"} {
		if _, found := d.files[name]; found {
			names = append(names, name)
		}
	}
	for _, name := range names {
		file := d.files[name]
		if !file.nameDurable && random.IntN(2) == 0 {
			delete(d.files, name)
			continue
		}
		if string(file.current) == string(file.synced) {
			continue
		}
		appended := len(file.current) > len(file.synced) && string(file.current[:len(file.synced)]) == string(file.synced)
		switch {
		case appended:
			keptLength := len(file.synced) + random.IntN(len(file.current)-len(file.synced)+1)
			if random.IntN(2) == 0 {
				file.current = file.current[:keptLength]
				break
			}
			// The new length is durable, but only a random set of the appended 512-byte sectors is.
			for offset := len(file.synced); offset < len(file.current); {
				end := min(len(file.current), (offset/512+1)*512)
				if random.IntN(2) == 0 {
					clear(file.current[offset:end])
				}
				offset = end
			}
		case random.IntN(2) == 0:
			file.current = append([]byte{}, file.synced...)
		case random.IntN(2) == 0:
			file.current = file.current[:random.IntN(len(file.current)+1)]
		default:
			file.current = overwritten(file.synced, file.current[:random.IntN(len(file.current)+1)])
		}
		file.synced = append([]byte{}, file.current...)
	}
}

// overwritten returns the content of a file that was truncated and rewritten, if the truncation is lost
// in a crash: the new bytes, followed by the tail of the old ones.
func overwritten(old, written []byte) []byte {
	return append(append([]byte{}, written...), old[min(len(old), len(written)):]...)
}

// StopAfter makes every operation fail after the given number of further ones, until Crash.
func (d *Disk) StopAfter(steps int) { d.stepsLeft = steps }

// Stopped reports whether the limit set by StopAfter has been reached.
func (d *Disk) Stopped() bool { return d.stepsLeft == 0 }

// Copy returns an independent disk with the same files, both synced and unsynced content.
func (d *Disk) Copy() *Disk {
	copied := &Disk{files: map[string]*simFile{}, failing: d.failing, stepsLeft: d.stepsLeft}
	for name, file := range d.files {
		clone := *file
		copied.files[name] = &clone
	}
	return copied
}

// Sizes returns for each file its synced and its current length in bytes.
func (d *Disk) Sizes() map[string][2]int {
	sizes := map[string][2]int{}
	for name, file := range d.files {
		sizes[name] = [2]int{len(file.synced), len(file.current)}
	}
	return sizes
}
