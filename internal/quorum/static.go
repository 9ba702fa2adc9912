package quorum

import (
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// staticVoters is the voterSet in which the settings name the voters and assign one to each process.
//
// The group is formed once, by all voters together, when each of them has reported an empty disk and has synced a
// proposal of the same member list. A voter that has lost its disk claims its voter again with a new identity. Both
// other voters first write the new identity to disk, which invalidates every acknowledgement of the old identity,
// including those in flight, and then grant the claim. The claimant votes only after it has received both grants.
// If the old disk is started again, no member list contains its identity.
type staticVoters struct {
	*Replica
}

func (v *staticVoters) voterNames() []string { return v.settings.Voters }

// signature returns the identity alone, without a digest of the member list.
func (v *staticVoters) signature() string { return v.State.Identity }

// accepts reports whether a signature is the identity that holds a voter by the member list of the formed group.
func (v *staticVoters) accepts(voter, signature string) bool {
	return v.State.Formed && signature != "" && v.State.MemberList[voter] == signature
}

func (v *staticVoters) countsTowardsMajority(voter, signature string) bool {
	return v.accepts(voter, signature)
}

// tick creates an identity if there is none, and sends a status or a claim to the other voters when one is due.
func (v *staticVoters) tick(env *statemachine.Env) {
	if v.State.Identity == "" {
		v.createIdentity(env)
		return
	}
	if env.Now < v.nextStatusAt || v.blockedOnWrite {
		return
	}
	v.nextStatusAt = env.Now + v.settings.DigestEvery()
	if v.Voting() {
		v.nextStatusAt = env.Now + v.settings.DigestEvery()*steadyStateIntervals
	}
	for _, peer := range v.directory.Peers() {
		if peer.Voter == v.Voter {
			continue
		}
		if v.mustClaim() {
			env.Send(peer.Address, message.VoterClaim{Group: v.Group, Voter: v.Voter, Identity: v.State.Identity})
		} else {
			env.Send(peer.Address, v.status(true))
		}
	}
}

// createIdentity gives this process a new identity and writes it to disk, together with an empty member list.
func (v *staticVoters) createIdentity(env *statemachine.Env) {
	v.State.Identity = randomIdentity(env)
	clear(v.State.MemberList)
	clear(v.State.Proposal)
	v.blockedOnWrite = true
	v.writeBlockingSnapshot(env, func(*statemachine.Env) {})
	env.Event(eventIdentityCreated, 0, 0, v.Voter)
}

// handle ignores statuses and claims for this process's own voter, and grants for another identity.
func (v *staticVoters) handle(env *statemachine.Env, from string, msg any) {
	switch received := msg.(type) {
	case message.VoterStatus:
		if received.Voter != v.Voter {
			v.handleStatus(env, from, received)
		}
	case message.VoterClaim:
		if received.Voter != v.Voter {
			v.handleClaim(env, from, received)
		}
	case message.VoterGrant:
		if received.Claimant == v.State.Identity {
			v.handleGrant(env, received)
		}
	}
}

// handleStatus replies to a status if the sender requests that, and records it unless another identity holds the
// sender's voter.
func (v *staticVoters) handleStatus(env *statemachine.Env, from string, status message.VoterStatus) {
	if v.State.Identity == "" || v.blockedOnWrite {
		return
	}
	if status.WantsReply {
		env.Send(from, v.status(false))
	}
	if v.State.Formed && !v.accepts(status.Voter, status.Identity) {
		return
	}
	v.statuses[status.Voter] = receivedStatus{address: from, status: status, receivedAt: env.Now}
	if status.Formed {
		v.handleFormed(env, status)
		return
	}
	v.advanceBootstrap(env)
}

// handleFormed processes the member list of a voter whose group is formed. It completes the bootstrap if the list
// is the one proposed by this process, and stops this process from voting if another identity holds its voter.
func (v *staticVoters) handleFormed(env *statemachine.Env, status message.VoterStatus) {
	switch {
	case v.formedFromProposal(status.MemberList):
		v.formGroup(env, status.MemberList)
	case status.MemberList[v.Voter] != v.State.Identity && v.State.Voting && !v.Removed:
		v.Removed = true
		env.Event(eventRemoved, int(errcode.VoterShutOut), 0, v.Voter+" by the member list of "+status.Voter)
	}
}

// Static voters have no standby processes, and their voters are never handed over.

func (v *staticVoters) standby(*statemachine.Env) bool { return false }

func (v *staticVoters) handOver(*statemachine.Env) bool { return false }

func (v *staticVoters) handedOver() bool { return false }

func (v *staticVoters) pendingListWrites() int { return 0 }
