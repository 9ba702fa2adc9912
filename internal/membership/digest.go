package membership

import (
	"fmt"
	"hash/fnv"
	"slices"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	// digestBuckets is the number of sums in a digest. With a hundred members, one bucket contains
	// about as many members as one response. It is part of the wire format.
	digestBuckets = 16
	// membersPerResponse is the maximum number of members in one JoinResponse.
	membersPerResponse = 6
)

// digestBucket returns the index of the digest sum that covers a name.
func digestBucket(name string) int {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return int(hash.Sum32() % digestBuckets)
}

// digest returns one sum per bucket over the members, including this node. Two nodes whose sums of a
// bucket are equal have the same information about its members. Suspicions are excluded: they are
// temporary and do not justify sending members.
func (m *Membership) digest() []int64 {
	sums := make([]int64, digestBuckets)
	for _, known := range m.members {
		if isAliveOrSuspect(known.member) {
			sums[digestBucket(known.member.Name)] += checksum(known.member)
		}
	}
	sums[digestBucket(m.self.Name)] += checksum(m.self)
	return sums
}

// checksum returns a hash of the member fields that a digest covers. A suspect counts as alive.
func checksum(member message.Member) int64 {
	state := member.State
	if state == message.Suspect {
		state = message.Alive
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s|%s|%d|%d|%s", member.Name, member.Address, member.StartTime, state, member.Voter)
	return int64(hash.Sum64())
}

// answerJoin sends the members of those digest buckets that differ from the requester's, in as many
// responses as necessary. If none differ, it sends a single empty response.
func (m *Membership) answerJoin(env *statemachine.Env, request message.JoinRequest) {
	differing := m.differingMembers(request.MemberListDigest)
	if len(differing) == 0 {
		env.Datagram(request.From.Address, message.JoinResponse{From: m.self, Members: differing})
	}
	for batch := range slices.Chunk(differing, membersPerResponse) {
		env.Datagram(request.From.Address, message.JoinResponse{From: m.self, Members: batch})
	}
}

// differingMembers returns the members, ordered by name, of the buckets in which a digest differs from
// this node's.
func (m *Membership) differingMembers(digest []int64) []message.Member {
	sums := m.digest()
	differing := []message.Member{}
	for _, name := range m.names() {
		bucket := digestBucket(name)
		if bucket >= len(digest) || digest[bucket] != sums[bucket] {
			differing = append(differing, m.members[name].member)
		}
	}
	return differing
}
