// Package wardrobe keeps a machine's state on disk: two slots written in turn, each
// with a generation and a checksum, and a short log between. A record counts only
// once it is synced. After a crash a torn tail is cut; a record or slot that is
// complete but fails its checksum is settled data gone bad, and opening refuses
// rather than guess. After a failed write or sync the store stays failed: a sync
// that failed once says nothing by succeeding later.
//
// A record is framed at both ends by the same head (length, checksum of the body,
// checksum of the head). A write cut short lacks its tail; a flipped bit leaves both
// ends standing. That is how the two are told apart, the last record included.
package wardrobe

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"beaconvane/internal/notice"
)

// Folder is the disk port; the simulator has another one.
type Folder interface {
	Read(name string) ([]byte, error)
	Write(name string, body []byte) error
	Append(name string, body []byte) error
	Sync(name string) error
	SyncFolder() error
}

const (
	formatNumber = 1
	slotMagic    = 0x4256534c
	logMagic     = 0x42564c47
	slotHead     = 32
	logHead      = 20
	recordHead   = 12
	logName      = "log"
)

var slotNames = [2]string{"slot.0", "slot.1"}

var sumTable = crc32.MakeTable(crc32.Castagnoli)

// Store is an open folder.
type Store struct {
	folder     Folder
	generation uint64
	failure    error
}

// Open reads what is kept. A folder that never completed its first view is empty:
// the view comes back nil.
func Open(folder Folder) (*Store, []byte, [][]byte, error) {
	store := &Store{folder: folder}
	corrupt := func(text string) (*Store, []byte, [][]byte, error) {
		return nil, nil, nil, notice.Wrap("wardrobe.open", notice.DiskCorrupt, errors.New(text))
	}
	var chosenView []byte
	slotsSeen := 0
	for _, slotName := range slotNames {
		body, err := folder.Read(slotName)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, nil, nil, notice.Wrap("wardrobe.open", notice.DiskFault, err)
		}
		slotsSeen++
		generation, view, valid := parseSlot(body)
		if valid && generation > store.generation {
			store.generation, chosenView = generation, view
		}
	}
	logBody, err := folder.Read(logName)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil, notice.Wrap("wardrobe.open", notice.DiskFault, err)
	}
	logGeneration, records, state := parseLog(logBody)
	switch {
	case state == logBad:
		return corrupt("a settled log record fails its checksum")
	case chosenView == nil && state == logWhole:
		return corrupt("a log without a readable slot")
	case chosenView == nil:
		return store, nil, nil, nil
	case state == logWhole && logGeneration > store.generation:
		return corrupt("the newest slot is unreadable")
	case state == logTorn || logGeneration < store.generation:
		records = nil
		if err := store.resetLog(); err != nil {
			return nil, nil, nil, err
		}
		return store, chosenView, nil, nil
	}
	// Cut a torn tail for good, so that later records don't stand behind it.
	rebuilt := logHeadOf(store.generation)
	for _, record := range records {
		rebuilt = appendRecord(rebuilt, record)
	}
	if len(rebuilt) != len(logBody) {
		if err := store.compactWith(chosenView, records); err != nil {
			return nil, nil, nil, err
		}
	}
	return store, chosenView, records, nil
}

// compactWith rewrites the log after a torn tail: the slot of the next generation
// first, then a log of that generation that begins with the records kept.
func (s *Store) compactWith(view []byte, records [][]byte) error {
	if err := s.writeSlot(view); err != nil {
		return err
	}
	body := logHeadOf(s.generation)
	for _, record := range records {
		body = appendRecord(body, record)
	}
	return s.writeLog(body)
}

// Append writes records behind the log and syncs once.
func (s *Store) Append(records [][]byte) error {
	if s.failure != nil {
		return s.failure
	}
	if s.generation == 0 {
		return s.fail(errors.New("append before the first view"))
	}
	body := []byte{}
	for _, record := range records {
		body = appendRecord(body, record)
	}
	if err := s.folder.Append(logName, body); err != nil {
		return s.fail(err)
	}
	if err := s.folder.Sync(logName); err != nil {
		return s.fail(err)
	}
	return nil
}

// AppendUnsynced leaves a record as a crash would find it: written, never synced.
func (s *Store) AppendUnsynced(record []byte) error {
	return s.folder.Append(logName, appendRecord(nil, record))
}

// Compact writes a whole view to the other slot, then empties the log.
func (s *Store) Compact(view []byte) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.writeSlot(view); err != nil {
		return err
	}
	return s.resetLog()
}

func (s *Store) writeSlot(view []byte) error {
	generation := s.generation + 1
	slotName := slotNames[generation%2]
	if err := s.folder.Write(slotName, slotOf(generation, view)); err != nil {
		return s.fail(err)
	}
	if err := s.folder.Sync(slotName); err != nil {
		return s.fail(err)
	}
	if err := s.folder.SyncFolder(); err != nil {
		return s.fail(err)
	}
	s.generation = generation
	return nil
}

func (s *Store) resetLog() error { return s.writeLog(logHeadOf(s.generation)) }

func (s *Store) writeLog(body []byte) error {
	if err := s.folder.Write(logName, body); err != nil {
		return s.fail(err)
	}
	if err := s.folder.Sync(logName); err != nil {
		return s.fail(err)
	}
	if err := s.folder.SyncFolder(); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Store) fail(cause error) error {
	s.failure = notice.Wrap("wardrobe.write", notice.DiskFault, cause)
	return s.failure
}

func slotOf(generation uint64, view []byte) []byte {
	body := make([]byte, slotHead, slotHead+len(view))
	binary.BigEndian.PutUint32(body[0:], slotMagic)
	binary.BigEndian.PutUint32(body[4:], formatNumber)
	binary.BigEndian.PutUint64(body[8:], generation)
	binary.BigEndian.PutUint64(body[16:], uint64(len(view)))
	body = append(body, view...)
	sum := crc32.Update(crc32.Checksum(body[:24], sumTable), sumTable, view)
	binary.BigEndian.PutUint32(body[24:], sum)
	return body
}

func parseSlot(body []byte) (uint64, []byte, bool) {
	if len(body) < slotHead || binary.BigEndian.Uint32(body) != slotMagic || binary.BigEndian.Uint32(body[4:]) != formatNumber {
		return 0, nil, false
	}
	generation, size := binary.BigEndian.Uint64(body[8:]), binary.BigEndian.Uint64(body[16:])
	view := body[slotHead:]
	if uint64(len(view)) != size {
		return 0, nil, false
	}
	sum := crc32.Update(crc32.Checksum(body[:24], sumTable), sumTable, view)
	return generation, view, sum == binary.BigEndian.Uint32(body[24:])
}

func logHeadOf(generation uint64) []byte {
	body := make([]byte, logHead)
	binary.BigEndian.PutUint32(body[0:], logMagic)
	binary.BigEndian.PutUint32(body[4:], formatNumber)
	binary.BigEndian.PutUint64(body[8:], generation)
	binary.BigEndian.PutUint32(body[16:], crc32.Checksum(body[:16], sumTable))
	return body
}

func appendRecord(body, record []byte) []byte {
	var head [recordHead]byte
	binary.BigEndian.PutUint32(head[0:], uint32(len(record)))
	binary.BigEndian.PutUint32(head[4:], crc32.Checksum(record, sumTable))
	binary.BigEndian.PutUint32(head[8:], crc32.Checksum(head[:8], sumTable))
	body = append(body, head[:]...)
	body = append(body, record...)
	return append(body, head[:]...)
}

type logState int

const (
	logTorn logState = iota
	logWhole
	logBad
)

func parseLog(body []byte) (uint64, [][]byte, logState) {
	if len(body) < logHead || allZero(body) {
		return 0, nil, logTorn
	}
	if binary.BigEndian.Uint32(body) != logMagic || binary.BigEndian.Uint32(body[4:]) != formatNumber ||
		binary.BigEndian.Uint32(body[16:]) != crc32.Checksum(body[:16], sumTable) {
		return 0, nil, logBad
	}
	generation := binary.BigEndian.Uint64(body[8:])
	records := [][]byte{}
	rest := body[logHead:]
	for len(rest) > 0 {
		if len(rest) < recordHead || allZero(rest) {
			return generation, records, logWhole
		}
		head := rest[:recordHead]
		if binary.BigEndian.Uint32(head[8:]) != crc32.Checksum(head[:8], sumTable) {
			return generation, records, logBad
		}
		size := int(binary.BigEndian.Uint32(head))
		if len(rest) < 2*recordHead+size {
			return generation, records, logWhole
		}
		record := rest[recordHead : recordHead+size]
		tail := rest[recordHead+size : 2*recordHead+size]
		if string(head) != string(tail) || binary.BigEndian.Uint32(head[4:]) != crc32.Checksum(record, sumTable) {
			return generation, records, logBad
		}
		records = append(records, record)
		rest = rest[2*recordHead+size:]
	}
	return generation, records, logWhole
}

func allZero(body []byte) bool {
	for _, value := range body {
		if value != 0 {
			return false
		}
	}
	return true
}

// DirFolder is the real disk.
type DirFolder struct{ Path string }

// NewDirFolder makes the folder if need be.
func NewDirFolder(path string) (DirFolder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return DirFolder{}, notice.Wrap("wardrobe.folder", notice.DiskFault, err)
	}
	return DirFolder{path}, nil
}

func (f DirFolder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.Path, name))
}

func (f DirFolder) Write(name string, body []byte) error {
	return os.WriteFile(filepath.Join(f.Path, name), body, 0o600)
}

func (f DirFolder) Append(name string, body []byte) error {
	file, err := os.OpenFile(filepath.Join(f.Path, name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("append: %w", err)
	}
	defer file.Close()
	_, err = file.Write(body)
	return err
}

func (f DirFolder) Sync(name string) error {
	file, err := os.OpenFile(filepath.Join(f.Path, name), os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	defer file.Close()
	return file.Sync()
}

func (f DirFolder) SyncFolder() error {
	folder, err := os.Open(f.Path)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	defer folder.Close()
	return folder.Sync()
}
