package message

import (
	"encoding/binary"
	"reflect"
)

// AttemptFrame identifies the attempt that a frame carries.
type AttemptFrame struct {
	ID        string
	IsForward bool // the frame is a Forward; otherwise it is an Outcome
}

// PeekBytes is the number of leading bytes of a frame that PeekAttempt needs at most.
const PeekBytes = 256

var (
	forwardKind = byType[reflect.TypeFor[Forward]()].kind
	outcomeKind = byType[reflect.TypeFor[Outcome]()].kind
)

// PeekAttempt returns which attempt a frame carries, from its first bytes: the kind, and the id, which is the
// first field of both types. It returns false for any other frame.
func PeekAttempt(head []byte) (attempt AttemptFrame, found bool) {
	if len(head) <= kindBytes || head[0] != forwardKind && head[0] != outcomeKind {
		return AttemptFrame{}, false
	}
	length, size := binary.Varint(head[kindBytes:])
	begin := kindBytes + size
	if size <= 0 || length <= 0 || length > int64(len(head)-begin) {
		return AttemptFrame{}, false
	}
	return AttemptFrame{ID: string(head[begin : begin+int(length)]), IsForward: head[0] == forwardKind}, true
}
