package lease

import (
	"time"

	"beaconvane/internal/message"
)

// action is what an acceptor does with a request.
type action int

const (
	// refuse answers with a reason and doesn't grant.
	refuse action = iota
	// ignore sends no answer.
	ignore
	// renew extends the promise to the holder and grants.
	renew
	// grantPreVote answers that a vote would be granted, and changes no vote.
	grantPreVote
	// castVote writes a new vote and grants once the vote is synced.
	castVote
)

// refusalReason is the reason why a request was refused. It is sent in message.LeaseVote, and holders that
// run other versions compare it, so the texts must not change.
type refusalReason string

const (
	refusedNotMember         refusalReason = "not on the member list"
	refusedLowerEpoch        refusalReason = "lower epoch"
	refusedEpochGranted      refusalReason = "epoch given to another"
	refusedEpochInUse        refusalReason = "epoch in use"
	refusedPromisedToAnother refusalReason = "another holds it"
	refusedTransferred       refusalReason = "handed over to another"
	refusedCoolDown          refusalReason = "holder rest"
	refusedPrecedence        refusalReason = "goes first here"
)

// maxPreVotesWithPrecedence is the number of consecutive pre-votes for which a candidate takes precedence
// over lower-ranked voters. After that it lets them try, since its own pre-votes keep failing.
const maxPreVotesWithPrecedence = 2

// decision is an acceptor's decision on a request.
type decision struct {
	action action
	reason refusalReason // set if action is refuse
}

// decisionInputs holds the inputs of a decision other than the request and the state of the tag.
type decisionInputs struct {
	now           time.Duration
	isMember      bool          // the candidate's signature matches this voter's member list
	hasPrecedence bool          // this voter ranks before the candidate (see Manager.hasPrecedenceOver)
	coolDown      time.Duration // minimum time before a former holder may hold the tag again
}

// decide returns the decision on a request. It doesn't modify tag; Manager.handleRequest carries out the
// decision.
func decide(tag *tagState, request message.LeaseRequest, inputs decisionInputs) decision {
	acceptor := &tag.acceptor
	switch {
	case !inputs.isMember:
		return decision{refuse, refusedNotMember}
	case request.Epoch < acceptor.vote.Epoch && !guardsOff.higherEpoch:
		return decision{refuse, refusedLowerEpoch}
	case request.Epoch == acceptor.vote.Epoch:
		return decideRenewal(acceptor, request)
	}
	if !acceptor.votedFor(request.Voter, request.Identity) {
		if reason, refused := checkVoteChange(tag, request, inputs); refused {
			return decision{refuse, reason}
		}
	}
	if request.PreVote {
		return decision{action: grantPreVote}
	}
	return decision{action: castVote}
}

// decideRenewal decides on a request for the epoch of the last vote. Only the candidate of that vote may
// renew, and only once the vote is synced, because the candidate counts a granted renewal as a synced vote.
func decideRenewal(acceptor *acceptorState, request message.LeaseRequest) decision {
	switch {
	case !acceptor.votedFor(request.Voter, request.Identity) && !guardsOff.oneHolder:
		return decision{refuse, refusedEpochGranted}
	case request.PreVote:
		return decision{refuse, refusedEpochInUse}
	case !acceptor.voteSynced:
		return decision{action: ignore}
	}
	return decision{action: renew}
}

// checkVoteChange reports whether changing the vote to another candidate is refused now, and the reason.
func checkVoteChange(tag *tagState, request message.LeaseRequest, inputs decisionInputs) (reason refusalReason, refused bool) {
	acceptor := &tag.acceptor
	switch {
	case inputs.now < acceptor.promisedUntil && !guardsOff.promise:
		return refusedPromisedToAnother, true
	case acceptor.reservedAgainst(request.Voter) && inputs.now < acceptor.reservedUntil:
		return refusedTransferred, true
	case acceptor.inCoolDown(request.Voter, inputs.now, inputs.coolDown):
		return refusedCoolDown, true
	case request.PreVote && tag.candidate.preVoteHasPrecedence(inputs.now) && inputs.hasPrecedence:
		return refusedPrecedence, true
	}
	return "", false
}
