package quorum

// This file reads what the disks of the two core programs have in common: the voter, its
// votes, and the addresses remembered for the next life.

import (
	"fmt"

	"beaconvane/internal/errcode"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
)

// Restored is the common part of a core program's state, as its disk held it.
type Restored struct {
	Voter message.VoterState
	Votes []message.Vote
}

// Replay reads the records of the log behind the snapshot, oldest first. The common ones are
// taken here; each other is handed to own.
func (r *Restored) Replay(records [][]byte, members *membership.Membership, own func(record any)) error {
	for _, record := range records {
		decoded, err := message.Decode(record)
		if err != nil {
			return Corrupt(err)
		}
		switch held := decoded.(type) {
		case message.VoterState:
			r.Voter = held
		case message.Vote:
			r.Votes = append(r.Votes, held)
		case message.KnownAddresses:
			members.AddKnownAddresses(held.Addresses)
		default:
			own(decoded)
		}
	}
	return nil
}

// DecodeSnapshot reads the slot of a core program, which is a T; an empty disk gives a zero
// T.
func DecodeSnapshot[T any](snapshot []byte) (T, error) {
	var empty T
	if snapshot == nil {
		return empty, nil
	}
	decoded, err := message.Decode(snapshot)
	if err != nil {
		return empty, Corrupt(err)
	}
	state, isState := decoded.(T)
	if !isState {
		return empty, Corrupt(fmt.Errorf("a slot holds a %T", decoded))
	}
	return state, nil
}

// Corrupt wraps what is wrong with a disk's content.
func Corrupt(err error) error {
	return errcode.Wrap("quorum.restore", errcode.DiskCorrupt, fmt.Errorf("unreadable record: %v", err))
}
