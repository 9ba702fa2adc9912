package lease

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// Times of the decision tests: the vote was cast long before testNow.
const (
	testNow      = 100 * time.Second
	testCoolDown = 3 * time.Second
)

// votedTag is a tag whose acceptor has voted for voter 1 in epoch 7, with no promise left.
func votedTag(name string) *tagState {
	tag := newTagState(name)
	tag.acceptor.vote = message.Vote{LeaseName: name, Epoch: 7, Holder: "1", Identity: "disk of 1"}
	return tag
}

// decisionCases are the answers to a request of voter 2 for epoch 8, each with a change to the case
// in which it is granted.
var decisionCases = map[string]struct {
	tag    string
	change func(tag *tagState, request *message.LeaseRequest, inputs *decisionInputs)
	want   decision
}{
	"free": {
		want: decision{action: castVote},
	},
	"pre-vote for a free tag": {
		change: func(_ *tagState, request *message.LeaseRequest, _ *decisionInputs) { request.PreVote = true },
		want:   decision{action: grantPreVote},
	},
	"not on the member list": {
		change: func(_ *tagState, _ *message.LeaseRequest, inputs *decisionInputs) { inputs.accepted = false },
		want:   decision{refuse, refusedNotMember},
	},
	"lower epoch": {
		change: func(_ *tagState, request *message.LeaseRequest, _ *decisionInputs) { request.Epoch = 6 },
		want:   decision{refuse, refusedLowerEpoch},
	},
	"epoch of another": {
		change: func(_ *tagState, request *message.LeaseRequest, _ *decisionInputs) { request.Epoch = 7 },
		want:   decision{refuse, refusedEpochGiven},
	},
	"renewal": {
		change: func(_ *tagState, request *message.LeaseRequest, _ *decisionInputs) {
			request.Epoch, request.Voter, request.Identity = 7, "1", "disk of 1"
		},
		want: decision{action: renew},
	},
	"renewal by another disk": {
		change: func(_ *tagState, request *message.LeaseRequest, _ *decisionInputs) {
			request.Epoch, request.Voter, request.Identity = 7, "1", "another disk of 1"
		},
		want: decision{refuse, refusedEpochGiven},
	},
	"renewal before the vote is synced": {
		change: func(tag *tagState, request *message.LeaseRequest, _ *decisionInputs) {
			request.Epoch, request.Voter, request.Identity = 7, "1", "disk of 1"
			tag.acceptor.voteSynced = false
		},
		want: decision{action: ignore},
	},
	"pre-vote for the epoch that it holds": {
		change: func(_ *tagState, request *message.LeaseRequest, _ *decisionInputs) {
			request.Epoch, request.Voter, request.Identity, request.PreVote = 7, "1", "disk of 1", true
		},
		want: decision{refuse, refusedEpochInUse},
	},
	"promised to the holder": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.promisedUntil = testNow + 1
		},
		want: decision{refuse, refusedHeldByAnother},
	},
	"higher epoch of the holder itself": {
		change: func(tag *tagState, request *message.LeaseRequest, _ *decisionInputs) {
			request.Voter, request.Identity = "1", "disk of 1"
			tag.acceptor.promisedUntil = testNow + 1
		},
		want: decision{action: castVote},
	},
	"transferred to another": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.reservedFor, tag.acceptor.reservedUntil = "3", testNow+1
		},
		want: decision{refuse, refusedTransferred},
	},
	"transferred to the candidate": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.reservedFor, tag.acceptor.reservedUntil = "2", testNow+1
		},
		want: decision{action: castVote},
	},
	"transferred to another that did not come": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.reservedFor, tag.acceptor.reservedUntil = "3", testNow
		},
		want: decision{action: castVote},
	},
	"former holder in its cool-down": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.vote.PreviousHolder, tag.acceptor.coolDownFrom = "2", testNow-testCoolDown+1
		},
		want: decision{refuse, refusedCoolDown},
	},
	"former holder after its cool-down": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.vote.PreviousHolder, tag.acceptor.coolDownFrom = "2", testNow-testCoolDown
		},
		want: decision{action: castVote},
	},
	"earlier holder of the usage tag in its cool-down": {
		tag: settings.UsageLease,
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.heldUntil["2"] = testNow - testCoolDown + 1
		},
		want: decision{refuse, refusedCoolDown},
	},
	"earlier holder of another tag": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.heldUntil["2"] = testNow - testCoolDown + 1
		},
		want: decision{action: castVote},
	},
	"pre-vote beside this voter's own, which goes first": {
		change: func(tag *tagState, request *message.LeaseRequest, inputs *decisionInputs) {
			request.PreVote, inputs.precedes = true, true
			tag.candidate.preVote, tag.candidate.preVotes, tag.candidate.nextAttemptAt = true, 2, testNow+1
		},
		want: decision{refuse, refusedPrecedence},
	},
	"pre-vote beside this voter's own, which failed often": {
		change: func(tag *tagState, request *message.LeaseRequest, inputs *decisionInputs) {
			request.PreVote, inputs.precedes = true, true
			tag.candidate.preVote, tag.candidate.preVotes, tag.candidate.nextAttemptAt = true, 3, testNow+1
		},
		want: decision{action: grantPreVote},
	},
	"pre-vote beside this voter's own, which comes later": {
		change: func(tag *tagState, request *message.LeaseRequest, _ *decisionInputs) {
			request.PreVote = true
			tag.candidate.preVote, tag.candidate.preVotes, tag.candidate.nextAttemptAt = true, 1, testNow+1
		},
		want: decision{action: grantPreVote},
	},
}

// Each request gets its answer, and deciding changes nothing.
func TestDecide(t *testing.T) {
	for name, example := range decisionCases {
		t.Run(name, func(t *testing.T) {
			tagName := configTag
			if example.tag != "" {
				tagName = example.tag
			}
			request := message.LeaseRequest{LeaseName: tagName, Epoch: 8, Voter: "2", Identity: "disk of 2"}
			inputs := decisionInputs{now: testNow, accepted: true, coolDown: testCoolDown}
			tag, untouched := votedTag(tagName), votedTag(tagName)
			if example.change != nil {
				example.change(tag, &request, &inputs)
				example.change(untouched, &request, &inputs)
			}
			qt.Assert(t, decide(tag, request, inputs), qt.Equals, example.want)
			qt.Assert(t, reflect.DeepEqual(tag, untouched), qt.IsTrue)
		})
	}
}

// The texts of refusals travel between processes of different versions.
func TestRefusalTexts(t *testing.T) {
	for reason, text := range map[refusal]string{
		refusedNotMember:     "not on the member list",
		refusedLowerEpoch:    "lower epoch",
		refusedEpochGiven:    "epoch given to another",
		refusedEpochInUse:    "epoch in use",
		refusedHeldByAnother: "another holds it",
		refusedTransferred:   "handed over to another",
		refusedCoolDown:      "holder rest",
		refusedPrecedence:    "goes first here",
	} {
		qt.Check(t, string(reason), qt.Equals, text)
	}
}
