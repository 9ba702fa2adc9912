package frontend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/proxy"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// Guards against a request whose body comes slower than its route's timeout and that gets no answer at that time.
func TestSlowBodyIsAnsweredAtTheRoutesTimeout(t *testing.T) {
	c := qt.New(t)
	pipeline := newLimitedPipeline(`{}`, func(*settings.Settings) {})
	configuration := routeconfig.Parse("main", 1, []byte(`{"services":["pay"],"routes":[`+
		`{"name":"r","host":"shop.example","prefix":"/","service":"pay","timeout_ms":200}]}`), settings.Default().ConfigurationLimits())
	pipeline.frontend.UpdateSnapshot(0, &proxy.Snapshot{Configurations: []*routeconfig.Configuration{configuration}})
	begun := time.Now()
	_, responses := dialPipeline(c, pipeline, oneRequest[:len(oneRequest)-1])
	requireCode(c, responses, errcode.RequestTooSlow)
	c.Assert(time.Since(begun) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(begun)))
}
