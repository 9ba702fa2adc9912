package message

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A message with a large body decodes to itself, whatever the body holds, and its attempt is known from its first bytes.
func TestLargeBodiesAreSpliced(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 1, splicedBodyBytes - 1, splicedBodyBytes, splicedBodyBytes + 1, 1 << 20} {
		body := bytes.Repeat([]byte{0, 1, 255}, size/3+1)[:size]
		forward := Forward{ID: "an-id.1", Path: "/x", Headers: []HeaderLine{{"A", "b"}}, Body: body, Retried: true, Tenant: "t"}
		outcome := Outcome{ID: "an-id.2", Kind: Completed, Headers: []HeaderLine{}, Body: body, ReachedUpstream: true, Load: 0.5}
		for _, sent := range []any{forward, outcome} {
			frame, err := Encode(sent)
			c.Assert(err, qt.IsNil)
			decoded, err := Decode(frame)
			c.Assert(err, qt.IsNil)
			c.Assert(reflect.DeepEqual(decoded, sent), qt.IsTrue, qt.Commentf("%d bytes", size))
			attempt, found := PeekAttempt(frame[:min(len(frame), PeekBytes)])
			c.Assert(found, qt.IsTrue)
			_, isForward := sent.(Forward)
			c.Assert(attempt.IsForward, qt.Equals, isForward)
			c.Assert(strings.HasPrefix(attempt.ID, "an-id."), qt.IsTrue)
		}
	}
}

// Frames that carry no attempt, or are malformed, have none.
func TestPeekOfOtherFrames(t *testing.T) {
	c := qt.New(t)
	frame, err := Encode(Cancel{ID: "an-id"})
	c.Assert(err, qt.IsNil)
	heads := [][]byte{frame, {}, {forwardKind}, {forwardKind, 0}, {forwardKind, 200}, {outcomeKind, 100, 'a'}, {forwardKind, 1}}
	for _, head := range heads {
		_, found := PeekAttempt(head)
		c.Check(found, qt.IsFalse, qt.Commentf("%v", head))
	}
}
