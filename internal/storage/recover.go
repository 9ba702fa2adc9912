package storage

// Restorable is a state machine that can be rebuilt from its snapshot.
type Restorable interface {
	// Snapshot returns the complete state of the machine.
	Snapshot() []byte
}

// Recover reopens a directory after a write has failed. Data whose sync failed may be readable and yet not
// durable, so Recover writes and syncs a snapshot of the complete state that it has read before it returns
// the store and the machine. While the disk accepts no writes it returns an error, and the caller should
// try again later.
func Recover[M Restorable](
	directory Directory, build func(snapshot []byte, records [][]byte) (M, error),
) (store *Store, machine M, err error) {
	var zero M
	store, snapshot, records, err := Open(directory)
	if err != nil {
		return nil, zero, err
	}
	machine, err = build(snapshot, records)
	if err != nil {
		return nil, zero, err
	}
	if err := store.Compact(machine.Snapshot()); err != nil {
		return nil, zero, err
	}
	return store, machine, nil
}
