package registry

import (
	"strings"
	"time"

	"beaconvane/internal/distribution"
)

// zoneReplica is this registry's copy of one zone's slice of the roster.
type zoneReplica struct {
	slice *distribution.RosterSlice

	// complete reports whether the copy holds all changes that an earlier holder may have
	// committed. This registry may acquire the zone's lease only if it does.
	complete bool

	// incompletePeers are the voters whose answer to a pull said that their copy isn't complete
	// either.
	incompletePeers map[string]bool

	acquiredAt time.Duration // when this registry last acquired the zone's lease
	nextPullAt time.Duration // earliest time of the next pull of a snapshot
}

// newZoneReplicas returns an empty, incomplete copy of each zone.
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

// zoneOfTopic returns the zone whose slice a topic carries. It returns false for any other topic.
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
