package lease

import (
	"time"

	"beaconvane/internal/message"
)

// action is what a granting voter does about a request.
type action int

const (
	// refuse answers with a reason.
	refuse action = iota
	// ignore sends no answer.
	ignore
	// renew extends the promise to the holder.
	renew
	// grantPreVote says that a vote would be granted.
	grantPreVote
	// castVote writes a new vote and grants it once it is synced.
	castVote
)

// refusal is why a request was refused. Its text travels in message.LeaseVote, and holders of other
// versions compare it: the texts must not change.
type refusal string

const (
	refusedNotMember     refusal = "not on the member list"
	refusedLowerEpoch    refusal = "lower epoch"
	refusedEpochGiven    refusal = "epoch given to another"
	refusedEpochInUse    refusal = "epoch in use"
	refusedHeldByAnother refusal = "another holds it"
	refusedTransferred   refusal = "handed over to another"
	refusedCoolDown      refusal = "holder rest"
	refusedPrecedence    refusal = "goes first here"
)

// maxPrecedentPreVotes is how many pre-votes in a row a candidate puts before those of voters that
// come after it. One that keeps failing lets the others try.
const maxPrecedentPreVotes = 2

// decision is a granting voter's answer to a request.
type decision struct {
	action action
	reason refusal // of a refuse
}

// decisionInputs are what a decision depends on besides the request and the state of the tag.
type decisionInputs struct {
	now      time.Duration
	accepted bool          // the candidate is on this voter's member list
	precedes bool          // this voter goes before the candidate when both try at one time
	coolDown time.Duration // how long a former holder may not hold the tag again
}

// decide returns the answer to a request. It changes nothing: Manager.handleRequest carries the
// decision out.
func decide(tag *tagState, request message.LeaseRequest, inputs decisionInputs) decision {
	acceptor := &tag.acceptor
	switch {
	case !inputs.accepted:
		return decision{refuse, refusedNotMember}
	case request.Epoch < acceptor.vote.Epoch && !guardsOff.higherEpoch:
		return decision{refuse, refusedLowerEpoch}
	case request.Epoch == acceptor.vote.Epoch:
		return decideRenewal(acceptor, request)
	}
	if !acceptor.votedFor(request.Voter, request.Identity) {
		if reason, refused := refuseChange(tag, request, inputs); refused {
			return decision{refuse, reason}
		}
	}
	if request.PreVote {
		return decision{action: grantPreVote}
	}
	return decision{action: castVote}
}

// decideRenewal decides on a request for the epoch that was voted for. Only its holder may renew, and
// only once the vote is synced: the renewal counts as a synced vote.
func decideRenewal(acceptor *acceptorState, request message.LeaseRequest) decision {
	switch {
	case !acceptor.votedFor(request.Voter, request.Identity) && !guardsOff.oneHolder:
		return decision{refuse, refusedEpochGiven}
	case request.PreVote:
		return decision{refuse, refusedEpochInUse}
	case !acceptor.voteSynced:
		return decision{action: ignore}
	}
	return decision{action: renew}
}

// refuseChange returns why the vote can't pass to another candidate now, if it can't.
func refuseChange(tag *tagState, request message.LeaseRequest, inputs decisionInputs) (reason refusal, refused bool) {
	acceptor := &tag.acceptor
	switch {
	case inputs.now < acceptor.promisedUntil && !guardsOff.promise:
		return refusedHeldByAnother, true
	case acceptor.reservedAgainst(request.Voter) && inputs.now < acceptor.reservedUntil:
		return refusedTransferred, true
	case acceptor.inCoolDown(request.Voter, inputs.now, inputs.coolDown):
		return refusedCoolDown, true
	case request.PreVote && tag.candidate.inPreVote(inputs.now) && inputs.precedes:
		return refusedPrecedence, true
	}
	return "", false
}
