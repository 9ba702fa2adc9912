// Tests of the operators' put command while the voters have not formed their group.
package cli

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/api"
	"beaconvane/internal/errcode"
)

// fakeRegistry starts a server that responds to the n-th write with the n-th code, and to all further
// writes with the last code. It returns its address and the recorded writes.
func fakeRegistry(c *qt.C, codes ...errcode.Code) (address string, writes *[]string) {
	writes = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		body := bytes.Buffer{}
		body.ReadFrom(in.Body)
		*writes = append(*writes, in.Method+" "+in.URL.Path+" "+body.String())
		api.WriteCode(out, codes[min(len(*writes), len(codes))-1], "")
	}))
	c.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), writes
}

// A write is retried only for result codes that mean that it had no effect because the group of voters
// has not formed.
func TestWriteRetriesUntilGroupForms(t *testing.T) {
	for name, test := range map[string]struct {
		codes    []errcode.Code
		maxWait  time.Duration
		writes   int
		lastCode errcode.Code
		logLines int
	}{
		"accepted at once": {[]errcode.Code{errcode.OK}, time.Minute, 1, errcode.OK, 0},
		"group forms": {[]errcode.Code{errcode.ConfigurationNoHolder, errcode.ConfigurationNoHolder,
			errcode.ConfigurationBehind, errcode.OK}, time.Minute, 4, errcode.OK, 2},
		"zero wait":        {[]errcode.Code{errcode.ConfigurationNoHolder, errcode.OK}, 0, 1, errcode.ConfigurationNoHolder, 0},
		"invalid":          {[]errcode.Code{errcode.ConfigurationBad, errcode.OK}, time.Minute, 1, errcode.ConfigurationBad, 0},
		"version conflict": {[]errcode.Code{errcode.ConfigurationConflict, errcode.OK}, time.Minute, 1, errcode.ConfigurationConflict, 0},
		"unsure outcome":   {[]errcode.Code{errcode.ConfigurationUnsure, errcode.OK}, time.Minute, 1, errcode.ConfigurationUnsure, 0},
		"invalid on retry": {[]errcode.Code{errcode.ConfigurationBehind, errcode.ConfigurationBad, errcode.OK},
			time.Minute, 2, errcode.ConfigurationBad, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, writes := fakeRegistry(c, test.codes...)
			log, out := bytes.Buffer{}, bytes.Buffer{}
			result := retryUntilGroupForms(func() callResult {
				return call(address, http.MethodPut, "/v1/configurations/main/1", []byte("configuration"))
			}, test.maxWait, time.Millisecond, &log)
			c.Assert(*writes, qt.HasLen, test.writes)
			for _, write := range *writes {
				c.Assert(write, qt.Equals, "PUT /v1/configurations/main/1 configuration")
			}
			c.Assert(result.status, qt.Equals, test.lastCode.Status())
			c.Assert(result.print(&out) == nil, qt.Equals, test.lastCode == errcode.OK)
			c.Assert(out.String(), qt.Contains, test.lastCode.String())
			c.Assert(strings.Count(log.String(), "waiting up to"), qt.Equals, test.logLines, qt.Commentf(log.String()))
		})
	}
}

// The retries end after maxWait, also while no registry listens, and the last result is returned.
func TestWriteRetriesAreBounded(t *testing.T) {
	c := qt.New(t)
	address, writes := fakeRegistry(c, errcode.ConfigurationNoHolder)
	log := bytes.Buffer{}
	write := func(address string) func() callResult {
		return func() callResult { return call(address, http.MethodPut, "/", nil) }
	}
	result := retryUntilGroupForms(write(address), 30*time.Millisecond, time.Millisecond, &log)
	c.Assert(result.code, qt.Equals, "4005")
	c.Assert(len(*writes) > 1, qt.IsTrue)
	c.Assert(log.String(), qt.Equals, "waiting up to 30ms for the group of voters: ConfigurationNoHolder (4005)\n")

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	unusedAddress := listener.Addr().String()
	listener.Close()
	log.Reset()
	result = retryUntilGroupForms(write(unusedAddress), 30*time.Millisecond, time.Millisecond, &log)
	c.Assert(errcode.CodeOf(result.err), qt.Equals, errcode.ConnectionLost)
	c.Assert(log.String(), qt.Equals, "waiting up to 30ms for the group of voters: connection refused\n")
}
