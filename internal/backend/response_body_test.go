package backend

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/quota"
)

// responseOf parses a response with a body of a known length, or in chunks, that is cut short by some bytes.
func responseOf(c *qt.C, body string, chunked bool, cut int) *http.Response {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if chunked {
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text[:len(text)-cut])), nil)
	c.Assert(err, qt.IsNil)
	return response
}

// Response bodies are read whole within the memory, which holds what was read until it is released. A body that is cut
// short is an error, also at the size from which on memory is reserved, and returns its memory.
func TestResponseMemory(t *testing.T) {
	const limit = 4 * largeResponse
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{0, 1, largeResponse - 2, largeResponse - 1, largeResponse, largeResponse + 1, limit, limit + 1} {
			c := qt.New(t)
			memory := responseMemory{quota.New(1 << 30)}
			expected := strings.Repeat("z", size)
			body, err := memory.read(responseOf(c, expected, chunked, 0), limit, time.Now())
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(body, []byte(expected)), qt.IsTrue, qt.Commentf("%d bytes, chunked %t", size, chunked))
			c.Assert(memory.bytes.Used(), qt.Equals, reserved(int64(size)))
			memory.release(int64(len(body)))
			c.Assert(memory.bytes.Used(), qt.Equals, int64(0))
			if size == 0 || size > limit {
				continue // nothing to cut, or too large in any case: the end is not read
			}
			_, err = memory.read(responseOf(c, expected, chunked, 1), limit, time.Now())
			c.Assert(err, qt.IsNotNil, qt.Commentf("%d bytes, chunked %t", size, chunked))
			c.Assert(memory.bytes.Used(), qt.Equals, int64(0))
		}
	}
}

// Guards against bodies of unknown length that each keep a part of the memory and wait for each other's.
func TestResponsesDontWaitForEachOther(t *testing.T) {
	c := qt.New(t)
	const limit = 4 * largeResponse
	memory := responseMemory{quota.New(reserved(limit + 1))}
	ended := make(chan error)
	for range 8 {
		go func() {
			body, err := memory.read(responseOf(c, strings.Repeat("z", limit), true, 0), limit, time.Now().Add(10*time.Second))
			memory.release(int64(len(body)))
			ended <- err
		}()
	}
	for range 8 {
		c.Assert(<-ended, qt.IsNil)
	}
	c.Assert(memory.bytes.Used(), qt.Equals, int64(0))
	c.Assert(memory.reserve(limit, time.Now()), qt.IsNil)
	c.Assert(memory.reserve(limit, time.Now()), qt.Not(qt.IsNil))
}
