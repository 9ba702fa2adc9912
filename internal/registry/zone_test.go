package registry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/distribution"
)

// Only the topic of a slice names a zone: neither the topic of a configuration nor a bare name
// does.
func TestZoneOfTopic(t *testing.T) {
	c := qt.New(t)
	for topic, expected := range map[string]struct {
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
		c.Check(zone, qt.Equals, expected.zone, qt.Commentf(topic))
		c.Check(isSlice, qt.Equals, expected.isSlice, qt.Commentf(topic))
	}
}
