package message

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A body of 8 MiB, which is above the library's default limit of 1 MiB, is encoded and decoded unchanged.
func TestLargestBodySurvives(t *testing.T) {
	c := qt.New(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), 8<<16)
	frame, err := Encode(WriteRequest{RequestID: 1, ConfigName: "main", Version: 2, Body: body})
	c.Assert(err, qt.IsNil)
	decoded, err := Decode(frame)
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(decoded.(WriteRequest).Body, body), qt.IsTrue)
}

// Truncated frames, frames without a valid checksum and unregistered types are rejected.
func TestInvalidFramesAreRejected(t *testing.T) {
	c := qt.New(t)
	frame, err := Encode(Forward{ID: "x", Headers: []HeaderLine{{"A", "b"}}, Body: []byte("body")})
	c.Assert(err, qt.IsNil)
	for size := range len(frame) {
		_, err := Decode(frame[:size])
		c.Assert(err, qt.IsNotNil, qt.Commentf("%d bytes", size))
	}
	_, err = Decode([]byte{255, 1, 2})
	c.Assert(err, qt.IsNotNil)
	_, err = Encode(struct{ X int64 }{1})
	c.Assert(err, qt.IsNotNil)
}
