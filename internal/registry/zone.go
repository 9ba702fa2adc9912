package registry

import (
	"strings"
	"time"

	"beaconvane/internal/distribution"
)

// zoneReplica is this registry's copy of one zone's slice of the roster.
type zoneReplica struct {
	slice *distribution.RosterSlice

	// complete says that the copy holds all that a holder before may have committed. Only then
	// may this registry become the zone's holder.
	complete bool

	// incompletePeers are the voters that answered a pull by saying that their copy isn't
	// complete either.
	incompletePeers map[string]bool

	acquiredAt time.Duration // when this registry last acquired the zone's lease
	nextPullAt time.Duration // no pull of the whole copy before it
}

func newZoneReplicas(zones []string) map[string]*zoneReplica {
	replicas := make(map[string]*zoneReplica, len(zones))
	for _, zone := range zones {
		replicas[zone] = &zoneReplica{
			slice:           distribution.NewRosterSlice(distribution.SliceTopic(zone)),
			incompletePeers: map[string]bool{},
		}
	}
	return replicas
}

// zoneOfTopic parses the topic of a zone's slice of the roster; false for any other topic.
func zoneOfTopic(topic string) (string, bool) {
	return strings.CutPrefix(topic, distribution.SliceTopic(""))
}

// replicaOfTopic returns the copy of the zone whose slice a topic carries.
func (m *Machine) replicaOfTopic(topic string) (*zoneReplica, bool) {
	zone, isSlice := zoneOfTopic(topic)
	if !isSlice {
		return nil, false
	}
	replica, known := m.zones[zone]
	return replica, known
}
