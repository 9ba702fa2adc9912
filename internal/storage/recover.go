package storage

// Restorable is a state machine that is built from what a folder holds and can tell its
// whole state.
type Restorable interface {
	Snapshot() []byte
}

// Recover opens a folder anew after a write has failed. What an earlier sync left open
// may be readable and yet not durable, so nothing that was read counts until the whole
// state is in a slot that was written and synced since. While the disk takes no writes an
// error comes back and Recover is to be called again later.
func Recover[M Restorable](folder Directory, build func(snapshot []byte, records [][]byte) (M, error)) (*Store, M, error) {
	var none M
	store, snapshot, records, err := Open(folder)
	if err != nil {
		return nil, none, err
	}
	machine, err := build(snapshot, records)
	if err != nil {
		return nil, none, err
	}
	if err := store.Compact(machine.Snapshot()); err != nil {
		return nil, none, err
	}
	return store, machine, nil
}
