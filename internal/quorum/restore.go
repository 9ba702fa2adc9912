package quorum

import (
	"fmt"

	"beaconvane/internal/errcode"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
)

// RestoredState is the part of the state on disk that the two control programs have in common.
type RestoredState struct {
	Voter message.VoterState
	Votes []message.Vote
}

// Replay reads the records of the log behind the snapshot, oldest first. It takes the common ones and hands each
// other to own.
func (r *RestoredState) Replay(records [][]byte, members *membership.Membership, own func(record any)) error {
	for _, record := range records {
		decoded, err := message.Decode(record)
		if err != nil {
			return corrupt(err)
		}
		switch restored := decoded.(type) {
		case message.VoterState:
			r.Voter = restored
		case message.Vote:
			r.Votes = append(r.Votes, restored)
		case message.KnownAddresses:
			members.AddKnownAddresses(restored.Addresses)
		default:
			own(decoded)
		}
	}
	return nil
}

// DecodeSnapshot reads a control program's snapshot, which is a T; without one it returns a zero T.
func DecodeSnapshot[T any](snapshot []byte) (T, error) {
	var empty T
	if snapshot == nil {
		return empty, nil
	}
	decoded, err := message.Decode(snapshot)
	if err != nil {
		return empty, corrupt(err)
	}
	state, isState := decoded.(T)
	if !isState {
		return empty, corrupt(fmt.Errorf("a slot holds a %T", decoded))
	}
	return state, nil
}

// corrupt wraps what is wrong with the content of a disk.
func corrupt(err error) error {
	return errcode.Wrap("quorum.restore", errcode.DiskCorrupt, fmt.Errorf("unreadable record: %w", err))
}
