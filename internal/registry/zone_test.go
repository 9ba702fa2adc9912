package registry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/distribution"
)

func TestZoneOfTopic(t *testing.T) {
	c := qt.New(t)
	for topic, wanted := range map[string]struct {
		zone    string
		isSlice bool
	}{
		distribution.SliceTopic("gasabo"):           {"gasabo", true},
		distribution.ConfigurationTopic("main"):     {distribution.ConfigurationTopic("main"), false},
		distribution.ConfigurationTopic("slice:up"): {distribution.ConfigurationTopic("slice:up"), false},
		"gasabo": {"gasabo", false},
		"":       {"", false},
	} {
		zone, isSlice := zoneOfTopic(topic)
		c.Check(zone, qt.Equals, wanted.zone, qt.Commentf(topic))
		c.Check(isSlice, qt.Equals, wanted.isSlice, qt.Commentf(topic))
	}
}
