package quorum

import (
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// voterSet is a design of keeping the voters of a group.
type voterSet interface {
	// tick does what is due: it sends statuses, forms the group, or claims a voter.
	tick(env *statemachine.Env)
	// handle takes a VoterStatus, VoterClaim or VoterGrant of this group.
	handle(env *statemachine.Env, from string, msg any)
	// names lists the voters of the group.
	names() []string
	// signature is what this process signs with; "" while it must not sign.
	signature() string
	// accepts says that a signature is that of the member that holds a voter.
	accepts(voter, signature string) bool
	// counts says that an acknowledgement with this signature counts towards a majority.
	counts(voter, signature string) bool
	// standby says that the group is complete and this process holds no voter in it.
	standby(env *statemachine.Env) bool
	// handOver begins the planned replacement of this voter; false when nobody can take it.
	handOver(env *statemachine.Env) bool
	// handedOver says that another process holds this voter now.
	handedOver() bool
	// pendingListWrites counts the member lists that are not on disk yet.
	pendingListWrites() int
}

// Quorum is the voters of a group as one process knows them, and the process's own part among them.
type Quorum struct {
	*Replica
	voters voterSet
}

// New restores a quorum from what the disk held. An empty state gets a random identity on the first tick.
// beginVoting is called each time that this process becomes a voter; fresh says that the group was just
// formed, so that nobody has voted before.
func New(group string, cfg settings.Settings, host Host, state message.VoterState,
	beginVoting func(env *statemachine.Env, fresh bool)) *Quorum {
	replica := newReplica(group, cfg, host, state, beginVoting)
	if cfg.VoterCount > 0 {
		return &Quorum{Replica: replica, voters: newDiscoveredVoters(replica)}
	}
	return &Quorum{Replica: replica, voters: &staticVoters{Replica: replica}}
}

// DiscoversVoters says that the settings only count the voters, and the processes find who holds them.
func (q *Quorum) DiscoversVoters() bool { return q.settings.VoterCount > 0 }

// Tick sends statuses, forms the group, or claims a voter, as is due.
func (q *Quorum) Tick(env *statemachine.Env) { q.voters.tick(env) }

// Handle takes a message about voters; it returns false for any other.
func (q *Quorum) Handle(env *statemachine.Env, from string, msg any) bool {
	group, isVoterMessage := groupOf(msg)
	if !isVoterMessage {
		return false
	}
	if group == q.Group {
		q.voters.handle(env, from, msg)
	}
	return true
}

func groupOf(msg any) (group string, isVoterMessage bool) {
	switch received := msg.(type) {
	case message.VoterStatus:
		return received.Group, true
	case message.VoterClaim:
		return received.Group, true
	case message.VoterGrant:
		return received.Group, true
	}
	return "", false
}

// VoterNames lists the voters of the group.
func (q *Quorum) VoterNames() []string { return q.voters.names() }

// Size is the number of voters of the group.
func (q *Quorum) Size() int { return len(q.voters.names()) }

// Signature is what this voter signs its votes, requests and acknowledgements with; "" while it must not
// sign.
func (q *Quorum) Signature() string { return q.voters.signature() }

// VerifySignature says that a signature is that of the member that holds a voter, by the member list as it is now.
func (q *Quorum) VerifySignature(voter, signature string) bool {
	return q.voters.accepts(voter, signature)
}

// Majority says whether the acknowledgements that still count, given as signatures by voter, are of more
// than half of the voters.
func (q *Quorum) Majority(acks map[string]string) bool {
	count := 0
	for voter, signature := range acks {
		if q.voters.counts(voter, signature) {
			count++
		}
	}
	return count*2 > q.Size() || guardsOff.majority && count > 0
}

// voterAt is the voter that is held at an address, as last heard; "" for none.
func (q *Quorum) voterAt(address string) string {
	for _, voter := range q.voters.names() {
		if received, known := q.statuses[voter]; known && received.from == address {
			return voter
		}
	}
	return ""
}

// Standby says whether the group is complete and this process holds no voter in it.
func (q *Quorum) Standby(env *statemachine.Env) bool { return q.voters.standby(env) }

// handOver begins the planned replacement of this voter; false when there is nobody to hand over to, or
// nothing to hand over. After true the caller waits for handedOver.
func (q *Quorum) handOver(env *statemachine.Env) bool { return q.voters.handOver(env) }

// handedOver says that another process has this voter: this one votes no more and may end.
func (q *Quorum) handedOver() bool { return q.voters.handedOver() }

// ForceRecover marks every other voter vacant. An operator does this, by a command on the stopped
// survivor's disk, after a majority of the disks was lost.
func (q *Quorum) ForceRecover() {
	list := map[string]string{}
	for voter, holder := range q.State.MemberList {
		if holder == q.State.Identity {
			list[voter] = holder
		} else {
			list[voter] = ""
			q.State.ReplacedIdentities = append(q.State.ReplacedIdentities, holder)
		}
	}
	q.State.MemberList = list
}
