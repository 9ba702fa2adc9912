package lease

// This file takes the messages of leases: requests for votes, votes, and hand-overs.

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/statemachine"
)

// Handle takes a lease message; false when it is another part's.
func (t *Manager) Handle(s *statemachine.Env, from string, msg any) bool {
	switch received := msg.(type) {
	case message.LeaseRequest:
		if received.Group == t.quorum.Group {
			t.handleRequest(s, from, received)
		}
	case message.LeaseVote:
		if received.Group == t.quorum.Group {
			t.handleVote(s, received)
		}
	case message.LeaseYield:
		if received.Group == t.quorum.Group {
			t.handleYield(s, received)
		}
	default:
		return false
	}
	return true
}

func (t *Manager) handleRequest(s *statemachine.Env, from string, request message.LeaseRequest) {
	state, known := t.tags[request.Tag]
	if known && !request.PreVote && request.Voter != t.quorum.Voter && request.Voter != state.rival && request.Epoch >= state.vote.Epoch && t.quorum.Accepts(request.Voter, request.Identity) {
		state.rival, state.rivalAt = request.Voter, s.Now
	}
	if !known || !t.quorum.Voting() || t.votesAt < 0 || s.Now < t.votesAt && !t.promisedTo(state, request.Voter, request.Identity) && !guardsOff.restartWait {
		return
	}
	answer := message.LeaseVote{Group: request.Group, Tag: request.Tag, Epoch: request.Epoch, Round: request.Round,
		Voter: t.quorum.Voter, Identity: t.quorum.Signature(), PreVote: request.PreVote, HighestEpoch: max(state.vote.Epoch, state.seen)}
	reply := func(s *statemachine.Env) {
		answer.Identity = t.quorum.Signature()
		if from == "" {
			t.handleVote(s, answer)
		} else {
			s.Send(from, answer)
		}
	}
	same := state.vote.Holder == request.Voter && state.vote.Identity == quorum.IdentityOf(request.Identity)
	switch {
	case !t.quorum.Accepts(request.Voter, request.Identity):
		answer.Reason = "not on the member list"
	case request.Epoch < state.vote.Epoch && !guardsOff.higherEpoch:
		answer.Reason = "lower epoch"
	case request.Epoch == state.vote.Epoch && !same && !guardsOff.oneHolder:
		answer.Reason = "epoch given to another"
	case request.Epoch == state.vote.Epoch && request.PreVote:
		answer.Reason = "epoch in use"
	case request.Epoch == state.vote.Epoch:
		// A renewal counts as synced only once the vote itself is.
		if !state.synced {
			return
		}
		state.promised = s.Now + t.settings.Lease()
		answer.Granted = true
		state.trials = 0
		if !state.proven {
			state.proven, state.changedAt = true, s.Now
		}
	case !same && s.Now < state.promised && !guardsOff.promise:
		answer.Reason = "another holds it"
	case !same && state.reserved != "" && state.reserved != request.Voter && s.Now < state.reservedTo:
		answer.Reason = "handed over to another"
	case !same && t.resting(request.Tag, state, request.Voter, s.Now):
		answer.Reason = "holder rest"
	case request.PreVote && !same && state.trial && s.Now < state.tryAt && state.trials <= 2 && t.goesBefore(request.Tag, request.Voter):
		answer.Reason = "goes first here"
	case request.PreVote:
		answer.Granted = true
		if from != "" && state.trial {
			// Another goes first: this voter's own trial is off, for a while.
			state.trial, state.round = false, 0
			state.tryAt = s.Now + t.settings.RenewEvery() + time.Duration(s.Random.Int64N(int64(t.settings.RenewEvery())))
		}
	default:
		if !same {
			if state.proven {
				t.leave(request.Tag, state, s.Now)
			}
			state.proven = false
			state.changedAt = s.Now
		}
		state.vote.Epoch, state.vote.Holder, state.vote.Identity = request.Epoch, request.Voter, quorum.IdentityOf(request.Identity)
		state.reserved = ""
		state.promised = s.Now + t.settings.Lease()
		state.synced = false
		if guardsOff.syncedVote {
			answer.Granted = true
			reply(s)
		}
		vote := state.vote
		t.host.Persist(s, vote, func(s *statemachine.Env, failure error) {
			if failure != nil || state.vote != vote {
				return
			}
			state.synced = true
			state.promised = s.Now + t.settings.Lease()
			answer.Granted = true
			reply(s)
		})
		return
	}
	reply(s)
}

func (t *Manager) handleVote(s *statemachine.Env, vote message.LeaseVote) {
	state, known := t.tags[vote.Tag]
	if !known {
		return
	}
	state.seen = max(state.seen, vote.HighestEpoch)
	if vote.Epoch != state.epoch || vote.Epoch <= state.spent && !guardsOff.spentEpoch || !t.quorum.Accepts(vote.Voter, vote.Identity) {
		return
	}
	if !vote.Granted {
		if state.holding && vote.HighestEpoch >= state.epoch && vote.Reason != "another holds it" && s.Now >= state.raiseAt && t.callbacks.Eligible(vote.Tag) {
			state.raiseAt = s.Now + t.settings.Lease()
			t.drop(s, vote.Tag, "raises its epoch: "+vote.Voter+" is bound to another")
			t.campaign(s, vote.Tag, state)
		}
		return
	}
	if vote.Round != state.round || vote.PreVote != state.trial {
		return
	}
	state.acks[vote.Voter] = vote.Identity
	if !t.quorum.Majority(state.acks) && !guardsOff.majorityVote {
		return
	}
	if state.trial {
		state.trial = false
		state.tryAt = s.Now + t.settings.Lease()/2 + time.Duration(s.Random.Int64N(int64(t.settings.Lease()/2)))
		t.request(s, vote.Tag, state)
		return
	}
	if state.vote.Epoch > state.epoch {
		return
	}
	state.until = max(state.until, state.askedAt+t.settings.LeaseHeld())
	if !state.holding && s.Now < state.until {
		state.holding, state.heldAt, state.mine, state.rival = true, s.Now, true, ""
		s.Event("lease-taken", 0, state.epoch, vote.Tag+" by "+t.quorum.Voter)
		t.callbacks.OnAcquired(s, vote.Tag, state.epoch)
	}
	state.asking = false
	if state.again && state.holding {
		t.request(s, vote.Tag, state)
	}
}

func (t *Manager) handleYield(s *statemachine.Env, yield message.LeaseYield) {
	state, known := t.tags[yield.Tag]
	if !known || yield.Epoch != state.vote.Epoch || state.vote.Holder != yield.Voter || !t.quorum.Accepts(yield.Voter, yield.Identity) {
		return
	}
	state.promised = 0
	state.reserved, state.reservedTo = yield.To, s.Now+t.settings.Lease()/2
	if yield.To != "" {
		// Handing back is rate-limited by the holder; the rest does not apply.
		state.changedAt = s.Now - t.settings.HolderRest()
	}
	if yield.To == t.quorum.Voter {
		state.tryAt = s.Now
	} else if yield.Voter != t.quorum.Voter {
		state.tryAt = s.Now + t.settings.Lease()/2
	}
}
