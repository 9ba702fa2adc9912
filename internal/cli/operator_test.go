// The operators' write, while the voters have not formed their group yet.
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

// fakeRegistry answers the n-th write with the n-th code, the last one for ever.
func fakeRegistry(c *qt.C, codes ...errcode.Code) (at string, writes *[]string) {
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

func TestWriteWaitsForTheGroup(t *testing.T) {
	for name, tried := range map[string]struct {
		codes  []errcode.Code
		limit  time.Duration
		writes int
		last   errcode.Code
		says   int
	}{
		"taken at once": {[]errcode.Code{errcode.OK}, time.Minute, 1, errcode.OK, 0},
		"no group, then one": {[]errcode.Code{errcode.ConfigurationNoHolder, errcode.ConfigurationNoHolder,
			errcode.ConfigurationBehind, errcode.OK}, time.Minute, 4, errcode.OK, 2},
		"no wait":            {[]errcode.Code{errcode.ConfigurationNoHolder, errcode.OK}, 0, 1, errcode.ConfigurationNoHolder, 0},
		"faults are no wait": {[]errcode.Code{errcode.ConfigurationBad, errcode.OK}, time.Minute, 1, errcode.ConfigurationBad, 0},
		"nor a taken number": {[]errcode.Code{errcode.ConfigurationConflict, errcode.OK}, time.Minute, 1, errcode.ConfigurationConflict, 0},
		"nor what may be in": {[]errcode.Code{errcode.ConfigurationUnsure, errcode.OK}, time.Minute, 1, errcode.ConfigurationUnsure, 0},
		"a fault after a try": {[]errcode.Code{errcode.ConfigurationBehind, errcode.ConfigurationBad, errcode.OK},
			time.Minute, 2, errcode.ConfigurationBad, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			at, writes := fakeRegistry(c, tried.codes...)
			says, out := bytes.Buffer{}, bytes.Buffer{}
			response := retryUntilGroupForms(func() callResult {
				return call(at, http.MethodPut, "/v1/configurations/main/1", []byte("configuration"))
			}, tried.limit, time.Millisecond, &says)
			c.Assert(*writes, qt.HasLen, tried.writes)
			for _, write := range *writes {
				c.Assert(write, qt.Equals, "PUT /v1/configurations/main/1 configuration")
			}
			c.Assert(response.status, qt.Equals, tried.last.Status())
			c.Assert(response.print(&out) == nil, qt.Equals, tried.last == errcode.OK)
			c.Assert(out.String(), qt.Contains, tried.last.String())
			c.Assert(strings.Count(says.String(), "waiting up to"), qt.Equals, tried.says, qt.Commentf(says.String()))
		})
	}
}

// The wait has an end, also while no registry listens, and the last answer is returned.
func TestWriteWaitsNoLongerThanItSays(t *testing.T) {
	c := qt.New(t)
	at, writes := fakeRegistry(c, errcode.ConfigurationNoHolder)
	says := bytes.Buffer{}
	write := func(address string) func() callResult {
		return func() callResult { return call(address, http.MethodPut, "/", nil) }
	}
	response := retryUntilGroupForms(write(at), 30*time.Millisecond, time.Millisecond, &says)
	c.Assert(response.code, qt.Equals, "4005")
	c.Assert(len(*writes) > 1, qt.IsTrue)
	c.Assert(says.String(), qt.Equals, "waiting up to 30ms for the group of voters: ConfigurationNoHolder (4005)\n")

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	nobody := listener.Addr().String()
	listener.Close()
	says.Reset()
	response = retryUntilGroupForms(write(nobody), 30*time.Millisecond, time.Millisecond, &says)
	c.Assert(errcode.CodeOf(response.err), qt.Equals, errcode.ConnectionLost)
	c.Assert(says.String(), qt.Equals, "waiting up to 30ms for the group of voters: nobody listens yet\n")
}
