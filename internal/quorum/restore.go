package quorum

import (
	"fmt"

	"beaconvane/internal/errcode"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
)

// RestoredState is the state on disk that the two control programs have in common.
type RestoredState struct {
	Voter message.VoterState
	Votes []message.Vote
}

// Replay decodes the log records written after the snapshot, oldest first. It applies the record types that both
// control programs share and passes every other record to handleOther.
func (r *RestoredState) Replay(records [][]byte, members *membership.Membership, handleOther func(record any)) error {
	for _, record := range records {
		decoded, err := message.Decode(record)
		if err != nil {
			return diskCorruptError(err)
		}
		switch restored := decoded.(type) {
		case message.VoterState:
			r.Voter = restored
		case message.Vote:
			r.Votes = append(r.Votes, restored)
		case message.KnownAddresses:
			members.AddKnownAddresses(restored.Addresses)
		default:
			handleOther(decoded)
		}
	}
	return nil
}

// DecodeSnapshot decodes a control program's snapshot, which must be a T. It returns a zero T if snapshot is nil.
func DecodeSnapshot[T any](snapshot []byte) (T, error) {
	var empty T
	if snapshot == nil {
		return empty, nil
	}
	decoded, err := message.Decode(snapshot)
	if err != nil {
		return empty, diskCorruptError(err)
	}
	state, isState := decoded.(T)
	if !isState {
		return empty, diskCorruptError(fmt.Errorf("snapshot has type %T, expected %T", decoded, empty))
	}
	return state, nil
}

// diskCorruptError wraps an error about the content of the disk with the code DiskCorrupt.
func diskCorruptError(err error) error {
	return errcode.Wrap("quorum.restore", errcode.DiskCorrupt, fmt.Errorf("unreadable record: %w", err))
}
