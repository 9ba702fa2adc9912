package quorum

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// mismatchesPerInterval is how many times in a status interval a mismatch may bring the next statuses
// forward.
const mismatchesPerInterval = 4

// listState is what this process signs with, and whether it may.
type listState struct {
	digest         string        // of the member list
	pendingWrites  int           // of newer member lists
	mismatch       bool          // a signature with another digest was received
	nextMismatchAt time.Duration // when a mismatch may next bring the statuses forward
}

// signature is the identity with the digest of the synced member list. Nothing is signed while a newer list is
// being written: a disk signs only with the list that it has synced.
func (d *discoveredVoters) signature() string {
	if !d.State.Formed || d.writing || d.listWritePending() {
		return ""
	}
	return signature{identity: d.State.Identity, digest: d.list.digest}.String()
}

// accepts compares the whole member list by its digest, so that signatures on two lists never add up to one
// majority.
func (d *discoveredVoters) accepts(voter, text string) bool {
	signed := parseSignature(text)
	if !d.State.Formed || d.listWritePending() || signed.identity == "" || d.State.MemberList[voter] != signed.identity {
		return false
	}
	if signed.digest != d.list.digest {
		d.list.mismatch = true
	}
	return signed.digest == d.list.digest || guardsOff.oneList
}

// counts accepts this voter's own signature on an earlier list too: what its disk has synced it would sign
// again on the newer one.
func (d *discoveredVoters) counts(voter, text string) bool {
	if d.accepts(voter, text) {
		return true
	}
	return voter == d.Voter && d.signature() != "" && SignatureIdentity(text) == d.State.Identity
}

func (d *discoveredVoters) pendingListWrites() int { return d.list.pendingWrites }

// listWritePending says that a newer member list is known and not synced yet.
func (d *discoveredVoters) listWritePending() bool {
	return d.list.pendingWrites > 0 && !guardsOff.writtenList
}

func (d *discoveredVoters) setMemberList(list memberList) {
	d.State.MemberList, d.list.digest = list, list.digest()
}

// expediteStatusAfterMismatch sends statuses at once after a signature on another member list, so that the lists
// are joined soon.
func (d *discoveredVoters) expediteStatusAfterMismatch(env *statemachine.Env) {
	if !d.list.mismatch || env.Now < d.list.nextMismatchAt {
		return
	}
	d.list.mismatch = false
	d.list.nextMismatchAt = env.Now + d.settings.DigestEvery()/mismatchesPerInterval
	d.nextStatusAt = env.Now
}

// joinMemberList takes what is newer in another's member list, and has it synced before anything more is
// signed; false when this process's own voter was given to another.
func (d *discoveredVoters) joinMemberList(env *statemachine.Env, other memberList) bool {
	joined, grown := memberList(d.State.MemberList).join(other)
	if !grown {
		return true
	}
	if joined[d.Voter] != d.State.Identity {
		d.loseVoter(env, joined[d.Voter])
		return false
	}
	d.writeMemberList(env, joined, func(*statemachine.Env) {})
	return true
}

func (d *discoveredVoters) loseVoter(env *statemachine.Env, holder string) {
	env.Event(eventLost, 0, 0, d.Voter+" to "+parseIdentity(holder).node)
	d.directory.AnnounceVoter("")
	d.transfer.DiscardState(env)
	d.statuses = map[string]receivedStatus{}
	d.grants = map[string]message.VoterGrant{}
	d.claim.vacantSince = map[string]time.Duration{}
	d.startAnew(env, false)
}

// writeMemberList syncs a newer member list, and sends statuses with it at once.
func (d *discoveredVoters) writeMemberList(env *statemachine.Env, list memberList, then func(env *statemachine.Env)) {
	for voter, holder := range list {
		if d.State.MemberList[voter] != holder {
			delete(d.statuses, voter)
			replacedBy := parseIdentity(holder)
			env.Event(eventReplaced, 0, int64(replacedBy.edition), voter+" by "+replacedBy.node)
		}
	}
	d.setMemberList(list)
	d.list.pendingWrites++
	writer := d.State.Identity
	d.storage.Persist(env, d.State, func(env *statemachine.Env, failure error) {
		if failure != nil || d.State.Identity != writer {
			return
		}
		d.list.pendingWrites--
		d.nextStatusAt = env.Now
		then(env)
	})
}
