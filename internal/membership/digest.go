// This file compares what two nodes know without sending it: the members fall into parts
// by their names, and each part has a sum. Whoever joins names its sums, and is told the
// members of those parts that differ.

package membership

import (
	"fmt"
	"hash/fnv"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// digestParts is into how many parts the members fall; at a hundred members a part has
// about as many as one answer holds.
const digestParts = 16

// partOf is the part that a name falls into.
func partOf(name string) int {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return int(hash.Sum32() % digestParts)
}

// digest sums up what is known of every node, this one included, by part. Suspicions
// come and go and are no reason to send anything.
func (m *Membership) digest() []int64 {
	sums := make([]int64, digestParts)
	add := func(member message.Member) {
		hash := fnv.New64a()
		state := member.State
		if state == message.Suspect {
			state = message.Alive
		}
		fmt.Fprintf(hash, "%s|%s|%d|%d|%s", member.Name, member.Address, member.StartTime, state, member.Voter)
		sums[partOf(member.Name)] += int64(hash.Sum64())
	}
	for _, known := range m.members {
		if known.member.State <= message.Suspect {
			add(known.member)
		}
	}
	add(m.self)
	return sums
}

// answerJoin sends the members of the parts in which the asker knows something else, in
// as many responses as that takes; a single empty one where nothing differs.
func (m *Membership) answerJoin(env *statemachine.Env, request message.JoinRequest) {
	sums := m.digest()
	batch := []message.Member{}
	sent := false
	flush := func() {
		env.Datagram(request.From.Address, message.JoinResponse{From: m.self, Members: batch})
		batch, sent = []message.Member{}, true
	}
	for _, name := range m.names() {
		part := partOf(name)
		if part < len(request.Known) && request.Known[part] == sums[part] {
			continue
		}
		batch = append(batch, m.members[name].member)
		if len(batch) == membersPerResponse {
			flush()
		}
	}
	if len(batch) > 0 || !sent {
		flush()
	}
}
