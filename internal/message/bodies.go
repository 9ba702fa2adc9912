package message

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
)

// splicedBodyBytes is the size of a body from which on it is not passed through the codec, which would hold several
// copies of it.
const splicedBodyBytes = 64 << 10

// placeholderBytes is the length of the random bytes that stand for a body while a record is encoded.
const placeholderBytes = 16

// takeBody returns the large body of a message, and the message with a placeholder instead of it. It returns a nil
// body for every other message.
func takeBody(sent any) (body, placeholder []byte, rest any) {
	var replace func(placeholder []byte) any
	switch typed := sent.(type) {
	case Forward:
		body = typed.Body
		replace = func(placeholder []byte) any { typed.Body = placeholder; return typed }
	case Outcome:
		body = typed.Body
		replace = func(placeholder []byte) any { typed.Body = placeholder; return typed }
	}
	if len(body) < splicedBodyBytes {
		return nil, nil, sent
	}
	placeholder = make([]byte, placeholderBytes)
	_, _ = rand.Read(placeholder) // never fails: the runtime aborts the process if no random bytes are available
	return body, placeholder, replace(placeholder)
}

// spliceBody returns a frame, without its checksum, of a record in which the body takes the place of the
// placeholder. It returns false if the placeholder doesn't occur exactly once.
func spliceBody(kind byte, record, placeholder, body []byte) (frame []byte, spliced bool) {
	field := append(binary.AppendVarint(nil, placeholderBytes), placeholder...)
	if bytes.Count(record, field) != 1 {
		return nil, false
	}
	before, after, _ := bytes.Cut(record, field)
	frame = make([]byte, 0, kindBytes+len(record)+binary.MaxVarintLen64+len(body)+checksumBytes)
	frame = append(frame, kind)
	frame = append(frame, before...)
	frame = binary.AppendVarint(frame, int64(len(body)))
	frame = append(frame, body...)
	return append(frame, after...), true
}
