package membership

import (
	"fmt"
	"hash/fnv"
	"slices"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

const (
	// digestParts is how many sums a digest has; at a hundred members a part has about as many as one
	// response carries. It is a part of the wire format.
	digestParts = 16
	// membersPerResponse is how many members one JoinResponse carries.
	membersPerResponse = 6
)

// partOf returns the part of the digest that a name falls into.
func partOf(name string) int {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return int(hash.Sum32() % digestParts)
}

// digest returns a sum of what is known of every node, this one included, for each part of the names.
// Two nodes whose sums of a part are equal know the same of its members. Suspicions are left out: they
// come and go, and are no reason to send anything.
func (m *Membership) digest() []int64 {
	sums := make([]int64, digestParts)
	for _, known := range m.members {
		if counted(known.member) {
			sums[partOf(known.member.Name)] += checksum(known.member)
		}
	}
	sums[partOf(m.self.Name)] += checksum(m.self)
	return sums
}

// checksum returns a hash of what a digest covers of a member.
func checksum(member message.Member) int64 {
	state := member.State
	if state == message.Suspect {
		state = message.Alive
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s|%s|%d|%d|%s", member.Name, member.Address, member.StartTime, state, member.Voter)
	return int64(hash.Sum64())
}

// answerJoin sends the members of those parts of the digest in which the asker knows something else,
// in as many responses as that takes; a single empty one where nothing differs.
func (m *Membership) answerJoin(env *statemachine.Env, request message.JoinRequest) {
	differing := m.differingMembers(request.MemberListDigest)
	if len(differing) == 0 {
		env.Datagram(request.From.Address, message.JoinResponse{From: m.self, Members: differing})
	}
	for batch := range slices.Chunk(differing, membersPerResponse) {
		env.Datagram(request.From.Address, message.JoinResponse{From: m.self, Members: batch})
	}
}

// differingMembers returns the members, by name, of the parts in which a digest differs from this node's.
func (m *Membership) differingMembers(digest []int64) []message.Member {
	sums := m.digest()
	differing := []message.Member{}
	for _, name := range m.names() {
		part := partOf(name)
		if part >= len(digest) || digest[part] != sums[part] {
			differing = append(differing, m.members[name].member)
		}
	}
	return differing
}
