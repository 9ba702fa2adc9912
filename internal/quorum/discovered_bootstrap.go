package quorum

import (
	"maps"
	"slices"
	"strings"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// stableFounderIntervals is the number of status intervals for which the set of founders must have been unchanged
// before a proposal.
const stableFounderIntervals = 2

// spreadInsufficientCause is the cause of eventSpreadInsufficient in the journal.
const spreadInsufficientCause = "the machines that were heard don't allow the spread over zones that the settings want"

// bootstrapState is what a process has received from others about the bootstrap of the group.
type bootstrapState struct {
	candidates        map[string]receivedStatus // last status of each process without a formed group, by node
	nonVoters         map[string]bool           // addresses of processes that never hold a voter
	founderNodes      string                    // sorted names of the recent founders, to detect changes
	foundersChangedAt time.Duration
}

// advanceBootstrap forms the group once all members of this process's proposal have synced the same proposal. It
// makes a new proposal if there is none, or if a member has synced a different one in the same or a later round:
// that member will not return to this proposal, so it can no longer form a group.
func (d *discoveredVoters) advanceBootstrap(env *statemachine.Env) {
	proposed := len(d.State.Proposal) > 0
	if d.State.Formed || !d.State.Founder || d.blockedOnWrite || proposed && !d.proposalSynced {
		return
	}
	if proposed {
		matching, superseded := d.countProposals()
		if matching == len(d.State.Proposal) {
			d.formGroup(env, d.State.Proposal)
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

// countProposals returns how many members of this process's proposal, itself included, have synced the same proposal
// in the same round. superseded reports whether a member has a different proposal in this round, or any in a later one.
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

// nextProposal returns the member list that this process would propose. ready is false while there are too few
// founders, the set of founders has changed recently, the anchor is unknown, this process is not among the chosen
// voters, or founders in other zones may still appear.
func (d *discoveredVoters) nextProposal(env *statemachine.Env) (list memberList, ready bool) {
	founders := d.recentFounders(env)
	nodes := strings.Join(slices.Sorted(maps.Keys(founders)), " ")
	if nodes != d.bootstrap.founderNodes {
		d.bootstrap.founderNodes, d.bootstrap.foundersChangedAt = nodes, env.Now
	}
	unchangedFor := env.Now - d.bootstrap.foundersChangedAt
	anchor, anchorKnown := d.anchor(env)
	count := len(d.settings.Voters)
	if len(founders) < count || !anchorKnown || unchangedFor < d.settings.DigestEvery()*stableFounderIntervals {
		return nil, false
	}
	chosen := d.placement().choose(slices.Collect(maps.Values(founders)), anchor, count)
	if !slices.Contains(chosen, d.State.Identity) {
		return nil, false
	}
	if !d.placement().survivesWorstCaseLoss(chosen) && unchangedFor < d.settings.LeaseTakeover() {
		// Wait up to LeaseTakeover for founders in other zones.
		return nil, false
	}
	list = memberList{}
	for index, voter := range d.settings.Voters {
		list[voter] = chosen[index]
	}
	return list, true
}

// recentFounders returns the identities, by node, of this process and of all founders with a recent status.
func (d *discoveredVoters) recentFounders(env *statemachine.Env) map[string]string {
	identities := map[string]string{d.settings.Node: d.State.Identity}
	for nodeName, received := range d.bootstrap.candidates {
		if received.status.Founder && d.isRecent(env, received) && nodeName != d.settings.Node {
			identities[nodeName] = received.status.Identity
		}
	}
	return identities
}

// anchor returns the identity that every proposal must contain: that of the first process among the settings'
// anchors that may vote, or "" if the settings have no anchors. With an anchor any two proposals share a member, so
// that two groups are never formed. known is false until the anchor has sent a status.
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

// founderAt returns the identity of the founder with a recent status from an address.
func (d *discoveredVoters) founderAt(env *statemachine.Env, address string) (founder string, known bool) {
	for _, received := range d.bootstrap.candidates {
		if received.address == address && received.status.Founder && d.isRecent(env, received) {
			return received.status.Identity, true
		}
	}
	return "", false
}

// nextRound returns the round for a proposal of this process: the highest round received, if it is later than this
// process's own and another process proposes the same list in it, and otherwise the highest round plus one.
func (d *discoveredVoters) nextRound(list memberList) int64 {
	own := d.State.Round
	highest, sameProposal := own, false
	for _, received := range d.bootstrap.candidates {
		status := received.status
		switch {
		case status.Round > highest:
			highest, sameProposal = status.Round, maps.Equal(status.Proposal, list)
		case status.Round == highest && highest > own:
			sameProposal = sameProposal || maps.Equal(status.Proposal, list)
		}
	}
	if !sameProposal {
		highest++
	}
	return highest
}

// propose writes a proposal to disk, and sends it to the others once it is synced.
func (d *discoveredVoters) propose(env *statemachine.Env, list memberList) {
	round := d.nextRound(list)
	d.State.Proposal, d.State.Round, d.proposalSynced = list, round, false
	env.Event(eventProposed, 0, round, d.bootstrap.founderNodes)
	if !d.placement().survivesWorstCaseLoss(list.identities()) {
		env.Event(eventSpreadInsufficient, 0, round, spreadInsufficientCause)
	}
	d.storage.Persist(env, d.State, func(env *statemachine.Env, failure error) {
		if failure == nil && d.State.Round == round && maps.Equal(list, d.State.Proposal) {
			d.proposalSynced = true
			d.nextStatusAt = env.Now
			d.advanceBootstrap(env)
		}
	})
}

// followFormedGroup ends the bootstrap of a founder that learns of a formed group. If the group's member list has
// this process's identity for the voter that its proposal assigns to it, the group was formed from that proposal, and
// this process joins it. Otherwise the group was formed without this process, which continues without a voter.
func (d *discoveredVoters) followFormedGroup(env *statemachine.Env, status message.VoterStatus) {
	if d.State.Formed || !d.State.Founder {
		return
	}
	for voter, holder := range d.State.Proposal {
		if d.proposalSynced && holder == d.State.Identity && status.MemberList[voter] == holder {
			d.formGroup(env, d.State.Proposal)
			return
		}
	}
	env.Event(eventGroupFormedWithout, 0, 0, d.settings.Node)
	d.resetWithNewIdentity(env, false)
}

// formGroup begins to vote in a new group with a member list that contains this process.
func (d *discoveredVoters) formGroup(env *statemachine.Env, list memberList) {
	d.State.Formed, d.State.Voting = true, true
	d.setMemberList(maps.Clone(list))
	for voter, holder := range list {
		if holder == d.State.Identity {
			d.Voter, d.State.Voter = voter, voter
		}
	}
	d.startVoting(env, true, d.announceVoter)
}

// announceVoter publishes this process's voter through the membership, and sends statuses on the next tick.
func (d *discoveredVoters) announceVoter(env *statemachine.Env) {
	d.directory.AnnounceVoter(d.Voter)
	d.nextStatusAt = env.Now
}
