package proxy

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// If there are more registries than voters, counts must be sent to voters, since a new lease holder reads
// a majority of those, and the recipients must be spread across all zones.
func TestCountsGoToVotersInSeveralZones(t *testing.T) {
	c := qt.New(t)
	registries := []message.Member{}
	for index, member := range []struct{ voter, zone string }{
		{"", "x"}, {"", "y"}, {"1", "x"}, {"2", "x"}, {"3", "x"}, {"4", "y"}, {"5", "z"},
	} {
		registries = append(registries, message.Member{Name: fmt.Sprintf("registry/n%d", index), Voter: member.voter, Zone: member.zone})
	}
	for _, test := range []struct {
		count int
		want  []string
	}{
		{1, []string{"1"}},
		{3, []string{"1", "4", "5"}},
		{4, []string{"1", "4", "5", "2"}},
		{5, []string{"1", "4", "5", "2", "3"}},
	} {
		voters := []string{}
		for _, selected := range selectRecipients(registries, test.count) {
			voters = append(voters, selected.Voter)
		}
		c.Check(voters, qt.DeepEquals, test.want)
	}
	c.Check(selectRecipients(registries, 9), qt.HasLen, len(registries))
	c.Check(selectRecipients(registries[:2], 1), qt.HasLen, 1)
}
