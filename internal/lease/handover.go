package lease

// This file gives a tag away: at a polite stop, when the disk has failed, and back to the voter
// that the settings prefer.

import (
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// TransferAll hands every tag over, at a polite stop: to whom is left open.
func (t *Manager) TransferAll(s *statemachine.Env) {
	for _, tag := range t.order {
		if state := t.tags[tag]; state.holding {
			t.yieldTo(s, tag, state, t.heir(s, tag, state))
		}
		t.tags[tag].tryAt = s.Now + t.settings.Lease()*1000
	}
}

// giveUp ends all that a process without a vote holds. One whose disk has failed says so,
// and nobody waits for its leases to run out.
func (t *Manager) giveUp(s *statemachine.Env) {
	for _, tag := range t.order {
		state := t.tags[tag]
		if state.holding && t.host.Failure() != nil {
			t.yieldTo(s, tag, state, t.heir(s, tag, state))
			continue
		}
		t.drop(s, tag, "no vote")
	}
}

// heir names the voter that a stopping holder hands its tag to, so that nobody waits
// for a campaign; "" leaves it open. The former holder is passed over within its rest,
// or the tag would go back and forth.
func (t *Manager) heir(s *statemachine.Env, tag string, state *tagState) string {
	heirs := []string{}
	for _, peer := range t.host.Peers() {
		status, _, told := t.quorum.LastStatus(peer.Voter)
		resting := t.resting(tag, state, peer.Voter, s.Now)
		if peer.Voter == "" || peer.Voter == t.quorum.Voter || peer.State != message.Alive || resting {
			continue
		}
		if told && (!status.Voting || status.Successor != "") {
			continue
		}
		heirs = append(heirs, peer.Voter)
	}
	if len(heirs) == 0 {
		return ""
	}
	return heirs[s.Random.IntN(len(heirs))]
}

func (t *Manager) handBack(s *statemachine.Env, tag string, state *tagState) {
	wanted := t.settings.Active[tag]
	if wanted == "" || wanted == t.quorum.Voter || s.Now-state.heldAt < t.settings.FailbackAfter() {
		return
	}
	for _, peer := range t.host.Peers() {
		status, at, known := t.quorum.LastStatus(wanted)
		if peer.Voter == wanted && peer.State == message.Alive && known && status.Voting &&
			s.Now-at < t.settings.DigestEvery()*25 {
			t.yieldTo(s, tag, state, wanted)
			return
		}
	}
}

func (t *Manager) yieldTo(s *statemachine.Env, tag string, state *tagState, to string) {
	yield := message.LeaseYield{Group: t.quorum.Group, Tag: tag, Epoch: state.epoch, Voter: t.quorum.Voter,
		Identity: t.quorum.Signature(), To: to}
	t.drop(s, tag, "handed over to "+to)
	state.tryAt = s.Now + t.settings.Lease()*2
	for _, peer := range t.host.Peers() {
		if peer.Voter != t.quorum.Voter {
			s.Send(peer.Address, yield)
		}
	}
	t.handleYield(s, yield)
}
