// Package storage keeps a machine's state on disk: two slots written in turn, each
// with a generation and a checksum, and a short log between. A record counts only
// once it is synced. After a crash a torn tail is cut; a record or slot that is
// complete but fails its checksum is settled data gone bad, and opening refuses
// rather than guess. After a failed write or sync the store stays failed: a sync
// that failed once says nothing by succeeding later.
//
// What is appended at once is one frame, with the same head at both ends (length,
// checksum of the body, checksum of the head). Each append is synced before the next,
// so only the last frame can be torn: it lacks its end, or, where the disk wrote later
// sectors before earlier ones, some sector's part of it is all zero. A bad frame with a
// good one behind it, or one without a lost sector, is settled data gone bad. A torn
// tail is cut off the file where it stands; what is settled is never written again.
package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"beaconvane/internal/errcode"
)

// Folder is the disk port; the simulator has another one.
type Folder interface {
	Read(name string) ([]byte, error)
	Write(name string, body []byte) error
	Append(name string, body []byte) error
	Sync(name string) error
	SyncFolder() error
	Truncate(name string, size int64) error
}

const (
	formatNumber = 2
	slotMagic    = 0x4256534c
	logMagic     = 0x42564c47
	slotHead     = 32
	logHead      = 20
	frameHead    = 12
	sector       = 512
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

// Open reads what is kept. A folder that never completed its first snapshot is empty:
// the snapshot comes back nil.
func Open(folder Folder) (*Store, []byte, [][]byte, error) {
	store := &Store{folder: folder}
	corrupt := func(text string) (*Store, []byte, [][]byte, error) {
		return nil, nil, nil, errcode.Wrap("storage.open", errcode.DiskCorrupt, errors.New(text))
	}
	var chosenSnapshot []byte
	slotsSeen := 0
	for _, slotName := range slotNames {
		body, err := folder.Read(slotName)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, nil, nil, errcode.Wrap("storage.open", errcode.DiskFault, err)
		}
		slotsSeen++
		generation, snapshot, valid := parseSlot(body)
		if valid && generation > store.generation {
			store.generation, chosenSnapshot = generation, snapshot
		}
	}
	logBody, err := folder.Read(logName)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil, errcode.Wrap("storage.open", errcode.DiskFault, err)
	}
	logGeneration, records, sound, state := parseLog(logBody)
	switch {
	case state == logBad:
		return corrupt("a settled log record fails its checksum")
	case chosenSnapshot == nil && state == logWhole:
		return corrupt("a log without a readable slot")
	case chosenSnapshot == nil:
		return store, nil, nil, nil
	case state == logWhole && logGeneration > store.generation:
		return corrupt("the newest slot is unreadable")
	case state == logTorn || logGeneration < store.generation:
		records = nil
		if err := store.resetLog(); err != nil {
			return nil, nil, nil, err
		}
		return store, chosenSnapshot, nil, nil
	}
	if sound != len(logBody) {
		if err := store.cut(int64(sound)); err != nil {
			return nil, nil, nil, err
		}
	}
	return store, chosenSnapshot, records, nil
}

// cut takes a torn tail off for good, so that later frames don't stand behind it.
func (s *Store) cut(size int64) error {
	if err := s.folder.Truncate(logName, size); err != nil {
		return s.fail(err)
	}
	if err := s.folder.Sync(logName); err != nil {
		return s.fail(err)
	}
	return nil
}

// Append writes records behind the log and syncs once.
func (s *Store) Append(records [][]byte) error {
	if s.failure != nil {
		return s.failure
	}
	if s.generation == 0 {
		return s.fail(errors.New("append before the first snapshot"))
	}
	if err := s.folder.Append(logName, frameOf(records)); err != nil {
		return s.fail(err)
	}
	if err := s.folder.Sync(logName); err != nil {
		return s.fail(err)
	}
	return nil
}

// Compact writes a whole snapshot to the other slot, then empties the log.
func (s *Store) Compact(snapshot []byte) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.writeSlot(snapshot); err != nil {
		return err
	}
	return s.resetLog()
}

func (s *Store) writeSlot(snapshot []byte) error {
	generation := s.generation + 1
	slotName := slotNames[generation%2]
	if err := s.folder.Write(slotName, slotOf(generation, snapshot)); err != nil {
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
	s.failure = errcode.Wrap("storage.write", errcode.DiskFault, cause)
	return s.failure
}

func slotOf(generation uint64, snapshot []byte) []byte {
	body := make([]byte, slotHead, slotHead+len(snapshot))
	binary.BigEndian.PutUint32(body[0:], slotMagic)
	binary.BigEndian.PutUint32(body[4:], formatNumber)
	binary.BigEndian.PutUint64(body[8:], generation)
	binary.BigEndian.PutUint64(body[16:], uint64(len(snapshot)))
	body = append(body, snapshot...)
	sum := crc32.Update(crc32.Checksum(body[:24], sumTable), sumTable, snapshot)
	binary.BigEndian.PutUint32(body[24:], sum)
	return body
}

func parseSlot(body []byte) (uint64, []byte, bool) {
	if len(body) < slotHead || binary.BigEndian.Uint32(body) != slotMagic || binary.BigEndian.Uint32(body[4:]) != formatNumber {
		return 0, nil, false
	}
	generation, size := binary.BigEndian.Uint64(body[8:]), binary.BigEndian.Uint64(body[16:])
	snapshot := body[slotHead:]
	if uint64(len(snapshot)) != size {
		return 0, nil, false
	}
	sum := crc32.Update(crc32.Checksum(body[:24], sumTable), sumTable, snapshot)
	return generation, snapshot, sum == binary.BigEndian.Uint32(body[24:])
}

func logHeadOf(generation uint64) []byte {
	body := make([]byte, logHead)
	binary.BigEndian.PutUint32(body[0:], logMagic)
	binary.BigEndian.PutUint32(body[4:], formatNumber)
	binary.BigEndian.PutUint64(body[8:], generation)
	binary.BigEndian.PutUint32(body[16:], crc32.Checksum(body[:16], sumTable))
	return body
}

func frameOf(records [][]byte) []byte {
	body := []byte{}
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	var head [frameHead]byte
	binary.BigEndian.PutUint32(head[0:], uint32(len(body)))
	binary.BigEndian.PutUint32(head[4:], crc32.Checksum(body, sumTable))
	binary.BigEndian.PutUint32(head[8:], crc32.Checksum(head[:8], sumTable))
	return append(append(append([]byte{}, head[:]...), body...), head[:]...)
}

// parseFrame reads the frame at the beginning of some bytes; size is 0 where even its
// head is bad.
func parseFrame(rest []byte) (records [][]byte, size int, good bool) {
	if len(rest) < frameHead || binary.BigEndian.Uint32(rest[8:]) != crc32.Checksum(rest[:8], sumTable) {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(rest))
	size = 2*frameHead + length
	if len(rest) < size {
		return nil, size, false
	}
	head, body, tail := rest[:frameHead], rest[frameHead:frameHead+length], rest[frameHead+length:size]
	if string(head) != string(tail) || binary.BigEndian.Uint32(head[4:]) != crc32.Checksum(body, sumTable) {
		return nil, size, false
	}
	for len(body) > 0 {
		if len(body) < 4 || len(body) < 4+int(binary.BigEndian.Uint32(body)) {
			return nil, size, false
		}
		next := 4 + int(binary.BigEndian.Uint32(body))
		records, body = append(records, body[4:next]), body[next:]
	}
	return records, size, true
}

type logState int

const (
	logTorn logState = iota
	logWhole
	logBad
)

// parseLog gives the records, and how many bytes of the log are sound.
func parseLog(body []byte) (uint64, [][]byte, int, logState) {
	if len(body) < logHead || allZero(body) {
		return 0, nil, 0, logTorn
	}
	if binary.BigEndian.Uint32(body) != logMagic || binary.BigEndian.Uint32(body[4:]) != formatNumber ||
		binary.BigEndian.Uint32(body[16:]) != crc32.Checksum(body[:16], sumTable) {
		return 0, nil, 0, logBad
	}
	generation := binary.BigEndian.Uint64(body[8:])
	records := [][]byte{}
	for at := logHead; at < len(body); {
		held, size, good := parseFrame(body[at:])
		if !good {
			if torn(body, at, size) {
				return generation, records, at, logWhole
			}
			return generation, records, at, logBad
		}
		records = append(records, held...)
		at += size
	}
	return generation, records, len(body), logWhole
}

// torn: the bad frame at a place is the last one, and is as a crash leaves it.
func torn(body []byte, at, size int) bool {
	for next := at + 1; next < len(body); next++ {
		if _, _, good := parseFrame(body[next:]); good {
			return false
		}
	}
	end := at + size
	if size == 0 {
		end = len(body)
	}
	if end > len(body) || len(body)-at < frameHead {
		return true
	}
	for from := at; from < end; {
		to := min(end, (from/sector+1)*sector)
		if allZero(body[from:to]) {
			return true
		}
		from = to
	}
	return false
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
		return DirFolder{}, errcode.Wrap("storage.folder", errcode.DiskFault, err)
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

func (f DirFolder) Truncate(name string, size int64) error {
	return os.Truncate(filepath.Join(f.Path, name), size)
}

func (f DirFolder) SyncFolder() error {
	folder, err := os.Open(f.Path)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	defer folder.Close()
	return folder.Sync()
}
