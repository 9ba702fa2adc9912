// Package lease decides which voter is active for a sharing tag. The source leaves
// activation to an outside system; here the voters derive it. A candidate asks all
// three for an epoch higher than any it knows; a voter writes the epoch and the
// candidate down, synced, before it grants, and then promises a lease's length not
// to grant another. The holder renews, counts its time from when it asked, and stops
// acting a margin before the promises lapse. The epoch is what keeps two holders
// apart; the clocks only make it rare that a stale one tries. A voter that restarts
// waits a full lease, since it has forgotten its promise, before it grants another than
// the one it promised last, which its disk tells. A tag's starting state in
// the settings is a preference: that voter asks first, and gets the tag back from a
// living holder only by the holder's own handing over.
//
// Before it raises an epoch a candidate makes a trial, which changes nothing anywhere:
// a voter that merely missed some renewals finds out that the others still hear the
// holder, and disturbs nobody. A holder that finds a voter bound to another or higher
// epoch raises its own, so that all three stand behind it again.
package lease

import (
	"sort"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

type tagState struct {
	vote      message.Vote
	synced    bool
	promised  time.Duration
	changedAt time.Duration
	leftAt    map[string]time.Duration // when each voter that rests held the tag last, at the latest
	reserved  string

	reservedTo time.Duration

	seen    int64
	epoch   int64
	acks    map[string]string
	round   int64
	askedAt time.Duration
	asking  bool // the round is not answered by a majority yet
	again   bool // a further round is wanted behind it
	trial   bool
	trials  int  // made in vain since a holder was last heard
	proven  bool // the voter voted for has renewed, so it did hold the tag
	raiseAt time.Duration
	freeAt  time.Duration // since when the tag has been free, as known here
	mine    bool          // this voter has held the tag, in this life or the last
	rival   string
	rivalAt time.Duration // when another was first heard to hold or claim it since
	holding bool
	spent   int64 // an epoch once lost is never taken again
	until   time.Duration
	heldAt  time.Duration
	renewAt time.Duration
	tryAt   time.Duration
}

// Manager is one voter's part in the leases of all tags of its group.
type Manager struct {
	settings  settings.Settings
	host      quorum.Host
	quorum    *quorum.Quorum
	tags      map[string]*tagState
	order     []string
	votesAt   time.Duration
	written   bool // the votes are this disk's own, with every promise it made
	round     int64
	callbacks Callbacks
}

// Callbacks connect the leases with the machine that uses them.
type Callbacks struct {
	// Eligible reports whether this voter may become a candidate for a tag.
	Eligible func(tag string) bool
	// OnAcquired is called when this voter has become the holder of a tag.
	OnAcquired func(env *statemachine.Env, tag string, epoch int64)
	// OnLost is called when this voter is no longer the holder of a tag.
	OnLost func(env *statemachine.Env, tag string, epoch int64)
}

// New returns the manager of the leases of tags. votes are the votes that this voter's disk holds.
func New(cfg settings.Settings, host quorum.Host, group *quorum.Quorum, tags []string, votes []message.Vote,
	callbacks Callbacks) *Manager {
	t := &Manager{settings: cfg, host: host, quorum: group, tags: map[string]*tagState{}, callbacks: callbacks}
	for _, tag := range tags {
		t.tags[tag] = &tagState{vote: message.Vote{Tag: tag}, synced: true, leftAt: map[string]time.Duration{}}
		t.order = append(t.order, tag)
	}
	sort.Strings(t.order)
	t.Restore(votes)
	t.votesAt = -1
	return t
}

// Restore takes votes from disk or from a grant; only a higher epoch counts.
func (t *Manager) Restore(votes []message.Vote) {
	for _, vote := range votes {
		if state, known := t.tags[vote.Tag]; known && vote.Epoch > state.vote.Epoch {
			state.vote, state.synced = vote, true
			state.mine = vote.Holder == t.quorum.Voter
		}
	}
}

// Votes lists the promises as they stand, for the slot and for grants.
func (t *Manager) Votes() []message.Vote {
	votes := []message.Vote{}
	for _, tag := range t.order {
		vote := t.tags[tag].vote
		if t.tags[tag].epoch > vote.Epoch {
			vote.Epoch = t.tags[tag].epoch
		}
		votes = append(votes, vote)
	}
	return votes
}

// BeginVoting starts the wait of a full lease before the first vote; a group just
// founded has no earlier promise to wait for.
func (t *Manager) BeginVoting(s *statemachine.Env, fresh bool) {
	t.votesAt = s.Now + t.settings.Lease()
	if fresh {
		t.votesAt = s.Now
	}
	for _, state := range t.tags {
		// What was voted for before is taken to have held the tag.
		state.changedAt, state.proven = s.Now, state.vote.Holder != ""
		t.restAnew(state, s.Now)
	}
}

// Holding says that this voter is active for the tag, by its own clock, now.
func (t *Manager) Holding(tag string, now time.Duration) bool {
	state := t.tags[tag]
	return state != nil && state.holding && (now < state.until || guardsOff.leaseEnd) && !t.quorum.Removed
}

// HeldUntil is until when this voter holds the tag, by its own clock, unless it is renewed
// before; 0 where it does not hold it.
func (t *Manager) HeldUntil(tag string) time.Duration {
	state := t.tags[tag]
	if state == nil || !state.holding {
		return 0
	}
	return state.until
}

// Epoch is the highest epoch this voter has promised or holds for the tag.
func (t *Manager) Epoch(tag string) int64 { return t.tags[tag].vote.Epoch }

// Holder is the voter this one last voted for.
func (t *Manager) Holder(tag string) string { return t.tags[tag].vote.Holder }

// ConfirmedSince says that a majority renewed in a round begun at or after a given time:
// what a read waits for, so that it needs no clock but the holder's own order.
func (t *Manager) ConfirmedSince(tag string, since time.Duration) bool {
	state := t.tags[tag]
	return state.holding && state.until-t.settings.LeaseHeld() >= since
}

// RenewNow asks for a renewal now. While a round is under way it asks for one behind it: a
// round that each caller began anew would never end.
func (t *Manager) RenewNow(tag string, s *statemachine.Env) {
	state := t.tags[tag]
	switch {
	case !state.holding:
	case state.asking && s.Now-state.askedAt < t.settings.RenewEvery()/4:
		state.again = true
	default:
		t.request(s, tag, state)
	}
}

// Tick campaigns, renews and gives up what ran out.
func (t *Manager) Tick(s *statemachine.Env) {
	if !t.quorum.Voting() {
		t.giveUp(s)
		return
	}
	if t.votesAt < 0 {
		t.BeginVoting(s, false)
		t.written = true
	}
	for _, tag := range t.order {
		state := t.tags[tag]
		if state.holding {
			switch {
			case s.Now >= state.until && !guardsOff.leaseEnd:
				t.drop(s, tag, "lease ran out")
				state.tryAt = s.Now + time.Duration(s.Random.Int64N(int64(t.settings.Lease())))
			case s.Now >= state.renewAt:
				t.handBack(s, tag, state)
				if state.holding {
					t.request(s, tag, state)
				}
			}
			continue
		}
		if s.Now < state.promised {
			state.freeAt = 0
			continue
		}
		if s.Now < t.votesAt && !t.promisedTo(state, t.quorum.Voter, t.quorum.State.Identity) || s.Now < state.tryAt || !t.callbacks.Eligible(tag) {
			continue
		}
		if state.freeAt == 0 {
			state.freeAt = s.Now
		}
		if s.Now-state.freeAt < min(t.host.WriteLatency()*2, t.settings.Lease()) {
			// A voter with a slower disk lets the others go first.
			continue
		}
		if tag == settings.UsageTag && t.resting(tag, state, t.quorum.Voter, s.Now) {
			continue
		}
		if state.mine && state.rival != "" && state.reserved != t.quorum.Voter && s.Now-state.rivalAt < t.settings.HolderRest() {
			// It held the tag, then another did: its own rest binds it, whatever the
			// voters know.
			continue
		}
		if state.reserved != "" && state.reserved != t.quorum.Voter {
			state.tryAt = s.Now + t.settings.Lease()/2
			state.reserved = ""
			continue
		}
		if state.epoch <= max(state.vote.Epoch, state.seen) && !t.preferred(tag) && state.reserved == "" && state.tryAt == 0 && s.Now >= t.votesAt {
			// The preferred voter asks first; the others after a part of a lease.
			state.tryAt = s.Now + t.settings.Lease()/3 + time.Duration(s.Random.Int64N(int64(t.settings.Lease()/3)))
			if t.quorum.Discovered() && t.settings.Active[tag] == "" {
				state.tryAt -= t.settings.Lease() / 3
			}
			continue
		}
		if (len(t.host.Peers())+1)*2 <= t.quorum.Size() {
			// Too few are known to be granted by; a trial now would only cost time.
			continue
		}
		t.campaign(s, tag, state)
	}
}

// promisedTo: what this disk promised last was to that very holder, so whatever was
// forgotten in a restart bars it from nothing.
func (t *Manager) promisedTo(state *tagState, voter, identity string) bool {
	return t.written && state.synced && state.vote.Holder == voter && state.vote.Identity == quorum.IdentityOf(identity)
}

func (t *Manager) preferred(tag string) bool { return t.settings.Active[tag] == t.quorum.Voter }

// goesBefore orders two candidates that try at one time.
func (t *Manager) goesBefore(tag, other string) bool {
	if wanted := t.settings.Active[tag]; wanted == other || wanted == t.quorum.Voter {
		return wanted == t.quorum.Voter
	}
	return t.quorum.Voter < other
}

func (t *Manager) campaign(s *statemachine.Env, tag string, state *tagState) {
	state.epoch = max(state.vote.Epoch, state.seen, state.epoch) + 1
	state.trial = true
	state.trials++
	state.tryAt = s.Now + t.settings.RenewEvery()/2 + time.Duration(s.Random.Int64N(int64(t.settings.RenewEvery()/2)))
	t.request(s, tag, state)
}

func (t *Manager) request(s *statemachine.Env, tag string, state *tagState) {
	t.round++
	state.round, state.askedAt, state.renewAt = t.round, s.Now, s.Now+t.settings.RenewEvery()
	state.acks, state.asking, state.again = map[string]string{}, true, false
	request := message.LeaseRequest{Group: t.quorum.Group, Tag: tag, Epoch: state.epoch, Voter: t.quorum.Voter,
		Identity: t.quorum.Signature(), Round: state.round, PreVote: state.trial}
	for _, peer := range t.host.Peers() {
		if peer.Voter != t.quorum.Voter {
			s.Send(peer.Address, request)
		}
	}
	t.handleRequest(s, "", request)
}

// drop ends this voter's activity for a tag.
func (t *Manager) drop(s *statemachine.Env, tag, cause string) {
	state := t.tags[tag]
	if !state.holding {
		return
	}
	state.holding, state.spent = false, state.epoch
	s.Event("lease-lost", 0, state.epoch, tag+": "+cause)
	t.callbacks.OnLost(s, tag, state.epoch)
}

// Forget drops all that this voter held and promised: the voter is another's now.
func (t *Manager) Forget(s *statemachine.Env) {
	for _, tag := range t.order {
		t.drop(s, tag, "the voter is another's")
		t.tags[tag] = &tagState{vote: message.Vote{Tag: tag}, synced: true, leftAt: map[string]time.Duration{}}
	}
	t.votesAt, t.written = -1, false
}

// ForceRecover leaps over whatever epochs the lost disks may have given out.
func (t *Manager) ForceRecover() {
	for _, state := range t.tags {
		state.vote.Epoch += 1 << 20
	}
}
