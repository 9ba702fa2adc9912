package frontend

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"beaconvane/internal/errcode"
)

const (
	// bodyChunk is by how much the reservation of a body of unknown length grows.
	bodyChunk = 64 << 10

	// growthFactor is how much larger than what it holds a growing slice may be.
	growthFactor = 2

	// maxBodyTime bounds how long any body may take.
	maxBodyTime = 20 * time.Minute
)

// bodyQuota bounds the memory that the bodies of callers' requests take together. A body that
// doesn't fit now is refused at once.
type bodyQuota struct {
	lock      sync.Mutex
	available int64
}

// reserve takes a part of the quota. It returns false when so much is not left.
func (q *bodyQuota) reserve(size int64) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	if size > q.available {
		return false
	}
	q.available -= size
	return true
}

func (q *bodyQuota) release(size int64) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.available += size
}

// readBody reads a body whole. Whoever calls it releases what was reserved, also after a refusal.
func (q *bodyQuota) readBody(in *http.Request, limit int64) (body []byte, reserved int64, code errcode.Code) {
	switch {
	case in.ContentLength > limit:
		return nil, 0, errcode.RequestTooLarge
	case in.ContentLength >= 0:
		return q.readKnownLength(in.Body, in.ContentLength)
	}
	return q.readUnknownLength(in.Body, limit)
}

func (q *bodyQuota) readKnownLength(in io.Reader, length int64) (body []byte, reserved int64, code errcode.Code) {
	if !q.reserve(length) {
		return nil, 0, errcode.BusyBodies
	}
	body = make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, length, readErrorCode(err)
	}
	return body, length, errcode.OK
}

func (q *bodyQuota) readUnknownLength(in io.Reader, limit int64) (body []byte, reserved int64, code errcode.Code) {
	for {
		if int64(len(body))+bodyChunk > reserved {
			if !q.reserve(bodyChunk * growthFactor) {
				return nil, reserved, errcode.BusyBodies
			}
			reserved += bodyChunk * growthFactor
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		size, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+size]
		switch {
		case int64(len(body)) > limit:
			return nil, reserved, errcode.RequestTooLarge
		case err == io.EOF:
			return body, reserved, errcode.OK
		case err != nil:
			return nil, reserved, readErrorCode(err)
		}
	}
}

// readErrorCode tells a body that was too slow from one that broke off.
func readErrorCode(err error) errcode.Code {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errcode.RequestTooSlow
	}
	return errcode.RequestUnreadable
}

// headerBytes is the size of a request's head as callers write it.
func headerBytes(in *http.Request) int64 {
	size := len(in.Method) + len(in.RequestURI) + len(in.Proto) + len("  \r\n\r\n") + len("Host: \r\n") + len(in.Host)
	for name, values := range in.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}
