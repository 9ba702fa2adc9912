package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
)

// Each result code sets its status, headers and JSON body.
func TestCodeAnswers(t *testing.T) {
	for code, want := range map[errcode.Code]struct {
		status     int
		header     string
		retryAfter string
		body       string
	}{
		errcode.OK: {http.StatusOK, "", "", `{"code":0,"detail":"d","result":"OK"}`},
		errcode.ConfigurationNoHolder: {http.StatusServiceUnavailable, "4005", "1",
			`{"code":4005,"detail":"d","result":"ConfigurationNoHolder"}`},
		errcode.AnnounceBad: {http.StatusBadRequest, "2001", "", `{"code":2001,"detail":"d","result":"AnnounceBad"}`},
	} {
		t.Run(code.String(), func(t *testing.T) {
			c := qt.New(t)
			out := httptest.NewRecorder()
			WriteCode(out, code, "d")
			c.Assert(out.Code, qt.Equals, want.status)
			c.Assert(out.Header().Get("X-Beacon-Code"), qt.Equals, want.header)
			c.Assert(out.Header().Get("Retry-After"), qt.Equals, want.retryAfter)
			c.Assert(out.Header().Get("Content-Type"), qt.Equals, "application/json")
			c.Assert(strings.TrimSpace(out.Body.String()), qt.Equals, want.body)
		})
	}
}

// Upstreams accept acknowledgements of at most 4 KiB, header included.
func TestAcknowledgementsAreSmall(t *testing.T) {
	c := qt.New(t)
	const maxAcknowledgementBytes = 4 << 10
	for code := range errcode.Entries {
		out := httptest.NewRecorder()
		WriteCode(out, code, "")
		size := out.Body.Len()
		for name, values := range out.Header() {
			size += len(name) + len(strings.Join(values, "")) + len(": \r\n")
		}
		c.Check(size < maxAcknowledgementBytes, qt.IsTrue, qt.Commentf("%s: %d", code, size))
	}
}
