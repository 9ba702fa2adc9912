package storage

import (
	"errors"

	"beaconvane/internal/errcode"
)

// Errors for data that no crash explains, and for a misuse of Store.Append.
var (
	errCorruptFrame         = errors.New("a durable frame or the header of the log is corrupt")
	errLogWithoutSlot       = errors.New("the log is intact but no slot contains an intact snapshot")
	errNewestSlotUnreadable = errors.New("the generation of the log is higher than that of any intact slot")
	errNoSnapshot           = errors.New("append before the first snapshot")
)

// Store writes the snapshots and the log of a directory. Once a write or sync has failed, all later calls
// fail.
type Store struct {
	slots   snapshotSlots
	log     writeAheadLog
	failure error
}

// Open returns a store, the newest snapshot of its directory, and the records that were written after the
// snapshot. The snapshot is nil if the first one was never completed. Open durably removes a torn tail of
// the log before it returns. An error has the code DiskCorrupt if durable data is corrupt, and DiskFault if
// the disk failed.
func Open(directory Directory) (store *Store, snapshot []byte, records [][]byte, err error) {
	slots, snapshot, err := openSlots(directory)
	if err != nil {
		return nil, nil, nil, err
	}
	store = &Store{slots: slots, log: writeAheadLog{directory: directory}}
	body, err := store.log.read()
	if err != nil {
		return nil, nil, nil, err
	}
	parsed := parseLog(body, slots.generation)
	if cause := inconsistency(parsed, slots.generation, snapshot != nil); cause != nil {
		return nil, nil, nil, errcode.Wrap("storage.open", errcode.DiskCorrupt, cause)
	}
	if snapshot == nil {
		return store, nil, nil, nil
	}
	if parsed.state == logUninitialized || parsed.format.generation < slots.generation {
		// The snapshot includes the records of a log of an older generation.
		if err := store.resetLog(); err != nil {
			return nil, nil, nil, err
		}
		return store, snapshot, nil, nil
	}
	store.log.format = parsed.format
	if parsed.intactBytes != len(body) {
		if err := store.log.truncate(int64(parsed.intactBytes)); err != nil {
			return nil, nil, nil, store.fail(err)
		}
	}
	return store, snapshot, parsed.records, nil
}

// inconsistency returns an error if the files of a directory cannot be the result of a crash, or nil if
// they can.
func inconsistency(parsed parsedLog, newestGeneration uint64, hasSnapshot bool) error {
	switch {
	case parsed.state == logCorrupt:
		return errCorruptFrame
	case parsed.state != logReadable:
		return nil
	case !hasSnapshot:
		return errLogWithoutSlot
	case parsed.format.generation > newestGeneration:
		return errNewestSlotUnreadable
	}
	return nil
}

// Append appends records to the log. All of them are durable if it returns without an error.
func (s *Store) Append(records [][]byte) error {
	if s.failure != nil {
		return s.failure
	}
	if s.slots.generation == 0 {
		return s.fail(errNoSnapshot)
	}
	if err := s.log.append(records); err != nil {
		return s.fail(err)
	}
	return nil
}

// Compact replaces the snapshot and the log by a new snapshot, which is durable if it returns without an
// error. A crash during the call leaves either the old or the new state.
func (s *Store) Compact(snapshot []byte) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.slots.write(snapshot); err != nil {
		return s.fail(err)
	}
	return s.resetLog()
}

// resetLog empties the log and sets its generation to that of the newest snapshot.
func (s *Store) resetLog() error {
	if err := s.log.reset(s.slots.generation); err != nil {
		return s.fail(err)
	}
	return nil
}

// fail records the error that all later calls return.
func (s *Store) fail(cause error) error {
	s.failure = errcode.Wrap("storage.write", errcode.DiskFault, cause)
	return s.failure
}
