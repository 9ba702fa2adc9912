package quorum

import (
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// staticVoters is the design in which the settings name the voters, and which of them this process is.
//
// All form the group together, once, when each reports an empty disk and has proposed, on disk, the same
// member list. A voter that lost its disk claims its place anew: both others first write the new identity
// to disk, which voids the acknowledgements of the old one, also those under way, and then grant the claim.
// Only with both grants does it vote. The old disk, if it comes back, is on nobody's member list.
type staticVoters struct {
	*Replica
}

func (v *staticVoters) names() []string { return v.settings.Voters }

func (v *staticVoters) signature() string { return v.State.Identity }

func (v *staticVoters) accepts(voter, signature string) bool {
	return v.State.Formed && signature != "" && v.State.MemberList[voter] == signature
}

func (v *staticVoters) counts(voter, signature string) bool { return v.accepts(voter, signature) }

func (v *staticVoters) tick(env *statemachine.Env) {
	if v.State.Identity == "" {
		v.makeIdentity(env)
		return
	}
	if env.Now < v.nextStatusAt || v.writing {
		return
	}
	v.nextStatusAt = env.Now + v.settings.DigestEvery()
	if v.Voting() {
		v.nextStatusAt = env.Now + v.settings.DigestEvery()*steadyIntervals
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

func (v *staticVoters) makeIdentity(env *statemachine.Env) {
	v.State.Identity = randomIdentity(env)
	clear(v.State.MemberList)
	clear(v.State.Proposal)
	v.writing = true
	v.finishSnapshot(env, func(*statemachine.Env) {})
	env.Event(eventIdentityMade, 0, 0, v.Voter)
}

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

func (v *staticVoters) handleStatus(env *statemachine.Env, from string, status message.VoterStatus) {
	if v.State.Identity == "" || v.writing {
		return
	}
	if status.WantsReply {
		env.Send(from, v.status(false))
	}
	if v.State.Formed && !v.accepts(status.Voter, status.Identity) {
		return
	}
	v.statuses[status.Voter] = receivedStatus{from: from, status: status, at: env.Now}
	if status.Formed {
		v.handleFormed(env, status)
		return
	}
	v.advanceBootstrap(env)
}

// handleFormed takes the member list of a voter that knows a formed group.
func (v *staticVoters) handleFormed(env *statemachine.Env, status message.VoterStatus) {
	switch {
	case v.completesProposal(status.MemberList):
		v.form(env, status.MemberList)
	case status.MemberList[v.Voter] != v.State.Identity && v.State.Voting && !v.Removed:
		v.Removed = true
		env.Event(eventRemoved, int(errcode.VoterShutOut), 0, v.Voter+" by the member list of "+status.Voter)
	}
}

// Where the settings name the voters, no process stands by and no voter is handed over.

func (v *staticVoters) standby(*statemachine.Env) bool { return false }

func (v *staticVoters) handOver(*statemachine.Env) bool { return false }

func (v *staticVoters) handedOver() bool { return false }

func (v *staticVoters) pendingListWrites() int { return 0 }
