package lease

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// Times in the decision tests. The vote was cast long before testNow.
const (
	testNow      = 100 * time.Second
	testCoolDown = 3 * time.Second
)

// votedTag returns a tag whose acceptor has voted for voter 1 in epoch 7 and is bound by no promise.
func votedTag(name string) *tagState {
	tag := newTagState(name)
	tag.acceptor.vote = message.Vote{LeaseName: name, Epoch: 7, Holder: "1", Identity: "disk of 1"}
	return tag
}

// decisionCases holds the expected decisions on a request of voter 2 for epoch 8. Each case changes the
// base case, in which the vote is cast.
var decisionCases = map[string]struct {
	tag    string
	change func(tag *tagState, request *message.LeaseRequest, inputs *decisionInputs)
	want   decision
}{
	"free tag": {
		want: decision{action: castVote},
	},
	"pre-vote for a free tag": {
		change: func(_ *tagState, request *message.LeaseRequest, _ *decisionInputs) { request.PreVote = true },
		want:   decision{action: grantPreVote},
	},
	"not on the member list": {
		change: func(_ *tagState, _ *message.LeaseRequest, inputs *decisionInputs) { inputs.isMember = false },
		want:   decision{refuse, refusedNotMember},
	},
	"lower epoch": {
		change: func(_ *tagState, request *message.LeaseRequest, _ *decisionInputs) { request.Epoch = 6 },
		want:   decision{refuse, refusedLowerEpoch},
	},
	"epoch granted to another voter": {
		change: func(_ *tagState, request *message.LeaseRequest, _ *decisionInputs) { request.Epoch = 7 },
		want:   decision{refuse, refusedEpochGranted},
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
		want: decision{refuse, refusedEpochGranted},
	},
	"renewal before the vote is synced": {
		change: func(tag *tagState, request *message.LeaseRequest, _ *decisionInputs) {
			request.Epoch, request.Voter, request.Identity = 7, "1", "disk of 1"
			tag.acceptor.voteSynced = false
		},
		want: decision{action: ignore},
	},
	"pre-vote for the epoch in use": {
		change: func(_ *tagState, request *message.LeaseRequest, _ *decisionInputs) {
			request.Epoch, request.Voter, request.Identity, request.PreVote = 7, "1", "disk of 1", true
		},
		want: decision{refuse, refusedEpochInUse},
	},
	"promised to the holder": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.promisedUntil = testNow + 1
		},
		want: decision{refuse, refusedPromisedToAnother},
	},
	"higher epoch of the holder itself": {
		change: func(tag *tagState, request *message.LeaseRequest, _ *decisionInputs) {
			request.Voter, request.Identity = "1", "disk of 1"
			tag.acceptor.promisedUntil = testNow + 1
		},
		want: decision{action: castVote},
	},
	"reserved for another voter": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.reservedFor, tag.acceptor.reservedUntil = "3", testNow+1
		},
		want: decision{refuse, refusedTransferred},
	},
	"reserved for the candidate": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.reservedFor, tag.acceptor.reservedUntil = "2", testNow+1
		},
		want: decision{action: castVote},
	},
	"reservation for another voter expired": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.reservedFor, tag.acceptor.reservedUntil = "3", testNow
		},
		want: decision{action: castVote},
	},
	"former holder in its cool-down": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.vote.PreviousHolder, tag.acceptor.coolDownStartedAt = "2", testNow-testCoolDown+1
		},
		want: decision{refuse, refusedCoolDown},
	},
	"former holder after its cool-down": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.vote.PreviousHolder, tag.acceptor.coolDownStartedAt = "2", testNow-testCoolDown
		},
		want: decision{action: castVote},
	},
	"earlier holder of the usage tag in its cool-down": {
		tag: settings.UsageLease,
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.lastHeldAt["2"] = testNow - testCoolDown + 1
		},
		want: decision{refuse, refusedCoolDown},
	},
	"earlier holder of another tag": {
		change: func(tag *tagState, _ *message.LeaseRequest, _ *decisionInputs) {
			tag.acceptor.lastHeldAt["2"] = testNow - testCoolDown + 1
		},
		want: decision{action: castVote},
	},
	"pre-vote, this voter's own has precedence": {
		change: func(tag *tagState, request *message.LeaseRequest, inputs *decisionInputs) {
			request.PreVote, inputs.hasPrecedence = true, true
			tag.candidate.preVote, tag.candidate.preVoteCount, tag.candidate.nextAttemptAt = true, 2, testNow+1
		},
		want: decision{refuse, refusedPrecedence},
	},
	"pre-vote, this voter's own failed too often": {
		change: func(tag *tagState, request *message.LeaseRequest, inputs *decisionInputs) {
			request.PreVote, inputs.hasPrecedence = true, true
			tag.candidate.preVote, tag.candidate.preVoteCount, tag.candidate.nextAttemptAt = true, 3, testNow+1
		},
		want: decision{action: grantPreVote},
	},
	"pre-vote, this voter's own has no precedence": {
		change: func(tag *tagState, request *message.LeaseRequest, _ *decisionInputs) {
			request.PreVote = true
			tag.candidate.preVote, tag.candidate.preVoteCount, tag.candidate.nextAttemptAt = true, 1, testNow+1
		},
		want: decision{action: grantPreVote},
	},
}

// TestDecide checks the decision on each request, and that decide doesn't modify the tag.
func TestDecide(t *testing.T) {
	for name, testCase := range decisionCases {
		t.Run(name, func(t *testing.T) {
			tagName := configTag
			if testCase.tag != "" {
				tagName = testCase.tag
			}
			request := message.LeaseRequest{LeaseName: tagName, Epoch: 8, Voter: "2", Identity: "disk of 2"}
			inputs := decisionInputs{now: testNow, isMember: true, coolDown: testCoolDown}
			tag, unchanged := votedTag(tagName), votedTag(tagName)
			if testCase.change != nil {
				testCase.change(tag, &request, &inputs)
				testCase.change(unchanged, &request, &inputs)
			}
			qt.Assert(t, decide(tag, request, inputs), qt.Equals, testCase.want)
			qt.Assert(t, reflect.DeepEqual(tag, unchanged), qt.IsTrue)
		})
	}
}

// TestRefusalTexts pins the texts of refusal reasons, which processes of different versions exchange and
// compare.
func TestRefusalTexts(t *testing.T) {
	for reason, text := range map[refusalReason]string{
		refusedNotMember:         "not on the member list",
		refusedLowerEpoch:        "lower epoch",
		refusedEpochGranted:      "epoch given to another",
		refusedEpochInUse:        "epoch in use",
		refusedPromisedToAnother: "another holds it",
		refusedTransferred:       "handed over to another",
		refusedCoolDown:          "holder rest",
		refusedPrecedence:        "goes first here",
	} {
		qt.Check(t, string(reason), qt.Equals, text)
	}
}
