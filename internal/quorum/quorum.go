// Package quorum keeps the voters of a group and their replacement. This file is the quorum: which disk, by a random
// identity made when it was empty, holds which of a group's three voters. All three
// found the group together, once, when each reports empty and each has proposed, on
// disk, the same member list. From then on every vote and every settling message bears the
// sender's identity, and counts only against the receiver's member list at the moment of
// counting. A voter that lost its disk claims its place anew: both others first write
// the new identity down, which voids the old one's acks, also those in flight, and
// then tell it what they hold; only with both grants in hand does it stand. The old
// machine, should it wake, is on nobody's member list. That is the form in which the settings
// name the voters; placing.go has the other.
package quorum

import (
	"maps"
	"sort"
	"strconv"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// Host is the machine around the quorum and the leases.
type Host interface {
	Persist(s *statemachine.Env, record any, then storage.SyncCallback)
	WriteSnapshot(s *statemachine.Env, then storage.SyncCallback)
	Failure() error
	WriteLatency() time.Duration
	Peers() []message.Member
	StateForGrant() []byte
	MergeGrantedStates(s *statemachine.Env, states [][]byte)
	// Where voters are sought: sit in one ("" for none), drop what rested on one, and
	// what the membership says of a node and of this one.
	AnnounceVoter(voter string)
	DiscardState(s *statemachine.Env)
	NodeGone(s *statemachine.Env, nodeName string) bool
	Superseded() bool
}

type receivedVoter struct {
	from     string
	response message.VoterStatus
	at       time.Duration
}

// Quorum is one voter's snapshot of who sits where.
type Quorum struct {
	Group       string
	Voter       string
	State       message.VoterState
	settings    settings.Settings
	host        Host
	received    map[string]receivedVoter
	grants      map[string]message.VoterGrant
	nextAt      time.Duration
	proposed    bool
	writing     bool
	Removed     bool
	beginVoting func(s *statemachine.Env, fresh bool)

	founders  map[string]receivedVoter // by node
	nonVoters map[string]bool          // addresses of processes that never vote
	listed    string
	listedAt  time.Duration
	digest    string // of the member list
	rolling   int    // newer member lists being written
	differs   bool   // another's signature was of another member list
	differsAt time.Duration
	freeSince map[string]time.Duration

	successor   string              // the node to which this leaving voter hands over
	released    *message.VoterGrant // its own grant to the successor, once it is synced
	predecessor string              // the identity whose voter this newcomer claims
	forget      bool                // what the disk holds rests on a voter that was handed over
}

// New restores a quorum; an empty state gets a random identity on
// the first tick.
func New(group string, cfg settings.Settings, host Host, state message.VoterState, beginVoting func(s *statemachine.Env, fresh bool)) *Quorum {
	if state.MemberList == nil {
		state.MemberList = map[string]string{}
	}
	if state.Proposal == nil {
		state.Proposal = map[string]string{}
	}
	g := &Quorum{Group: group, Voter: cfg.Voter, State: state, settings: cfg, host: host,
		received: map[string]receivedVoter{}, grants: map[string]message.VoterGrant{}, beginVoting: beginVoting,
		founders: map[string]receivedVoter{}, nonVoters: map[string]bool{}, freeSince: map[string]time.Duration{}, proposed: len(state.Proposal) > 0}
	if g.Discovered() {
		g.takeMemberList(g.State.MemberList)
		switch {
		case state.Formed && state.MemberList[state.Voter] != state.Identity:
			// It had handed its voter over: it is a newcomer now.
			g.forget = true
			g.State = message.VoterState{Proposal: map[string]string{}, MemberList: map[string]string{}}
			g.takeMemberList(g.State.MemberList)
		case state.Formed:
			g.Voter = state.Voter
			host.AnnounceVoter(g.Voter)
		}
	}
	return g
}

// Voting says that this voter may vote; one whose disk has failed may not.
func (g *Quorum) Voting() bool {
	return g.State.Voting && !g.Removed && !g.writing && g.host.Failure() == nil
}

// Accepts checks an identity against the member list, now.
func (g *Quorum) Accepts(voter, identity string) bool {
	if g.Discovered() {
		return g.holdsSignature(voter, identity)
	}
	return g.State.Formed && identity != "" && g.State.MemberList[voter] == identity
}

// AddressOf is where the disk that holds a voter was last heard from.
func (g *Quorum) AddressOf(voter string) string { return g.received[voter].from }

// LastStatus is what a voter last told of itself, and when it was received.
func (g *Quorum) LastStatus(voter string) (message.VoterStatus, time.Duration, bool) {
	last, known := g.received[voter]
	return last.response, last.at, known
}

// Majority counts the voters whose identity still holds.
func (g *Quorum) Majority(acks map[string]string) bool {
	count := 0
	for voter, identity := range acks {
		if g.Accepts(voter, identity) || g.Discovered() && voter == g.Voter && g.Signature() != "" && IdentityOf(identity) == g.State.Identity {
			// What this disk has synced it says again under whatever member list it holds.
			count++
		}
	}
	return count*2 > g.Size() || guardsOff.majority && count > 0
}

func (g *Quorum) response(s *statemachine.Env, answer bool) message.VoterStatus {
	response := message.VoterStatus{Group: g.Group, Voter: g.Voter, Identity: g.State.Identity, Formed: g.State.Formed,
		Voting: g.Voting(), Proposal: map[string]string{}, MemberList: map[string]string{}, IsReply: answer, Founder: g.State.Founder && !g.State.Formed, Round: g.State.Round, FreeVoters: g.free(s), NonVoter: g.settings.NonVoter, Successor: g.successor}
	if g.rolling > 0 {
		response.Formed = false
		response.Founder = false
	}
	if g.proposed {
		response.Proposal = maps.Clone(g.State.Proposal)
	}
	if !g.writing {
		response.MemberList = maps.Clone(g.State.MemberList)
	}
	response.Formed = response.Formed && !g.writing
	return response
}

// Tick asks around, founds, or claims.
func (g *Quorum) Tick(s *statemachine.Env) {
	if g.Discovered() {
		g.tickDiscovered(s)
		return
	}
	if g.State.Identity == "" {
		g.State.Identity = strconv.FormatUint(s.Random.Uint64(), 36) + strconv.FormatUint(s.Random.Uint64(), 36)
		clear(g.State.MemberList)
		clear(g.State.Proposal)
		g.writing = true
		g.host.WriteSnapshot(s, func(s *statemachine.Env, failure error) { g.writing = failure != nil })
		s.Event("voter-identity-made", 0, 0, g.Voter)
		return
	}
	if s.Now < g.nextAt || g.writing {
		return
	}
	g.nextAt = s.Now + g.settings.DigestEvery()
	committed := g.Voting()
	if committed {
		g.nextAt = s.Now + g.settings.DigestEvery()*10
	}
	for _, peer := range g.host.Peers() {
		if peer.Voter == g.Voter {
			continue
		}
		if g.replaced() {
			s.Send(peer.Address, message.VoterClaim{Group: g.Group, Voter: g.Voter, Identity: g.State.Identity})
		} else {
			s.Send(peer.Address, g.response(s, true))
		}
	}
}

// replaced: some seated peer's member list has another identity in this voter, and this one
// was never formed, so it is the newcomer.
func (g *Quorum) replaced() bool {
	if g.State.Voting {
		return false
	}
	for _, received := range g.received {
		if received.response.Formed && received.response.MemberList[g.Voter] != g.State.Identity {
			return true
		}
	}
	return g.State.Formed && !g.State.Voting
}

// Handle takes a quorum message; false when it is another part's.
func (g *Quorum) Handle(s *statemachine.Env, from string, msg any) bool {
	if group, isSeating := groupOf(msg); g.Discovered() && isSeating {
		if group == g.Group {
			g.handleDiscovered(s, from, msg)
		}
		return true
	}
	switch received := msg.(type) {
	case message.VoterStatus:
		if received.Group == g.Group && received.Voter != g.Voter {
			g.handleResponse(s, from, received)
		}
	case message.VoterClaim:
		if received.Group == g.Group && received.Voter != g.Voter {
			g.handleClaim(s, from, received)
		}
	case message.VoterGrant:
		if received.Group == g.Group && received.To == g.State.Identity {
			g.handleGrant(s, received)
		}
	default:
		return false
	}
	return true
}

func groupOf(msg any) (string, bool) {
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

func (g *Quorum) handleResponse(s *statemachine.Env, from string, response message.VoterStatus) {
	if g.State.Identity == "" || g.writing {
		return
	}
	if response.IsReply {
		s.Send(from, g.response(s, false))
	}
	if g.State.Formed && !g.Accepts(response.Voter, response.Identity) {
		return
	}
	g.received[response.Voter] = receivedVoter{from, response, s.Now}
	if response.Formed {
		switch {
		case !g.State.Formed && g.proposed && maps.Equal(response.MemberList, g.State.Proposal):
			// The founding this voter has proposed to is complete. A member list that merely
			// lists a newcomer is not enough: it must read both others first.
			g.form(s, response.MemberList)
		case response.MemberList[g.Voter] != g.State.Identity && g.State.Voting && !g.Removed:
			g.Removed = true
			s.Event("voter-shut-out", 5001, 0, g.Voter+" by the member list of "+response.Voter)
		}
		return
	}
	g.found(s)
}

// found: all three empty, freshly heard, all proposed to the same member list.
func (g *Quorum) found(s *statemachine.Env) {
	if g.State.Formed {
		return
	}
	memberList := map[string]string{g.Voter: g.State.Identity}
	for _, voter := range g.settings.Voters {
		if voter == g.Voter {
			continue
		}
		received, known := g.received[voter]
		if !known || received.response.Formed || s.Now-received.at > g.settings.DigestEvery()*5 {
			return
		}
		memberList[voter] = received.response.Identity
	}
	if !maps.Equal(memberList, g.State.Proposal) {
		g.State.Proposal = memberList
		g.proposed = false
		g.host.Persist(s, g.State, func(s *statemachine.Env, failure error) {
			g.proposed = failure == nil && maps.Equal(memberList, g.State.Proposal)
		})
		return
	}
	for _, voter := range g.settings.Voters {
		if voter != g.Voter && !maps.Equal(g.received[voter].response.Proposal, memberList) {
			return
		}
	}
	if g.proposed {
		g.form(s, memberList)
	}
}

func (g *Quorum) form(s *statemachine.Env, memberList map[string]string) {
	g.State.Formed, g.State.Voting = true, true
	g.takeMemberList(maps.Clone(memberList))
	for voter, identity := range memberList {
		if g.Discovered() && identity == g.State.Identity {
			g.Voter, g.State.Voter = voter, voter
		}
	}
	g.stand(s, "voter-founded", true)
}

func (g *Quorum) handleClaim(s *statemachine.Env, from string, claim message.VoterClaim) {
	if !g.Voting() {
		return
	}
	for _, former := range g.State.ReplacedIdentities {
		if former == claim.Identity {
			s.Send(from, message.VoterGrant{Group: g.Group, Voter: g.Voter, Identity: g.State.Identity, To: claim.Identity, Refused: true, MemberList: map[string]string{}})
			return
		}
	}
	if g.State.MemberList[claim.Voter] == "" && g.awaited(claim.Voter) {
		return
	}
	if g.State.MemberList[claim.Voter] != claim.Identity {
		if old := g.State.MemberList[claim.Voter]; old != "" {
			g.State.ReplacedIdentities = append(g.State.ReplacedIdentities, old)
		}
		g.State.MemberList[claim.Voter] = claim.Identity
		delete(g.received, claim.Voter)
		s.Event("voter-replaced", 0, 0, claim.Voter)
		g.host.Persist(s, g.State, func(s *statemachine.Env, failure error) {
			if failure == nil {
				g.grant(s, from, claim)
			}
		})
		return
	}
	// Already written, or being written: a write behind it keeps the order.
	g.host.Persist(s, g.State, func(s *statemachine.Env, failure error) {
		if failure == nil {
			g.grant(s, from, claim)
		}
	})
}

// awaited: another voter is being filled. Of two voters given up one is filled first,
// so that the second newcomer has two to read.
func (g *Quorum) awaited(claimed string) bool {
	for _, voter := range g.settings.Voters {
		received := g.received[voter].response
		if voter != g.Voter && voter != claimed && g.State.MemberList[voter] != "" && !(received.Voting && received.Identity == g.State.MemberList[voter]) {
			return true
		}
	}
	return false
}

func (g *Quorum) grant(s *statemachine.Env, to string, claim message.VoterClaim) {
	if !g.Accepts(claim.Voter, claim.Identity) {
		return
	}
	s.Send(to, message.VoterGrant{Group: g.Group, Voter: g.Voter, Identity: g.State.Identity, To: claim.Identity,
		MemberList: maps.Clone(g.State.MemberList), State: g.host.StateForGrant()})
}

func (g *Quorum) handleGrant(s *statemachine.Env, grant message.VoterGrant) {
	if g.State.Voting || g.writing {
		return
	}
	if grant.Refused && !g.State.Formed {
		// It never stood, so nothing rests on this identity: take another.
		s.Event("voter-identity-dropped", 0, 0, g.Voter)
		g.State.Identity, g.grants = "", map[string]message.VoterGrant{}
		return
	}
	if grant.Refused {
		if !g.Removed {
			s.Event("voter-shut-out", 5001, 0, g.Voter+" refused by "+grant.Voter)
		}
		g.Removed = true
		return
	}
	g.grants[grant.Voter] = grant
	memberList := map[string]string{g.Voter: g.State.Identity}
	states := [][]byte{}
	voters := append([]string{}, g.settings.Voters...)
	sort.Strings(voters)
	for _, voter := range voters {
		if voter == g.Voter {
			continue
		}
		held, granted := g.grants[voter]
		if !granted {
			if g.vacant(voter) {
				memberList[voter] = ""
				continue
			}
			return
		}
		memberList[voter] = held.Identity
		states = append(states, held.State)
	}
	// Two grantors must agree on each other, or one of them is not who it was.
	for _, held := range g.grants {
		for _, voter := range voters {
			if voter != g.Voter && held.MemberList[voter] != memberList[voter] {
				delete(g.grants, held.Voter)
				return
			}
		}
	}
	g.host.MergeGrantedStates(s, states)
	g.State.Formed, g.State.Voting, g.State.MemberList = true, true, memberList
	g.stand(s, "voter-recovered", false)
}

// vacant: a grantor's member list says that an operator has given the voter up.
func (g *Quorum) vacant(voter string) bool {
	for _, held := range g.grants {
		if identity, listed := held.MemberList[voter]; listed && identity == "" {
			return true
		}
	}
	return false
}

// ForceRecover marks every other voter vacant: what an operator does, by a command on the
// stopped survivor's disk, after two disks were lost.
func (g *Quorum) ForceRecover() {
	memberList := map[string]string{}
	for voter, identity := range g.State.MemberList {
		if identity == g.State.Identity {
			memberList[voter] = identity
		} else {
			memberList[voter] = ""
			g.State.ReplacedIdentities = append(g.State.ReplacedIdentities, identity)
		}
	}
	g.State.MemberList = memberList
}
