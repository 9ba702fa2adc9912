package quorum

import (
	"maps"
	"slices"
	"strings"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// stableIntervals is for how many status intervals the candidates must have been the same before a proposal.
const stableIntervals = 2

// spreadInsufficient is the cause that an operator reads.
const spreadInsufficient = "the machines that were heard don't allow the spread over zones that the settings want"

// bootstrapState is what a process knows that takes part in forming the group.
type bootstrapState struct {
	candidates     map[string]receivedStatus // processes without a voter, by node
	nonVoters      map[string]bool           // addresses of processes that never vote
	nodes          string                    // of the last choice of voters, for comparison
	nodesChangedAt time.Duration
}

// advanceBootstrap forms the group when all members of this process's proposal hold the same one. It makes a
// new proposal when there is none, or when one of its members has moved on to another: that member will never
// hold this one, so no group is formed by it.
func (d *discoveredVoters) advanceBootstrap(env *statemachine.Env) {
	proposed := len(d.State.Proposal) > 0
	if d.State.Formed || !d.State.Founder || d.writing || proposed && !d.proposalSynced {
		return
	}
	if proposed {
		matching, superseded := d.countProposals()
		if matching == len(d.State.Proposal) {
			d.form(env, d.State.Proposal)
			return
		}
		if !superseded {
			return
		}
	}
	list, ready := d.nextProposal(env)
	if ready {
		d.propose(env, list)
	}
}

// countProposals counts the members of this process's proposal that hold the same one in the same round, itself
// included. superseded says that one of them holds another, in this round or a later one.
func (d *discoveredVoters) countProposals() (matching int, superseded bool) {
	matching = 1
	for _, member := range d.State.Proposal {
		received, known := d.bootstrap.candidates[parseIdentity(member).node]
		status := received.status
		if !known || status.Identity != member || len(status.Proposal) == 0 {
			continue
		}
		switch {
		case status.Round == d.State.Round && maps.Equal(status.Proposal, d.State.Proposal):
			matching++
		case status.Round >= d.State.Round:
			superseded = true
		}
	}
	return matching, superseded
}

// nextProposal is the member list that this process would form the group with. ready is false while there are
// not enough candidates, they changed lately, or this process is not chosen itself.
func (d *discoveredVoters) nextProposal(env *statemachine.Env) (list memberList, ready bool) {
	founders := d.recentFounders(env)
	nodes := strings.Join(slices.Sorted(maps.Keys(founders)), " ")
	if nodes != d.bootstrap.nodes {
		d.bootstrap.nodes, d.bootstrap.nodesChangedAt = nodes, env.Now
	}
	unchangedFor := env.Now - d.bootstrap.nodesChangedAt
	anchor, anchorKnown := d.anchor(env)
	count := len(d.settings.Voters)
	if len(founders) < count || !anchorKnown || unchangedFor < d.settings.DigestEvery()*stableIntervals {
		return nil, false
	}
	chosen := d.placement().choose(slices.Collect(maps.Values(founders)), anchor, count)
	if !slices.Contains(chosen, d.State.Identity) {
		return nil, false
	}
	if !d.placement().survivesWorstLoss(chosen) && unchangedFor < d.settings.LeaseTakeover() {
		// Processes in other zones may still come.
		return nil, false
	}
	list = memberList{}
	for index, voter := range d.settings.Voters {
		list[voter] = chosen[index]
	}
	return list, true
}

// recentFounders is the identities, by node, of the processes that take part in forming the group.
func (d *discoveredVoters) recentFounders(env *statemachine.Env) map[string]string {
	identities := map[string]string{d.settings.Node: d.State.Identity}
	for nodeName, received := range d.bootstrap.candidates {
		if received.status.Founder && d.recent(env, received) && nodeName != d.settings.Node {
			identities[nodeName] = received.status.Identity
		}
	}
	return identities
}

// anchor is the identity that every proposal has to name: that of the first process of the settings' anchors
// that may vote; "" without anchors. It makes any two proposals share a member, so that two groups are never
// formed.
func (d *discoveredVoters) anchor(env *statemachine.Env) (anchor string, known bool) {
	for _, address := range d.settings.Anchors {
		if address == d.settings.Address {
			return d.State.Identity, true
		}
		if !d.bootstrap.nonVoters[address] {
			return d.founderAt(env, address)
		}
	}
	return "", len(d.settings.Anchors) == 0
}

func (d *discoveredVoters) founderAt(env *statemachine.Env, address string) (founder string, known bool) {
	for _, received := range d.bootstrap.candidates {
		if received.from == address && received.status.Founder && d.recent(env, received) {
			return received.status.Identity, true
		}
	}
	return "", false
}

// nextRound is the round of a proposal: the highest that was heard, where others propose the same list in it,
// and else one more.
func (d *discoveredVoters) nextRound(list memberList) int64 {
	own := d.State.Round
	highest, same := own, false
	for _, received := range d.bootstrap.candidates {
		status := received.status
		switch {
		case status.Round > highest:
			highest, same = status.Round, maps.Equal(status.Proposal, list)
		case status.Round == highest && highest > own:
			same = same || maps.Equal(status.Proposal, list)
		}
	}
	if !same {
		highest++
	}
	return highest
}

func (d *discoveredVoters) propose(env *statemachine.Env, list memberList) {
	round := d.nextRound(list)
	d.State.Proposal, d.State.Round, d.proposalSynced = list, round, false
	env.Event(eventProposed, 0, round, d.bootstrap.nodes)
	if !d.placement().survivesWorstLoss(list.identities()) {
		env.Event(eventSpreadInsufficient, 0, round, spreadInsufficient)
	}
	d.storage.Persist(env, d.State, func(env *statemachine.Env, failure error) {
		if failure == nil && d.State.Round == round && maps.Equal(list, d.State.Proposal) {
			d.proposalSynced = true
			d.nextStatusAt = env.Now
			d.advanceBootstrap(env)
		}
	})
}

// followFormedGroup ends this process's part in the bootstrap when a group was formed. If that group has the
// voter of this process's proposal, it was formed by that proposal; else it was formed without this process,
// which is a newcomer from then on.
func (d *discoveredVoters) followFormedGroup(env *statemachine.Env, status message.VoterStatus) {
	if d.State.Formed || !d.State.Founder {
		return
	}
	for voter, holder := range d.State.Proposal {
		if d.proposalSynced && holder == d.State.Identity && status.MemberList[voter] == holder {
			d.form(env, d.State.Proposal)
			return
		}
	}
	env.Event(eventFormedWithout, 0, 0, d.settings.Node)
	d.startAnew(env, false)
}

func (d *discoveredVoters) form(env *statemachine.Env, list memberList) {
	d.State.Formed, d.State.Voting = true, true
	d.setMemberList(maps.Clone(list))
	for voter, holder := range list {
		if holder == d.State.Identity {
			d.Voter, d.State.Voter = voter, voter
		}
	}
	d.startVoting(env, true, d.announceVoter)
}

func (d *discoveredVoters) announceVoter(env *statemachine.Env) {
	d.directory.AnnounceVoter(d.Voter)
	d.nextStatusAt = env.Now
}
