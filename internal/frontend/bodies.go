// This file reads the bodies of callers' requests. What all of them take together is
// bounded: a body that doesn't fit now is refused at once, with a time to come back.

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

// bodyStep is by how much a body of unknown length grows its claim.
const bodyStep = 64 << 10

// slowestBody bounds how long any body may take.
const slowestBody = 20 * time.Minute

// bodyRoom is the memory that callers' bodies may take together.
type bodyRoom struct {
	lock sync.Mutex
	left int64
}

// claim takes some of the room; false when so much is not left.
func (r *bodyRoom) claim(size int64) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if size > r.left {
		return false
	}
	r.left -= size
	return true
}

func (r *bodyRoom) release(size int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.left += size
}

// readBody reads a body whole. Whoever calls it releases what it claimed.
func (r *bodyRoom) readBody(in *http.Request, most int64) (body []byte, claimed int64, code errcode.Code) {
	if in.ContentLength > most {
		return nil, 0, errcode.RequestTooLarge
	}
	if in.ContentLength >= 0 {
		if !r.claim(in.ContentLength) {
			return nil, 0, errcode.BusyBodies
		}
		body = make([]byte, in.ContentLength)
		if _, err := io.ReadFull(in.Body, body); err != nil {
			return nil, in.ContentLength, unreadCode(err)
		}
		return body, in.ContentLength, errcode.OK
	}
	for {
		if int64(len(body))+bodyStep > claimed {
			// The growing slice may be twice as large as what it holds.
			if !r.claim(bodyStep * 2) {
				return nil, claimed, errcode.BusyBodies
			}
			claimed += bodyStep * 2
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		size, err := in.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+size]
		switch {
		case int64(len(body)) > most:
			return nil, claimed, errcode.RequestTooLarge
		case err == io.EOF:
			return body, claimed, errcode.OK
		case err != nil:
			return nil, claimed, unreadCode(err)
		}
	}
}

// unreadCode: too slow, or broken off.
func unreadCode(err error) errcode.Code {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errcode.RequestTooSlow
	}
	return errcode.RequestUnreadable
}

// headBytes is the size of a request's head as callers write it.
func headBytes(in *http.Request) int64 {
	size := len(in.Method) + len(in.RequestURI) + len(in.Proto) + len("  \r\n\r\n") + len("Host: \r\n") + len(in.Host)
	for name, values := range in.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}
