package frontend

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/settings"
)

// Guards against requests that arrive at their upstream with another target: an empty query that is left out, and paths
// that net/http would encode anew.
func TestTargetsAreForwardedUnchanged(t *testing.T) {
	for _, target := range []string{
		"/a", "/a?", "/a??", "/a?b", "/a?b=%zz&c", "/?", "/", "//a%2Fb{", "//", "//x?", "/a//b/../c", "/a%3F?", "/a;b=c?d?e",
	} {
		c := qt.New(t)
		pipeline := newLimitedPipeline(`{}`, func(*settings.Settings) {})
		in, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: shop.example\r\n\r\n")))
		c.Assert(err, qt.IsNil)
		request := pipeline.newRequest(in)
		request.Path = request.RawPath // as the users' platform routes
		request.Configuration = configurationWithLimits(`{}`)
		forward := pipeline.frontend.forwardFrame(0, request, "proxy/me", "1")
		c.Check(forward.Target(), qt.Equals, target)
		path, _, _ := strings.Cut(target, "?")
		c.Check(forward.RoutingPath(), qt.Equals, path)
	}
}
