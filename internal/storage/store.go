package storage

import (
	"errors"

	"beaconvane/internal/errcode"
)

// Causes for which a directory or a store refuses.
var (
	errCorruptFrame         = errors.New("a committed log record fails its checksum")
	errLogWithoutSlot       = errors.New("a log without a readable slot")
	errNewestSlotUnreadable = errors.New("the newest slot is unreadable")
	errNoSnapshot           = errors.New("append before the first snapshot")
)

// Store is an open directory. Once a write or sync has failed, all later ones fail.
type Store struct {
	slots   snapshotSlots
	log     writeAheadLog
	failure error
}

// Open returns a store and what its directory holds: the newest snapshot and the records behind it. The
// snapshot is nil if the directory never completed its first one. A torn tail of the log is removed from
// the disk before Open returns. An error has the code DiskCorrupt if durable data went bad, and DiskFault
// if the disk failed.
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
	found := parseLog(body, slots.generation)
	if cause := inconsistency(found, slots.generation, snapshot != nil); cause != nil {
		return nil, nil, nil, errcode.Wrap("storage.open", errcode.DiskCorrupt, cause)
	}
	if snapshot == nil {
		return store, nil, nil, nil
	}
	if found.state == logNotBegun || found.format.generation < slots.generation {
		// The snapshot includes what an older log holds.
		if err := store.resetLog(); err != nil {
			return nil, nil, nil, err
		}
		return store, snapshot, nil, nil
	}
	store.log.format = found.format
	if found.intact != len(body) {
		if err := store.log.truncate(int64(found.intact)); err != nil {
			return nil, nil, nil, store.fail(err)
		}
	}
	return store, snapshot, found.records, nil
}

// inconsistency returns why the files of a directory cannot be what a crash left, nil if they can.
func inconsistency(log parsedLog, newest uint64, hasSnapshot bool) error {
	switch {
	case log.state == logCorrupt:
		return errCorruptFrame
	case log.state != logReadable:
		return nil
	case !hasSnapshot:
		return errLogWithoutSlot
	case log.format.generation > newest:
		return errNewestSlotUnreadable
	}
	return nil
}

// Append writes records behind the log. They are durable together once it returns without an error.
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

// Compact replaces snapshot and log by a new snapshot, which is durable once it returns without an error.
// A crash in between leaves either the old state or the new one.
func (s *Store) Compact(snapshot []byte) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.slots.write(snapshot); err != nil {
		return s.fail(err)
	}
	return s.resetLog()
}

// resetLog empties the log and binds it to the newest snapshot.
func (s *Store) resetLog() error {
	if err := s.log.reset(s.slots.generation); err != nil {
		return s.fail(err)
	}
	return nil
}

// fail makes the store fail from now on.
func (s *Store) fail(cause error) error {
	s.failure = errcode.Wrap("storage.write", errcode.DiskFault, cause)
	return s.failure
}
