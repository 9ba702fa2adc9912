// Which registries a proxy tells its counts.
package proxy

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// Where there are more registries than voters, counts go to voters, since a new holder
// reads a majority of those; and they are in as many zones as there are.
func TestCountsGoToVotersInSeveralZones(t *testing.T) {
	c := qt.New(t)
	registries := []message.Member{}
	for index, member := range []struct{ voter, zone string }{{"", "x"}, {"", "y"}, {"1", "x"}, {"2", "x"}, {"3", "x"}, {"4", "y"}, {"5", "z"}} {
		registries = append(registries, message.Member{Name: fmt.Sprintf("registry/n%d", index), Voter: member.voter, Zone: member.zone})
	}
	for _, tried := range []struct {
		count  int
		wanted []string
	}{{1, []string{"1"}}, {3, []string{"1", "4", "5"}}, {4, []string{"1", "4", "5", "2"}}, {5, []string{"1", "4", "5", "2", "3"}}} {
		voters := []string{}
		for _, chosen := range chooseCounters(registries, tried.count) {
			voters = append(voters, chosen.Voter)
		}
		c.Check(voters, qt.DeepEquals, tried.wanted)
	}
	c.Check(chooseCounters(registries, 9), qt.HasLen, len(registries))
	c.Check(chooseCounters(registries[:2], 1), qt.HasLen, 1)
}
