package backend

import (
	"io"
	"net/http"
	"os"
	"time"

	"beaconvane/internal/quota"
)

const (
	// largeResponse is the size of a response body from which on its memory is reserved.
	largeResponse = 64 << 10
	// responseCopies is how often a response body is in memory: as it was read, and in the frame that carries it.
	responseCopies = 2
	// responseRetryInterval is the interval at which a response that waits for memory asks for it again.
	responseRetryInterval = 2 * time.Millisecond
)

// responseMemory limits the memory of the large responses that are read from upstreams and not passed on yet. A
// response waits until its memory is available: the upstream is then held up by the flow control of TCP.
type responseMemory struct {
	bytes *quota.Bytes // nil: no limit
}

// reserved returns the number of bytes that are reserved for a body.
func reserved(bodyBytes int64) int64 {
	if bodyBytes < largeResponse {
		return 0
	}
	return bodyBytes * responseCopies
}

// reserve reserves the memory of a body. It waits until the deadline.
func (m responseMemory) reserve(bodyBytes int64, deadline time.Time) error {
	size := reserved(bodyBytes)
	for m.bytes != nil && !m.bytes.Reserve(size) {
		if time.Now().After(deadline) {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(responseRetryInterval)
	}
	return nil
}

// release returns the memory of a body.
func (m responseMemory) release(bodyBytes int64) {
	if m.bytes != nil {
		m.bytes.Release(reserved(bodyBytes))
	}
}

// read reads a body, of which it returns at most limit bytes and one more. The memory of the body stays reserved,
// unless there is an error. A body of unknown length gets the memory of the largest one as soon as it is large: if it
// kept a part while it waits for more, bodies could wait for each other.
func (m responseMemory) read(response *http.Response, limit int64, deadline time.Time) ([]byte, error) {
	reader := io.LimitReader(response.Body, limit+1)
	expected := response.ContentLength
	if expected < 0 {
		expected = largeResponse - 1
	}
	if err := m.reserve(expected, deadline); err != nil {
		return nil, err
	}
	body, err := readUpTo(reader, expected)
	if err == nil && response.ContentLength < 0 && int64(len(body)) == expected {
		// The bytes so far are not reserved, since the body was not large yet.
		expected = limit + 1
		if err := m.reserve(expected, deadline); err != nil {
			return nil, err
		}
		var rest []byte
		rest, err = io.ReadAll(reader)
		body = append(body, rest...)
	}
	if err != nil {
		m.release(expected)
		return nil, err
	}
	if m.bytes != nil {
		m.bytes.Release(reserved(expected) - reserved(int64(len(body))))
	}
	return body, nil
}

// readUpTo reads until the end, or until count bytes have been read. It passes on the reader's own error for a body
// that is cut short.
func readUpTo(reader io.Reader, count int64) ([]byte, error) {
	body := make([]byte, count)
	size := 0
	for size < len(body) {
		read, err := reader.Read(body[size:])
		size += read
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return body[:size], nil
}
