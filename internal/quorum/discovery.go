// This file is the form in which the settings only count the voters. A process finds its
// voter, and may lose it.
//
// An identity says all that a member list needs: the edition of its voter, a random part, and
// the node that it was made on. Of two identities for one voter the one that sorts higher
// replaced the other, so two member lists join voter by voter, and every process's member list only
// grows. A signature is an identity with the digest of the whole member list that its bearer has
// synced; asks, votes and acks bear signatures and count only where the counter has synced
// the very same member list, at the moment of counting.
//
// Why that holds with any n = 2f+1. Whatever is decided, be it a vote, a settled value
// or the grants that let a newcomer stand, is decided by f+1 voters on one and the same
// member list. Any two such sets share a voter. If one disk was in that voter both times, its two
// member lists are in order, since a disk's member list only grows. If not, the later one stood after
// f+1 grants on a member list of its own, and by induction those grants are in order with the
// earlier decision. So the member lists of all decisions form one line. A newcomer's f+1 grants
// share a voter with every majority that decided on an earlier member list; the disk there said
// yes before it wrote the newer member list down and told its state after, or it came in
// between and had read the decision itself. So the newcomer reads it. An ack of the old
// identity that is still under way bears the older member list's signature: it counts only together
// with acks of that older member list, and those were given before the grants.
//
// Founding. A proposal has a round, and a process proposals once a round. It leaves a proposal
// only when a member of it holds another one at that round or a later one: that member
// never will hold this one, so this one can't be founded any more. With all proposals alike
// the group is founded; whoever finds a group that was founded without it comes as a
// newcomer and never founds again.
//
// A newcomer takes the voter recorded for its own node, or one whose holder f+1 voters
// have said for a lease to be dead or gone; it needs f+1 grants on one member list. A claim
// that is half made has written its identity on some member lists, whence it spreads to all; it
// waits for the rest of its grants, and who dies in it is replaced as any dead holder.

package quorum

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// NewIdentity writes an identity; of one voter the higher edition sorts higher.
func NewIdentity(edition, first, second uint64, nodeName string) string {
	return fmt.Sprintf("%08d~%s%s@%s", edition, strconv.FormatUint(first, 36), strconv.FormatUint(second, 36), nodeName)
}

func editionOf(identity string) uint64 {
	text, _, _ := strings.Cut(identity, "~")
	edition, _ := strconv.ParseUint(text, 10, 64)
	return edition
}

func nodeOf(identity string) string {
	_, place, _ := strings.Cut(identity, "@")
	nodeName, _, _ := strings.Cut(place, zoneMark)
	return nodeName
}

// IdentityOf is the identity within a signature.
func IdentityOf(signature string) string {
	identity, _, _ := strings.Cut(signature, signatureMark)
	return identity
}

const signatureMark = "\x1f"

func digestOf(memberList map[string]string) string {
	hash := fnv.New64a()
	for _, voter := range slices.Sorted(maps.Keys(memberList)) {
		fmt.Fprintf(hash, "%q=%q;", voter, memberList[voter])
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}

// Discovered says whether the processes find their voters themselves, since the settings only count them.
func (g *Quorum) Discovered() bool { return g.settings.VoterCount > 0 }

// needed is how many grants of others a newcomer needs, and how many voters decide.
func (g *Quorum) needed() int { return g.Size()/2 + 1 }

// Signature is what this voter signs with: its identity and, where voters are sought, the
// member list that it has synced; nothing while a newer member list is being written.
func (g *Quorum) Signature() string {
	switch {
	case !g.Discovered():
		return g.State.Identity
	case !g.State.Formed || g.writing || g.writingList():
		return ""
	}
	return g.State.Identity + signatureMark + g.digest
}

func (g *Quorum) holdsSignature(voter, signature string) bool {
	identity, digest, _ := strings.Cut(signature, signatureMark)
	if !g.State.Formed || g.writingList() || identity == "" || g.State.MemberList[voter] != identity {
		return false
	}
	if digest != g.digest {
		g.differs = true
	}
	return digest == g.digest || guardsOff.oneList
}

// writingList: a newer member list is known and not synced yet.
func (g *Quorum) writingList() bool { return g.rolling > 0 && !guardsOff.writtenList }

func (g *Quorum) takeMemberList(memberList map[string]string) {
	g.State.MemberList, g.digest = memberList, digestOf(memberList)
}

// VoterAt is the voter that is held at an address, as last heard.
func (g *Quorum) VoterAt(address string) string {
	for _, voter := range g.voterNames() {
		if received, known := g.received[voter]; known && received.from == address {
			return voter
		}
	}
	return ""
}

// Standby says whether a whole group is known and this process has no voter in it.
func (g *Quorum) Standby(s *statemachine.Env) bool {
	if !g.Discovered() || g.State.Formed || g.State.Voter != "" {
		return false
	}
	_, tellers := g.known(s)
	return len(tellers) >= g.needed()
}

func (g *Quorum) fresh(s *statemachine.Env, received receivedVoter) bool {
	return s.Now-received.at <= g.settings.DigestEvery()*5
}

func (g *Quorum) begin(s *statemachine.Env, founder bool) {
	g.State = message.VoterState{Identity: g.newIdentity(s, 0), Founder: founder,
		Proposal: map[string]string{}, MemberList: map[string]string{}, ReplacedIdentities: []string{}}
	g.Voter, g.proposed, g.rolling = "", false, 0
	g.writing = true
	g.host.WriteSnapshot(s, func(s *statemachine.Env, failure error) { g.writing = failure != nil })
	s.Event("voter-identity-made", 0, 0, g.settings.Node)
}

func (g *Quorum) tickDiscovered(s *statemachine.Env) {
	if g.State.Identity == "" {
		g.forgetReleased(s)
		g.begin(s, g.settings.Found && !g.settings.NonVoter)
		return
	}
	if g.silent() {
		return
	}
	if g.differs && s.Now >= g.differsAt {
		g.differs, g.differsAt, g.nextAt = false, s.Now+g.settings.DigestEvery()/4, s.Now
	}
	if s.Now < g.nextAt || g.writing {
		return
	}
	g.nextAt = s.Now + g.settings.DigestEvery()
	if g.Voting() && g.allStand(s) {
		g.nextAt = s.Now + g.settings.DigestEvery()*10
	}
	g.foundDiscovered(s)
	g.seek(s)
	if g.writing {
		return
	}
	for _, peer := range g.host.Peers() {
		s.Send(peer.Address, g.response(s, true))
		if !g.State.Formed && g.State.Voter != "" {
			s.Send(peer.Address, message.VoterClaim{Group: g.Group, Voter: g.State.Voter, Identity: g.State.Identity})
		}
	}
}

// allStand: every other voter was heard to stand, not long ago.
func (g *Quorum) allStand(s *statemachine.Env) bool {
	for _, voter := range g.voterNames() {
		received, known := g.received[voter]
		if voter != g.Voter && (!known || !received.response.Voting || s.Now-received.at > g.settings.DigestEvery()*15) {
			return false
		}
	}
	return true
}

// free lists the voters whose holders are gone, as this one knows.
func (g *Quorum) free(s *statemachine.Env) []string {
	list := []string{}
	if !g.Discovered() || !g.Voting() || g.rolling > 0 {
		return list
	}
	for _, voter := range g.voterNames() {
		if voter != g.Voter && g.host.NodeGone(s, nodeOf(g.State.MemberList[voter])) {
			list = append(list, voter)
		}
	}
	return list
}

func (g *Quorum) handleDiscovered(s *statemachine.Env, from string, msg any) {
	switch received := msg.(type) {
	case message.VoterStatus:
		if IdentityOf(received.Identity) != g.State.Identity {
			g.handleStatusDiscovered(s, from, received)
		}
	case message.VoterClaim:
		g.handleClaimDiscovered(s, from, received)
	case message.VoterGrant:
		if received.To == g.State.Identity && !g.State.Formed && !g.writing {
			g.handleGrantDiscovered(s, received)
		}
	}
}

func (g *Quorum) handleStatusDiscovered(s *statemachine.Env, from string, response message.VoterStatus) {
	if g.State.Identity == "" || g.writing || g.silent() {
		return
	}
	if response.Successor == g.settings.Node {
		g.nextAt = s.Now
	}
	if response.IsReply {
		s.Send(from, g.response(s, false))
	}
	if response.NonVoter {
		g.nonVoters[from] = true
		return
	}
	if !response.Formed {
		g.founders[nodeOf(response.Identity)] = receivedVoter{from, response, s.Now}
		g.foundDiscovered(s)
		return
	}
	delete(g.founders, nodeOf(response.Identity))
	if g.State.Formed {
		if !g.join(s, response.MemberList) || g.State.MemberList[response.Voter] != response.Identity {
			return
		}
	} else if held, known := g.received[response.Voter]; known && held.response.Identity > response.Identity {
		return
	}
	g.received[response.Voter] = receivedVoter{from, response, s.Now}
	if g.State.Formed || !g.State.Founder {
		return
	}
	for voter, identity := range g.State.Proposal {
		if g.proposed && identity == g.State.Identity && response.MemberList[voter] == identity {
			// A group is founded that has this voter as it proposed: it was this proposal.
			g.form(s, g.State.Proposal)
			return
		}
	}
	// It was founded without this process.
	s.Event("voter-founded-without", 0, 0, g.settings.Node)
	g.begin(s, false)
}

// join takes what is newer in another's member list, and has it synced before anything more is
// signed; false when this voter's own identity was replaced.
func (g *Quorum) join(s *statemachine.Env, memberList map[string]string) bool {
	joined, changed := maps.Clone(g.State.MemberList), false
	for voter, identity := range memberList {
		if identity > joined[voter] {
			joined[voter], changed = identity, true
		}
	}
	if !changed {
		return true
	}
	if joined[g.Voter] != g.State.Identity {
		s.Event("voter-lost", 0, 0, g.Voter+" to "+nodeOf(joined[g.Voter]))
		g.host.AnnounceVoter("")
		g.host.DiscardState(s)
		g.received, g.grants, g.freeSince = map[string]receivedVoter{}, map[string]message.VoterGrant{}, map[string]time.Duration{}
		g.begin(s, false)
		return false
	}
	g.write(s, joined, func(*statemachine.Env) {})
	return true
}

// write syncs a newer member list, and tells it at once.
func (g *Quorum) write(s *statemachine.Env, memberList map[string]string, then func(s *statemachine.Env)) {
	for voter, identity := range memberList {
		if g.State.MemberList[voter] != identity {
			delete(g.received, voter)
			s.Event("voter-replaced", 0, int64(editionOf(identity)), voter+" by "+nodeOf(identity))
		}
	}
	g.takeMemberList(memberList)
	g.rolling++
	identity := g.State.Identity
	g.host.Persist(s, g.State, func(s *statemachine.Env, failure error) {
		if failure != nil || g.State.Identity != identity {
			return
		}
		g.rolling--
		g.nextAt = s.Now
		then(s)
	})
}

// foundDiscovered goes on with a founding.
func (g *Quorum) foundDiscovered(s *statemachine.Env) {
	if g.State.Formed || !g.State.Founder || g.writing || len(g.State.Proposal) > 0 && !g.proposed {
		return
	}
	round := int64(0)
	if len(g.State.Proposal) > 0 {
		alike, beaten := g.countAlike()
		if alike == len(g.State.Proposal) {
			g.form(s, g.State.Proposal)
			return
		}
		if !beaten {
			return
		}
		round = g.State.Round
	}
	memberList := g.nextProposal(s)
	if memberList == nil {
		return
	}
	g.propose(s, memberList, g.roundFor(memberList, round))
}

// countAlike counts the members of this process's proposal that hold the same one at the
// same round, itself among them; beaten: one of them holds another, at this round or a
// later one.
func (g *Quorum) countAlike() (alike int, beaten bool) {
	alike = 1
	for _, identity := range g.State.Proposal {
		received, known := g.founders[nodeOf(identity)]
		if !known || received.response.Identity != identity || len(received.response.Proposal) == 0 {
			continue
		}
		switch {
		case received.response.Round == g.State.Round && maps.Equal(received.response.Proposal, g.State.Proposal):
			alike++
		case received.response.Round >= g.State.Round:
			beaten = true
		}
	}
	return alike, beaten
}

// nextProposal is the member list that this process would found the group with, from the
// founders that it hears; nil while there is none, or it isn't in it itself.
func (g *Quorum) nextProposal(s *statemachine.Env) map[string]string {
	identities := map[string]string{g.settings.Node: g.State.Identity}
	for nodeName, received := range g.founders {
		if received.response.Founder && g.fresh(s, received) && nodeName != g.settings.Node {
			identities[nodeName] = received.response.Identity
		}
	}
	nodes := slices.Sorted(maps.Keys(identities))
	if listed := strings.Join(nodes, " "); listed != g.listed {
		g.listed, g.listedAt = listed, s.Now
	}
	anchor, anchored := g.anchor(s)
	if len(nodes) < len(g.settings.Voters) || !anchored || s.Now-g.listedAt < g.settings.DigestEvery()*2 {
		return nil
	}
	chosen := g.chooseFounders(slices.Collect(maps.Values(identities)), anchor, len(g.settings.Voters))
	if !slices.Contains(chosen, g.State.Identity) {
		return nil
	}
	if !g.outlives(chosen) && s.Now-g.listedAt < g.patience() {
		return nil
	}
	memberList := map[string]string{}
	for index, voter := range g.settings.Voters {
		memberList[voter] = chosen[index]
	}
	return memberList
}

// roundFor is the round of a proposal: the highest that was heard where others propose
// the same there, and else one more.
func (g *Quorum) roundFor(memberList map[string]string, round int64) int64 {
	highest, same := round, false
	for _, received := range g.founders {
		if received.response.Round > highest {
			highest, same = received.response.Round, maps.Equal(received.response.Proposal, memberList)
		} else if received.response.Round == highest && highest > round {
			same = same || maps.Equal(received.response.Proposal, memberList)
		}
	}
	if !same {
		highest++
	}
	return highest
}

func (g *Quorum) propose(s *statemachine.Env, memberList map[string]string, round int64) {
	g.State.Proposal, g.State.Round, g.proposed = memberList, round, false
	s.Event("voter-proposed", 0, round, g.listed)
	if !g.outlives(slices.Collect(maps.Values(memberList))) {
		s.Event("voter-spread-lacking", 0, round, "the machines that were heard don't allow the spread over zones that the settings want")
	}
	g.host.Persist(s, g.State, func(s *statemachine.Env, failure error) {
		if failure == nil && g.State.Round == round && maps.Equal(memberList, g.State.Proposal) {
			g.proposed, g.nextAt = true, s.Now
			g.foundDiscovered(s)
		}
	})
}

// known joins the member lists of those that stand and were heard lately, and lists them.
func (g *Quorum) known(s *statemachine.Env) (map[string]string, []receivedVoter) {
	memberList, tellers := map[string]string{}, []receivedVoter{}
	for _, voter := range g.voterNames() {
		if received, known := g.received[voter]; known && g.fresh(s, received) {
			for listed, identity := range received.response.MemberList {
				memberList[listed] = max(memberList[listed], identity)
			}
		}
	}
	for _, voter := range g.voterNames() {
		if received, known := g.received[voter]; known && g.fresh(s, received) && received.response.Voting && memberList[voter] == received.response.Identity {
			tellers = append(tellers, received)
		}
	}
	return memberList, tellers
}

// seek looks for a voter, or holds on to the claim on one.
func (g *Quorum) seek(s *statemachine.Env) {
	if g.State.Formed || g.State.Founder || g.writing || g.settings.NonVoter || g.leaving() || g.host.Superseded() {
		return
	}
	memberList, tellers := g.known(s)
	if g.State.Voter != "" {
		if memberList[g.State.Voter] > g.State.Identity {
			g.abandon(s, "another came first")
		}
		return
	}
	if len(tellers) == 0 {
		return
	}
	wanted, open := "", []string{}
	for _, voter := range g.voterNames() {
		count := 0
		for _, received := range tellers {
			if slices.Contains(received.response.FreeVoters, voter) {
				count++
			}
		}
		if count < g.needed() {
			delete(g.freeSince, voter)
		} else if since, before := g.freeSince[voter]; !before {
			g.freeSince[voter] = s.Now
		} else if s.Now-since >= g.settings.ClaimAfter() && g.keepsSpread(memberList, voter, g.settings.Zone) {
			open = append(open, voter)
		}
		if nodeOf(memberList[voter]) == g.settings.Node || g.offered(s, voter, memberList[voter]) {
			wanted = voter
		}
	}
	if wanted == "" && len(open) > 0 {
		wanted = open[s.Random.IntN(len(open))]
	}
	if wanted == "" {
		return
	}
	g.predecessor = memberList[wanted]
	g.State.Voter, g.State.Identity = wanted, g.newIdentity(s, editionOf(memberList[wanted])+1)
	g.grants, g.freeSince = map[string]message.VoterGrant{}, map[string]time.Duration{}
	g.writing = true
	s.Event("voter-claimed", 0, int64(editionOf(g.State.Identity)), wanted)
	g.host.Persist(s, g.State, func(s *statemachine.Env, failure error) {
		g.writing = failure != nil
		g.nextAt = s.Now
	})
}

// abandon drops a claim; what it left on some member lists is a voter recorded for this node,
// which is sought first.
func (g *Quorum) abandon(s *statemachine.Env, cause string) {
	s.Event("voter-claim-dropped", 0, 0, g.State.Voter+": "+cause)
	g.State.Voter, g.grants = "", map[string]message.VoterGrant{}
	g.writing = true
	g.host.Persist(s, g.State, func(s *statemachine.Env, failure error) { g.writing = failure != nil })
}

func (g *Quorum) handleClaimDiscovered(s *statemachine.Env, from string, claim message.VoterClaim) {
	if g.release(s, from, claim) {
		return
	}
	holder, listed := g.State.MemberList[claim.Voter]
	if !g.Voting() || g.rolling > 0 || !listed {
		return
	}
	switch {
	case claim.Identity == holder:
		g.grantDiscovered(s, from, claim)
	case claim.Identity < holder, claim.Voter == g.Voter, !g.vacated(s, holder, claim) && !guardsOff.vacated:
		s.Send(from, message.VoterGrant{Group: g.Group, Voter: g.Voter, Identity: g.State.Identity, To: claim.Identity,
			Refused: true, MemberList: maps.Clone(g.State.MemberList), State: []byte{}})
	default:
		memberList := maps.Clone(g.State.MemberList)
		memberList[claim.Voter] = claim.Identity
		g.write(s, memberList, func(s *statemachine.Env) { g.grantDiscovered(s, from, claim) })
		if guardsOff.writtenGrant {
			g.sendGrant(s, from, claim)
		}
	}
}

func (g *Quorum) grantDiscovered(s *statemachine.Env, to string, claim message.VoterClaim) {
	if g.Voting() && g.rolling == 0 && g.State.MemberList[claim.Voter] == claim.Identity {
		g.sendGrant(s, to, claim)
	}
}

func (g *Quorum) sendGrant(s *statemachine.Env, to string, claim message.VoterClaim) {
	s.Send(to, message.VoterGrant{Group: g.Group, Voter: g.Voter, Identity: g.State.Identity, To: claim.Identity,
		MemberList: maps.Clone(g.State.MemberList), State: g.host.StateForGrant()})
}

func (g *Quorum) handleGrantDiscovered(s *statemachine.Env, grant message.VoterGrant) {
	if grant.Refused {
		g.abandon(s, "refused by "+grant.Voter)
		return
	}
	g.grants[grant.Voter] = grant
	states := [][]byte{}
	for _, voter := range g.voterNames() {
		held, granted := g.grants[voter]
		alike := maps.Equal(held.MemberList, grant.MemberList) || guardsOff.grantsAlike
		if granted && alike && g.mayGrant(voter, held) {
			states = append(states, held.State)
		}
	}
	if len(states) < g.needed() && !guardsOff.enoughGrants || grant.MemberList[g.State.Voter] != g.State.Identity {
		return
	}
	g.Voter = g.State.Voter
	if !guardsOff.grantedState {
		g.host.MergeGrantedStates(s, states)
	}
	g.State.Formed, g.State.Voting = true, true
	g.takeMemberList(maps.Clone(grant.MemberList))
	g.grants = map[string]message.VoterGrant{}
	g.stand(s, "voter-recovered", false)
}

// stand writes all down, and only then sits.
func (g *Quorum) stand(s *statemachine.Env, eventName string, founded bool) {
	g.writing = !guardsOff.writtenStand
	g.host.WriteSnapshot(s, func(s *statemachine.Env, failure error) {
		g.writing = failure != nil
		if failure == nil {
			s.Event(eventName, 0, 0, g.Voter)
			if g.Discovered() {
				g.host.AnnounceVoter(g.Voter)
				g.nextAt = s.Now
			}
			g.beginVoting(s, founded)
		}
	})
}
