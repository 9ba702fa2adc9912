// Package storage keeps a machine's state on disk: two slots written in turn, each with a generation
// and a checksum, and a short log between. A record counts only once it is synced. After a crash a
// torn tail is cut; a record or slot that is complete but fails its checksum is committed data gone
// bad, and opening refuses rather than guess. After a failed write or sync the store stays failed: a
// sync that failed once says nothing by succeeding later.
//
// What is appended together is one frame, with the same head at both ends (length, checksum of the
// body, checksum of the head) and a byte that is not zero behind them. Each append is synced before
// the next, so only the last frame can be torn: it lacks its end, or, where the disk wrote later
// sectors before earlier ones, some sector's part of it is all zero. A bad frame with a good one
// behind it, or one that is not torn, is committed data gone bad. A torn tail is cut off the file
// where it stands; what is committed is never written again.
//
// A new slot replaces the log, which is emptied by writing its file anew. A crash then may keep the
// new head and lose the cut of the length, or keep a part of the head. So the checksums of frames
// are bound to the generation of their log: frames of the log before are known and cut off, and a
// log without a head is bad only if a frame of the newest generation stands in it.
//
// store.go has the store, slot.go and log.go its file formats, folder.go the disk, ledger.go the
// machine's side.
package storage

import (
	"errors"
	"os"

	"beaconvane/internal/errcode"
)

const logName = "log"

var slotNames = [2]string{"slot.0", "slot.1"}

// Store is an open folder. Once a write or sync has failed, all later ones fail.
type Store struct {
	folder     Directory
	generation uint64
	format     frameFormat // of the log's frames
	failure    error
}

// Open reads what is kept: the newest snapshot and the records behind it. The snapshot of a folder
// that never completed its first one is nil. Errors have the code DiskCorrupt or DiskFault.
func Open(folder Directory) (*Store, []byte, [][]byte, error) {
	store := &Store{folder: folder}
	corrupt := func(text string) (*Store, []byte, [][]byte, error) {
		return nil, nil, nil, errcode.Wrap("storage.open", errcode.DiskCorrupt, errors.New(text))
	}
	var chosenSnapshot []byte
	for _, slotName := range slotNames {
		body, err := folder.Read(slotName)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, nil, nil, errcode.Wrap("storage.open", errcode.DiskFault, err)
		}
		generation, snapshot, valid := parseSlot(body)
		if valid && generation > store.generation {
			store.generation, chosenSnapshot = generation, snapshot
		}
	}
	logBody, err := folder.Read(logName)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil, errcode.Wrap("storage.open", errcode.DiskFault, err)
	}
	log := parseLog(logBody, store.generation)
	switch {
	case log.state == logBad:
		return corrupt("a committed log record fails its checksum")
	case chosenSnapshot == nil && log.state == logWhole:
		return corrupt("a log without a readable slot")
	case chosenSnapshot == nil:
		return store, nil, nil, nil
	case log.state == logWhole && log.format.generation > store.generation:
		return corrupt("the newest slot is unreadable")
	case log.state == logTorn || log.format.generation < store.generation:
		if err := store.resetLog(); err != nil {
			return nil, nil, nil, err
		}
		return store, chosenSnapshot, nil, nil
	}
	store.format = log.format
	if log.intact != len(logBody) {
		if err := store.cut(int64(log.intact)); err != nil {
			return nil, nil, nil, err
		}
	}
	return store, chosenSnapshot, log.records, nil
}

// cut removes a torn tail, so that later frames don't stand behind it.
func (s *Store) cut(size int64) error {
	if err := s.folder.Truncate(logName, size); err != nil {
		return s.fail(err)
	}
	if err := s.folder.Sync(logName); err != nil {
		return s.fail(err)
	}
	return nil
}

// Append writes records behind the log and syncs them together.
func (s *Store) Append(records [][]byte) error {
	if s.failure != nil {
		return s.failure
	}
	if s.generation == 0 {
		return s.fail(errors.New("append before the first snapshot"))
	}
	if err := s.folder.Append(logName, s.format.frameOf(records)); err != nil {
		return s.fail(err)
	}
	if err := s.folder.Sync(logName); err != nil {
		return s.fail(err)
	}
	return nil
}

// Compact writes a whole snapshot to the slot that is not the newest, then empties the log.
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
	if err := s.folder.SyncDirectory(); err != nil {
		return s.fail(err)
	}
	s.generation = generation
	return nil
}

func (s *Store) resetLog() error {
	s.format = currentFormat(s.generation)
	return s.writeLog(logHeadOf(s.generation))
}

func (s *Store) writeLog(body []byte) error {
	if err := s.folder.Write(logName, body); err != nil {
		return s.fail(err)
	}
	if err := s.folder.Sync(logName); err != nil {
		return s.fail(err)
	}
	if err := s.folder.SyncDirectory(); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Store) fail(cause error) error {
	s.failure = errcode.Wrap("storage.write", errcode.DiskFault, cause)
	return s.failure
}
