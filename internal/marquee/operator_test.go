// The operators' put, while the seats are still finding their group.
package marquee

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/notice"
)

// board answers the n-th put with the n-th code, the last one for ever.
func board(c *qt.C, codes ...notice.Code) (at string, puts *[]string) {
	puts = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		body := bytes.Buffer{}
		body.ReadFrom(in.Body)
		*puts = append(*puts, in.Method+" "+in.URL.Path+" "+body.String())
		writeCode(out, codes[min(len(*puts), len(codes))-1], "")
	}))
	c.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), puts
}

func TestPutWaitsForTheGroup(t *testing.T) {
	for name, tried := range map[string]struct {
		codes    []notice.Code
		patience time.Duration
		puts     int
		last     notice.Code
		says     int
	}{
		"taken at once":       {[]notice.Code{notice.OK}, time.Minute, 1, notice.OK, 0},
		"no group, then one":  {[]notice.Code{notice.LayoutNoHolder, notice.LayoutNoHolder, notice.LayoutBehind, notice.OK}, time.Minute, 4, notice.OK, 2},
		"no patience":         {[]notice.Code{notice.LayoutNoHolder, notice.OK}, 0, 1, notice.LayoutNoHolder, 0},
		"faults are no wait":  {[]notice.Code{notice.LayoutBad, notice.OK}, time.Minute, 1, notice.LayoutBad, 0},
		"nor a taken number":  {[]notice.Code{notice.LayoutConflict, notice.OK}, time.Minute, 1, notice.LayoutConflict, 0},
		"nor what may be in":  {[]notice.Code{notice.LayoutUnsure, notice.OK}, time.Minute, 1, notice.LayoutUnsure, 0},
		"a fault after a try": {[]notice.Code{notice.LayoutBehind, notice.LayoutBad, notice.OK}, time.Minute, 2, notice.LayoutBad, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			at, puts := board(c, tried.codes...)
			says, out := bytes.Buffer{}, bytes.Buffer{}
			told := persist(func() outcome { return asked(at, http.MethodPut, "/v1/layouts/main/1", []byte("sheet")) }, tried.patience, time.Millisecond, &says)
			c.Assert(*puts, qt.HasLen, tried.puts)
			for _, put := range *puts {
				c.Assert(put, qt.Equals, "PUT /v1/layouts/main/1 sheet")
			}
			c.Assert(told.status, qt.Equals, tried.last.Status())
			c.Assert(told.show(&out) == nil, qt.Equals, tried.last == notice.OK)
			c.Assert(out.String(), qt.Contains, tried.last.String())
			c.Assert(strings.Count(says.String(), "waiting up to"), qt.Equals, tried.says, qt.Commentf(says.String()))
		})
	}
}

// The wait has an end, also where nobody listens, and the last answer is what is told.
func TestPutWaitsNoLongerThanItSays(t *testing.T) {
	c := qt.New(t)
	at, puts := board(c, notice.LayoutNoHolder)
	says := bytes.Buffer{}
	told := persist(func() outcome { return asked(at, http.MethodPut, "/", nil) }, 30*time.Millisecond, time.Millisecond, &says)
	c.Assert(told.code, qt.Equals, "4005")
	c.Assert(len(*puts) > 1, qt.IsTrue)
	c.Assert(says.String(), qt.Equals, "waiting up to 30ms for the group of seats: LayoutNoHolder (4005)\n")

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	nobody := listener.Addr().String()
	listener.Close()
	says.Reset()
	told = persist(func() outcome { return asked(nobody, http.MethodPut, "/", nil) }, 30*time.Millisecond, time.Millisecond, &says)
	c.Assert(notice.CodeOf(told.err), qt.Equals, notice.WireLost)
	c.Assert(says.String(), qt.Equals, "waiting up to 30ms for the group of seats: nobody listens yet\n")
}
