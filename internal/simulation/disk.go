package simulation

import (
	"errors"
	"math/rand/v2"
	"os"
)

// simFile is a file whose unsynced bytes may vanish or be torn at a crash.
type simFile struct {
	synced      []byte
	current     []byte
	nameDurable bool // its name is in the folder for good
}

// Disk is a simulated folder; it implements storage.Directory.
type Disk struct {
	files     map[string]*simFile
	failing   bool
	stepsLeft int // how many more steps are done before the machine stops; below 0: no end
}

// works counts a step; false when the disk fails or the machine has stopped.
func (d *Disk) takeStep() bool {
	if d.failing || d.stepsLeft == 0 {
		return false
	}
	d.stepsLeft--
	return true
}

// NewDisk is an empty one.
func NewDisk() *Disk { return &Disk{files: map[string]*simFile{}, stepsLeft: -1} }

var errDisk = errors.New("simulated disk failure")

func (d *Disk) Read(name string) ([]byte, error) {
	file, found := d.files[name]
	if !found {
		return nil, os.ErrNotExist
	}
	return append([]byte{}, file.current...), nil
}

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

// Append writes behind the end of a file.
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

// Truncate cuts a file to a size in bytes.
func (d *Disk) Truncate(name string, size int64) error {
	file, found := d.files[name]
	if !found || !d.takeStep() {
		return errDisk
	}
	file.current = append([]byte{}, file.current[:size]...)
	return nil
}

// SyncDirectory makes the list of files durable.
func (d *Disk) SyncDirectory() error {
	if !d.takeStep() {
		return errDisk
	}
	for _, file := range d.files {
		file.nameDurable = true
	}
	return nil
}

// Crash forgets what was not synced, or keeps a part of it.
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
			// The length is there, and sectors of the new part in any order.
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

// overwritten is a file that was emptied and written anew, when the cut of its length is lost.
func overwritten(old, written []byte) []byte {
	return append(append([]byte{}, written...), old[min(len(old), len(written)):]...)
}

// StopAfter has the machine stop after so many more operations; Crash lifts it.
func (d *Disk) StopAfter(steps int) { d.stepsLeft = steps }

// Stopped says that the machine has stopped within an operation.
func (d *Disk) Stopped() bool { return d.stepsLeft == 0 }

// Copy is a disk with the same files, synced and not.
func (d *Disk) Copy() *Disk {
	copied := &Disk{files: map[string]*simFile{}, failing: d.failing, stepsLeft: d.stepsLeft}
	for name, file := range d.files {
		clone := *file
		copied.files[name] = &clone
	}
	return copied
}

// Sizes tells of each file how much of it is synced and how much there is.
func (d *Disk) Sizes() map[string][2]int {
	sizes := map[string][2]int{}
	for name, file := range d.files {
		sizes[name] = [2]int{len(file.synced), len(file.current)}
	}
	return sizes
}
