package frontend

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/quota"
)

const (
	// bodyChunk is the number of bytes for which the reservation of a body of unknown length is
	// extended at a time.
	bodyChunk = 64 << 10

	// growthFactor is the maximum ratio of capacity to length of a slice that append grows. The
	// reservation covers the capacity.
	growthFactor = 2

	// maxBodyTime is the maximum time for reading a body.
	maxBodyTime = 20 * time.Minute
)

// bodyQuota limits the total memory for the bodies of callers' requests. A body that exceeds the
// available quota is refused immediately.
type bodyQuota struct{ *quota.Bytes }

// readBody reads a complete body of at most limit bytes. The caller must release the reserved
// bytes, also after a refusal.
func (q *bodyQuota) readBody(in *http.Request, limit int64) (body []byte, reserved int64, code errcode.Code) {
	switch {
	case in.ContentLength > limit:
		return nil, 0, errcode.RequestTooLarge
	case in.ContentLength >= 0:
		return q.readKnownLength(in.Body, in.ContentLength)
	}
	return q.readUnknownLength(in.Body, limit)
}

// readKnownLength reads a body whose length the request's head declares.
func (q *bodyQuota) readKnownLength(in io.Reader, length int64) (body []byte, reserved int64, code errcode.Code) {
	if !q.Reserve(length) {
		return nil, 0, errcode.BusyBodies
	}
	body = make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, length, readErrorCode(err)
	}
	return body, length, errcode.OK
}

// readUnknownLength reads a chunked body, and extends the reservation as the body grows.
func (q *bodyQuota) readUnknownLength(in io.Reader, limit int64) (body []byte, reserved int64, code errcode.Code) {
	for {
		if int64(len(body))+bodyChunk > reserved {
			if !q.Reserve(bodyChunk * growthFactor) {
				return nil, reserved, errcode.BusyBodies
			}
			reserved += bodyChunk * growthFactor
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		count, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
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

// readErrorCode distinguishes a body that exceeded the read deadline from one that was truncated.
func readErrorCode(err error) errcode.Code {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errcode.RequestTooSlow
	}
	return errcode.RequestUnreadable
}

// headerBytes returns the size in bytes of a request's head in HTTP/1.1 form.
func headerBytes(in *http.Request) int64 {
	size := len(in.Method) + len(in.RequestURI) + len(in.Proto) + len("  \r\n\r\n") + len("Host: \r\n") + len(in.Host)
	for name, values := range in.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}
