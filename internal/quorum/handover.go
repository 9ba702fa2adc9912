// This file is the planned replacement of a voter. A voter that is told to stop looks for
// a newcomer, names it in its status as its successor, and goes on voting. The successor
// claims the voter as that of a lost node is claimed, with one difference: the leaving
// voter may be one of the f+1 that grant. It writes the newer member list down, which
// ends its own vote, and tells its state in the grant. So a loss that comes in the middle
// of a planned replacement leaves a majority, and no write is held by the leaving voter
// alone: whatever it acknowledged is in its grant or in those of f+1 others.
//
// The argument for that grant: f+1 of the 2f+1 members of the earlier list have written
// the newer one before they granted, and sign nothing on the earlier list after that. Any
// decision on the earlier list was made by f+1 of the same 2f+1, so one granter had taken
// part in it and told it.

package quorum

import (
	"maps"
	"slices"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// HandOver begins the planned replacement of this voter; false when there is nobody to
// hand over to, or nothing to hand over. Whoever is told true waits for HandedOver.
func (g *Quorum) HandOver(s *statemachine.Env) bool {
	if !g.Discovered() || !g.Voting() || g.leaving() {
		return g.leaving()
	}
	newcomers := g.newcomers(s)
	if len(newcomers) == 0 {
		return false
	}
	g.successor = newcomers[0]
	g.nextAt = s.Now
	s.Event("voter-leaving", 0, 0, g.Voter+" to "+g.successor)
	return true
}

// HandedOver says that the successor's claim is on this voter's member list, or that
// another's list already has it: this process votes no more and may end.
func (g *Quorum) HandedOver() bool {
	return g.leaving() && (g.released != nil || !g.State.Formed)
}

func (g *Quorum) leaving() bool { return g.successor != "" }

// newcomers lists the nodes without a voter that were heard lately, by name.
func (g *Quorum) newcomers(s *statemachine.Env) []string {
	names := []string{}
	for _, node := range slices.Sorted(maps.Keys(g.founders)) {
		received := g.founders[node]
		told := received.response
		spread := g.keepsSpread(g.State.MemberList, g.Voter, zoneOf(told.Identity))
		if told.Voter == "" && !told.Founder && spread && g.fresh(s, received) && !g.host.NodeGone(s, node) {
			names = append(names, node)
		}
	}
	return names
}

// offered says that the holder of a voter hands it over to this node.
func (g *Quorum) offered(s *statemachine.Env, voter, holder string) bool {
	received, known := g.received[voter]
	return known && g.fresh(s, received) && received.response.Identity == holder && received.response.Successor == g.settings.Node
}

// vacated says that a claim may replace the holder of its voter: the holder's own node
// claims it again, is gone, or hands it over to the claimant.
func (g *Quorum) vacated(s *statemachine.Env, holder string, claim message.VoterClaim) bool {
	claimant := nodeOf(claim.Identity)
	if claimant == nodeOf(holder) || g.host.NodeGone(s, nodeOf(holder)) {
		return true
	}
	received, known := g.received[claim.Voter]
	return known && received.response.Identity == holder && received.response.Successor == claimant
}

// release is the leaving voter's own grant; false when the claim is not of its voter.
func (g *Quorum) release(s *statemachine.Env, to string, claim message.VoterClaim) bool {
	if !g.leaving() || claim.Voter != g.Voter {
		return false
	}
	if g.released != nil {
		if g.released.To == claim.Identity {
			s.Send(to, *g.released)
		}
		return true
	}
	if !g.Voting() || g.rolling > 0 || nodeOf(claim.Identity) != g.successor || claim.Identity <= g.State.Identity {
		return true
	}
	grant := message.VoterGrant{Group: g.Group, Voter: g.Voter, Identity: g.State.Identity, To: claim.Identity, State: g.host.StateForGrant()}
	memberList := maps.Clone(g.State.MemberList)
	memberList[g.Voter] = claim.Identity
	grant.MemberList = maps.Clone(memberList)
	g.takeMemberList(memberList)
	g.State.Voting = false
	g.rolling++ // for good: this process signs and counts nothing any more
	g.host.Persist(s, g.State, func(s *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		g.released = &grant
		s.Event("voter-released", 0, int64(editionOf(claim.Identity)), g.Voter+" to "+g.successor)
		s.Send(to, grant)
	})
	return true
}

// mayGrant says that a grant is of a member of the list on which it was given, or of the
// member whose place this newcomer takes.
func (g *Quorum) mayGrant(voter string, grant message.VoterGrant) bool {
	if voter == g.State.Voter {
		return g.predecessor != "" && grant.Identity == g.predecessor
	}
	return grant.MemberList[voter] == grant.Identity
}

// silent says that this process has given its vote away: what it would tell of itself is
// of no use to anyone.
func (g *Quorum) silent() bool { return g.leaving() && !g.Voting() && g.rolling > 0 }

// forgetReleased drops what the disk of a former voter holds, before it begins anew.
func (g *Quorum) forgetReleased(s *statemachine.Env) {
	if g.forget {
		g.forget = false
		g.host.DiscardState(s)
	}
}
