package quorum

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// maxExpeditesPerInterval is how many times per status interval a digest mismatch may trigger an immediate status.
const maxExpeditesPerInterval = 4

// listState is the state of the member list that determines whether and with which digest this process signs.
type listState struct {
	digest         string        // of the current member list
	pendingWrites  int           // member lists whose write is not synced yet
	digestMismatch bool          // a signature with another digest was received since the last expedited status
	nextExpediteAt time.Duration // when a mismatch may next trigger an immediate status
}

// signature returns the identity with the digest of the synced member list. It returns "" while a newer list is being
// written, because a process signs only with a list that its disk has synced.
func (d *discoveredVoters) signature() string {
	if !d.State.Formed || d.blockedOnWrite || d.listWritePending() {
		return ""
	}
	return signature{identity: d.State.Identity, digest: d.list.digest}.String()
}

// accepts reports whether a signature is from the holder of a voter and has the digest of this process's member list.
// The digest covers all voters, so that signatures with different lists never add up to one majority.
func (d *discoveredVoters) accepts(voter, text string) bool {
	signed := parseSignature(text)
	if !d.State.Formed || d.listWritePending() || signed.identity == "" || d.State.MemberList[voter] != signed.identity {
		return false
	}
	if signed.digest != d.list.digest {
		d.list.digestMismatch = true
	}
	return signed.digest == d.list.digest || guardsOff.oneList
}

// countsTowardsMajority also counts this voter's own signature with an earlier list: what its disk has synced, it
// would sign again with the newer list.
func (d *discoveredVoters) countsTowardsMajority(voter, text string) bool {
	if d.accepts(voter, text) {
		return true
	}
	return voter == d.Voter && d.signature() != "" && SignatureIdentity(text) == d.State.Identity
}

func (d *discoveredVoters) pendingListWrites() int { return d.list.pendingWrites }

// listWritePending reports whether the write of a newer member list is not synced yet.
func (d *discoveredVoters) listWritePending() bool {
	return d.list.pendingWrites > 0 && !guardsOff.writtenList
}

// setMemberList sets the member list in memory, with its digest.
func (d *discoveredVoters) setMemberList(list memberList) {
	d.State.MemberList, d.list.digest = list, list.digest()
}

// expediteStatusAfterMismatch makes the next statuses due now if a signature with another member list was received,
// so that the lists are merged soon.
func (d *discoveredVoters) expediteStatusAfterMismatch(env *statemachine.Env) {
	if !d.list.digestMismatch || env.Now < d.list.nextExpediteAt {
		return
	}
	d.list.digestMismatch = false
	d.list.nextExpediteAt = env.Now + d.settings.DigestEvery()/maxExpeditesPerInterval
	d.nextStatusAt = env.Now
}

// mergeMemberList merges the later holders of another process's member list into this one's. Nothing more is signed
// until the result is synced. It returns false if another process holds this process's voter by the merged list.
func (d *discoveredVoters) mergeMemberList(env *statemachine.Env, other memberList) bool {
	merged, changed := memberList(d.State.MemberList).merge(other)
	if !changed {
		return true
	}
	if merged[d.Voter] != d.State.Identity {
		d.handleVoterReplaced(env, merged[d.Voter])
		return false
	}
	d.writeMemberList(env, merged, func(*statemachine.Env) {})
	return true
}

// handleVoterReplaced discards the state of this process's voter, which another identity holds now, and continues
// without a voter under a new identity.
func (d *discoveredVoters) handleVoterReplaced(env *statemachine.Env, holder string) {
	env.Event(eventVoterLost, 0, 0, d.Voter+" to "+parseIdentity(holder).node)
	d.directory.AnnounceVoter("")
	d.transfer.DiscardState(env)
	d.statuses = map[string]receivedStatus{}
	d.grants = map[string]message.VoterGrant{}
	d.claim.vacantSince = map[string]time.Duration{}
	d.resetWithNewIdentity(env, false)
}

// writeMemberList writes a newer member list to disk. Once it is synced, the next statuses are due and onSynced is
// called, unless this process has taken another identity in the meantime.
func (d *discoveredVoters) writeMemberList(env *statemachine.Env, list memberList, onSynced func(env *statemachine.Env)) {
	for voter, holder := range list {
		if d.State.MemberList[voter] != holder {
			delete(d.statuses, voter)
			newHolder := parseIdentity(holder)
			env.Event(eventReplaced, 0, int64(newHolder.edition), voter+" by "+newHolder.node)
		}
	}
	d.setMemberList(list)
	d.list.pendingWrites++
	identityAtWrite := d.State.Identity
	d.storage.Persist(env, d.State, func(env *statemachine.Env, failure error) {
		if failure != nil || d.State.Identity != identityAtWrite {
			return
		}
		d.list.pendingWrites--
		d.nextStatusAt = env.Now
		onSynced(env)
	})
}
