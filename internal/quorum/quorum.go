package quorum

import (
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// voterSet decides which process holds which voter of a group, and whose signatures count.
type voterSet interface {
	// tick sends statuses, forms the group or claims a voter, whichever is due.
	tick(env *statemachine.Env)
	// handle processes a VoterStatus, VoterClaim or VoterGrant of this group.
	handle(env *statemachine.Env, from string, msg any)
	// voterNames returns the names of the group's voters.
	voterNames() []string
	// signature returns this process's signature, or "" while it must not sign.
	signature() string
	// accepts reports whether a signature is valid for the current holder of a voter.
	accepts(voter, signature string) bool
	// countsTowardsMajority reports whether an acknowledgement of a voter with this signature counts.
	countsTowardsMajority(voter, signature string) bool
	// standby reports whether a majority of voters is voting while this process neither holds nor claims a voter.
	standby(env *statemachine.Env) bool
	// handOver begins the planned replacement of this voter. It returns false if this process does not vote or no
	// other process can take the voter over.
	handOver(env *statemachine.Env) bool
	// handedOver reports whether another process has replaced this one as the holder of its voter.
	handedOver() bool
	// pendingListWrites returns the number of member lists whose write is not synced yet.
	pendingListWrites() int
}

// Quorum is one process's view of the voters of its group, and of the voter that it holds itself.
type Quorum struct {
	*Replica
	voters voterSet
}

// New returns a Quorum with the state that was read from disk. If that state is empty, the first tick creates a
// random identity. beginVoting is called each time this process becomes a voter; its argument newGroup reports
// that the group has just been formed, so that no vote precedes this one.
func New(group string, cfg settings.Settings, host Host, state message.VoterState,
	beginVoting func(env *statemachine.Env, newGroup bool)) *Quorum {
	replica := newReplica(group, cfg, host, state, beginVoting)
	if cfg.VoterCount > 0 {
		return &Quorum{Replica: replica, voters: newDiscoveredVoters(replica)}
	}
	return &Quorum{Replica: replica, voters: &staticVoters{Replica: replica}}
}

// DiscoversVoters reports whether the settings give only the number of voters, and the processes agree among themselves
// which of them hold one.
func (q *Quorum) DiscoversVoters() bool { return q.settings.VoterCount > 0 }

// Tick sends statuses, forms the group or claims a voter, whichever is due.
func (q *Quorum) Tick(env *statemachine.Env) { q.voters.tick(env) }

// Handle processes a VoterStatus, VoterClaim or VoterGrant, and ignores those of other groups. It returns false
// for any other type of message.
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

// groupOf returns the group that a VoterStatus, VoterClaim or VoterGrant belongs to.
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

// VoterNames returns the names of the group's voters.
func (q *Quorum) VoterNames() []string { return q.voters.voterNames() }

// Size returns the number of voters in the group.
func (q *Quorum) Size() int { return len(q.voters.voterNames()) }

// Signature returns the signature for this voter's votes, requests and acknowledgements, or "" while it must not
// sign any.
func (q *Quorum) Signature() string { return q.voters.signature() }

// VerifySignature reports whether a signature is valid for the holder of a voter by the current member list.
func (q *Quorum) VerifySignature(voter, signature string) bool {
	return q.voters.accepts(voter, signature)
}

// Majority reports whether more than half of the voters have acknowledged. acks maps voters to the signatures of
// their acknowledgements; those that do not match the current member list are not counted.
func (q *Quorum) Majority(acks map[string]string) bool {
	count := 0
	for voter, signature := range acks {
		if q.voters.countsTowardsMajority(voter, signature) {
			count++
		}
	}
	return count*2 > q.Size() || guardsOff.majority && count > 0
}

// voterAtAddress returns the voter whose last status came from an address, or "" if there is none.
func (q *Quorum) voterAtAddress(address string) string {
	for _, voter := range q.voters.voterNames() {
		if received, known := q.statuses[voter]; known && received.address == address {
			return voter
		}
	}
	return ""
}

// Standby reports whether a majority of voters is voting while this process neither holds nor claims a voter. It is
// always false with static voters.
func (q *Quorum) Standby(env *statemachine.Env) bool { return q.voters.standby(env) }

// handOver begins the planned replacement of this voter. It returns false if this process does not vote or no
// other process can take the voter over; after true the caller waits for handedOver.
func (q *Quorum) handOver(env *statemachine.Env) bool { return q.voters.handOver(env) }

// handedOver reports whether another process has replaced this one as the holder of its voter. This process no
// longer votes then, and may exit.
func (q *Quorum) handedOver() bool { return q.voters.handedOver() }

// ForceRecover marks every other voter vacant. It is called by an operator's command on the disk of a stopped
// survivor, after a majority of the disks was lost.
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
