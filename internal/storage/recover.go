package storage

// Restorable is a state machine that is built from what a directory holds, and returns its whole state.
type Restorable interface {
	// Snapshot returns the whole state, from which the machine can be built again.
	Snapshot() []byte
}

// Recover opens a directory anew after a write has failed. What an earlier sync left open may be readable
// and yet not durable, so nothing that was read counts until the whole state is in a slot that was written
// and synced since; only then does Recover return a store. While the disk takes no writes it returns an
// error, and is to be called again later.
func Recover[M Restorable](
	directory Directory, build func(snapshot []byte, records [][]byte) (M, error),
) (store *Store, machine M, err error) {
	var none M
	store, snapshot, records, err := Open(directory)
	if err != nil {
		return nil, none, err
	}
	machine, err = build(snapshot, records)
	if err != nil {
		return nil, none, err
	}
	if err := store.Compact(machine.Snapshot()); err != nil {
		return nil, none, err
	}
	return store, machine, nil
}
