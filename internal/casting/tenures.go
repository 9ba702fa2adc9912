// This file is the tenure: which seat is active for a sharing tag. The source leaves
// activation to an outside system; here the seats derive it. A candidate asks all
// three for an epoch higher than any it knows; a voter writes the epoch and the
// candidate down, synced, before it grants, and then promises a tenure's length not
// to grant another. The holder renews, counts its time from when it asked, and stops
// acting a margin before the promises lapse. The epoch is what keeps two holders
// apart; the clocks only make it rare that a stale one tries. A voter that restarts
// waits a full tenure, since it has forgotten its promise, before it grants another than
// the one it promised last, which its disk tells. A tag's starting state in
// the settings is a preference: that seat asks first, and gets the tag back from a
// living holder only by the holder's own handing over.
//
// Before it raises an epoch a candidate makes a trial, which changes nothing anywhere:
// a seat that merely missed some renewals finds out that the others still hear the
// holder, and disturbs nobody. A holder that finds a voter bound to another or higher
// epoch raises its own, so that all three stand behind it again.
package casting

import (
	"sort"
	"time"

	"beaconvane/internal/cue"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

type tagState struct {
	vote      script.Vote
	synced    bool
	promised  time.Duration
	changedAt time.Duration
	reserved  string

	reservedTo time.Duration

	seen    int64
	epoch   int64
	acks    map[string]string
	round   int64
	askedAt time.Duration
	trial   bool
	trials  int  // made in vain since a holder was last heard
	proven  bool // the seat voted for has renewed, so it did hold the tag
	raiseAt time.Duration
	freeAt  time.Duration // since when the tag has been free, as known here
	mine    bool          // this seat has held the tag, in this life or the last
	rival   string
	rivalAt time.Duration // when another was first heard to hold or claim it since
	holding bool
	spent   int64 // an epoch once lost is never taken again
	until   time.Duration
	heldAt  time.Duration
	renewAt time.Duration
	tryAt   time.Duration
}

// Tenures is one seat's part in the tenures of all tags of its group.
type Tenures struct {
	config  playbill.Config
	host    Host
	seating *Seating
	tags    map[string]*tagState
	order   []string
	votesAt time.Duration
	written bool // the votes are this disk's own, with every promise it made
	round   int64
	fit     func(tag string) bool
	took    func(s *cue.Stage, tag string, epoch int64)
	lost    func(s *cue.Stage, tag string, epoch int64)
}

// NewTenures makes the machine. fit says whether this seat may be a candidate; took
// and lost are called on the change.
func NewTenures(config playbill.Config, host Host, seating *Seating, tags []string, votes []script.Vote,
	fit func(tag string) bool, took, lost func(s *cue.Stage, tag string, epoch int64)) *Tenures {
	t := &Tenures{config: config, host: host, seating: seating, tags: map[string]*tagState{}, fit: fit, took: took, lost: lost}
	for _, tag := range tags {
		t.tags[tag] = &tagState{vote: script.Vote{Tag: tag}, synced: true}
		t.order = append(t.order, tag)
	}
	sort.Strings(t.order)
	t.Restore(votes)
	t.votesAt = -1
	return t
}

// Restore takes votes from disk or from a grant; only a higher epoch counts.
func (t *Tenures) Restore(votes []script.Vote) {
	for _, vote := range votes {
		if state, known := t.tags[vote.Tag]; known && vote.Epoch > state.vote.Epoch {
			state.vote, state.synced = vote, true
			state.mine = vote.Holder == t.seating.Seat
		}
	}
}

// Votes lists the promises as they stand, for the slot and for grants.
func (t *Tenures) Votes() []script.Vote {
	votes := []script.Vote{}
	for _, tag := range t.order {
		vote := t.tags[tag].vote
		if t.tags[tag].epoch > vote.Epoch {
			vote.Epoch = t.tags[tag].epoch
		}
		votes = append(votes, vote)
	}
	return votes
}

// StandUp starts the wait of a full tenure before the first vote; a group just
// founded has no earlier promise to wait for.
func (t *Tenures) StandUp(s *cue.Stage, fresh bool) {
	t.votesAt = s.Now + t.config.Tenure()
	if fresh {
		t.votesAt = s.Now
	}
	for _, state := range t.tags {
		// What was voted for before is taken to have held the tag.
		state.changedAt, state.proven = s.Now, state.vote.Holder != ""
	}
}

// Holding says that this seat is active for the tag, by its own clock, now.
func (t *Tenures) Holding(tag string, now time.Duration) bool {
	state := t.tags[tag]
	return state != nil && state.holding && now < state.until && !t.seating.ShutOut
}

// Epoch is the highest epoch this seat has promised or holds for the tag.
func (t *Tenures) Epoch(tag string) int64 { return t.tags[tag].vote.Epoch }

// Holder is the seat this one last voted for.
func (t *Tenures) Holder(tag string) string { return t.tags[tag].vote.Holder }

// Confirmed says that a majority renewed in a round begun at or after a given time:
// what a read waits for, so that it needs no clock but the holder's own order.
func (t *Tenures) Confirmed(tag string, since time.Duration) bool {
	state := t.tags[tag]
	return state.holding && state.until-t.config.TenureHeld() >= since
}

// RenewNow asks for a renewal at the next tick.
func (t *Tenures) RenewNow(tag string, s *cue.Stage) {
	if state := t.tags[tag]; state.holding && state.renewAt > s.Now {
		state.renewAt = s.Now
		t.ask(s, tag, state)
	}
}

// Tick campaigns, renews and gives up what ran out.
func (t *Tenures) Tick(s *cue.Stage) {
	if !t.seating.Standing() {
		for _, tag := range t.order {
			t.drop(s, tag, "not standing")
		}
		return
	}
	if t.votesAt < 0 {
		t.StandUp(s, false)
		t.written = true
	}
	for _, tag := range t.order {
		state := t.tags[tag]
		if state.holding {
			switch {
			case s.Now >= state.until:
				t.drop(s, tag, "tenure ran out")
				state.tryAt = s.Now + time.Duration(s.Dice.Int64N(int64(t.config.Tenure())))
			case s.Now >= state.renewAt:
				t.handBack(s, tag, state)
				if state.holding {
					t.ask(s, tag, state)
				}
			}
			continue
		}
		if s.Now < state.promised {
			state.freeAt = 0
			continue
		}
		if s.Now < t.votesAt && !t.promisedTo(state, t.seating.Seat, t.seating.State.Identity) || s.Now < state.tryAt || !t.fit(tag) {
			continue
		}
		if state.freeAt == 0 {
			state.freeAt = s.Now
		}
		if s.Now-state.freeAt < min(t.host.SyncTime()*2, t.config.Tenure()) {
			// A seat with a slower disk lets the others go first.
			continue
		}
		if state.mine && state.rival != "" && state.reserved != t.seating.Seat && s.Now-state.rivalAt < t.config.KeeperRest() {
			// It held the tag, then another did: its own rest binds it, whatever the
			// voters know.
			continue
		}
		if state.reserved != "" && state.reserved != t.seating.Seat {
			state.tryAt = s.Now + t.config.Tenure()/2
			state.reserved = ""
			continue
		}
		if state.epoch <= max(state.vote.Epoch, state.seen) && !t.preferred(tag) && state.reserved == "" && state.tryAt == 0 && s.Now >= t.votesAt {
			// The preferred seat asks first; the others after a part of a tenure.
			state.tryAt = s.Now + t.config.Tenure()/3 + time.Duration(s.Dice.Int64N(int64(t.config.Tenure()/3)))
			if t.seating.sought() && t.config.Active[tag] == "" {
				state.tryAt -= t.config.Tenure() / 3
			}
			continue
		}
		if (len(t.host.Peers())+1)*2 <= len(t.config.Seats) {
			// Too few are known to be granted by; a trial now would only cost time.
			continue
		}
		t.campaign(s, tag, state)
	}
}

// promisedTo: what this disk promised last was to that very holder, so whatever was
// forgotten in a restart bars it from nothing.
func (t *Tenures) promisedTo(state *tagState, seat, identity string) bool {
	return t.written && state.synced && state.vote.Holder == seat && state.vote.Identity == bare(identity)
}

func (t *Tenures) preferred(tag string) bool { return t.config.Active[tag] == t.seating.Seat }

// goesBefore orders two candidates that try at one time.
func (t *Tenures) goesBefore(tag, other string) bool {
	if wanted := t.config.Active[tag]; wanted == other || wanted == t.seating.Seat {
		return wanted == t.seating.Seat
	}
	return t.seating.Seat < other
}

func (t *Tenures) campaign(s *cue.Stage, tag string, state *tagState) {
	state.epoch = max(state.vote.Epoch, state.seen, state.epoch) + 1
	state.trial = true
	state.trials++
	state.tryAt = s.Now + t.config.RenewEvery()/2 + time.Duration(s.Dice.Int64N(int64(t.config.RenewEvery()/2)))
	t.ask(s, tag, state)
}

func (t *Tenures) ask(s *cue.Stage, tag string, state *tagState) {
	t.round++
	state.round, state.askedAt, state.renewAt = t.round, s.Now, s.Now+t.config.RenewEvery()
	state.acks = map[string]string{}
	ask := script.TenureAsk{Group: t.seating.Group, Tag: tag, Epoch: state.epoch, Seat: t.seating.Seat,
		Identity: t.seating.Stamp(), Round: state.round, Trial: state.trial}
	for _, peer := range t.host.Peers() {
		if peer.Seat != t.seating.Seat {
			s.Send(peer.Address, ask)
		}
	}
	t.hearAsk(s, "", ask)
}

// drop ends this seat's activity for a tag.
func (t *Tenures) drop(s *cue.Stage, tag, cause string) {
	state := t.tags[tag]
	if !state.holding {
		return
	}
	state.holding, state.spent = false, state.epoch
	s.Note("tenure-lost", 0, state.epoch, tag+": "+cause)
	t.lost(s, tag, state.epoch)
}

// Yield hands every tag over, at a polite stop: to whom is left open.
func (t *Tenures) Yield(s *cue.Stage) {
	for _, tag := range t.order {
		if t.tags[tag].holding {
			t.yieldTo(s, tag, t.tags[tag], "")
		}
		t.tags[tag].tryAt = s.Now + t.config.Tenure()*1000
	}
}

func (t *Tenures) handBack(s *cue.Stage, tag string, state *tagState) {
	wanted := t.config.Active[tag]
	if wanted == "" || wanted == t.seating.Seat || s.Now-state.heldAt < t.config.MoveBack() {
		return
	}
	for _, peer := range t.host.Peers() {
		heard, known := t.seating.heard[wanted]
		if peer.Seat == wanted && peer.State == script.Alive && known && heard.told.Standing &&
			s.Now-heard.at < t.config.DigestEvery()*25 {
			t.yieldTo(s, tag, state, wanted)
			return
		}
	}
}

func (t *Tenures) yieldTo(s *cue.Stage, tag string, state *tagState, to string) {
	yield := script.TenureYield{Group: t.seating.Group, Tag: tag, Epoch: state.epoch, Seat: t.seating.Seat,
		Identity: t.seating.Stamp(), To: to}
	t.drop(s, tag, "handed over to "+to)
	state.tryAt = s.Now + t.config.Tenure()*2
	for _, peer := range t.host.Peers() {
		if peer.Seat != t.seating.Seat {
			s.Send(peer.Address, yield)
		}
	}
	t.hearYield(s, yield)
}

// Hear takes a tenure message; false when it is another part's.
func (t *Tenures) Hear(s *cue.Stage, from string, message any) bool {
	switch heard := message.(type) {
	case script.TenureAsk:
		if heard.Group == t.seating.Group {
			t.hearAsk(s, from, heard)
		}
	case script.TenureVote:
		if heard.Group == t.seating.Group {
			t.hearVote(s, heard)
		}
	case script.TenureYield:
		if heard.Group == t.seating.Group {
			t.hearYield(s, heard)
		}
	default:
		return false
	}
	return true
}

func (t *Tenures) hearAsk(s *cue.Stage, from string, ask script.TenureAsk) {
	state, known := t.tags[ask.Tag]
	if known && !ask.Trial && ask.Seat != t.seating.Seat && ask.Seat != state.rival && ask.Epoch >= state.vote.Epoch && t.seating.Holds(ask.Seat, ask.Identity) {
		state.rival, state.rivalAt = ask.Seat, s.Now
	}
	if !known || !t.seating.Standing() || t.votesAt < 0 || s.Now < t.votesAt && !t.promisedTo(state, ask.Seat, ask.Identity) {
		return
	}
	answer := script.TenureVote{Group: ask.Group, Tag: ask.Tag, Epoch: ask.Epoch, Round: ask.Round,
		Seat: t.seating.Seat, Identity: t.seating.Stamp(), Trial: ask.Trial, Seen: max(state.vote.Epoch, state.seen)}
	reply := func(s *cue.Stage) {
		answer.Identity = t.seating.Stamp()
		if from == "" {
			t.hearVote(s, answer)
		} else {
			s.Send(from, answer)
		}
	}
	same := state.vote.Holder == ask.Seat && state.vote.Identity == bare(ask.Identity)
	switch {
	case !t.seating.Holds(ask.Seat, ask.Identity):
		answer.Reason = "not on the roll"
	case ask.Epoch < state.vote.Epoch:
		answer.Reason = "lower epoch"
	case ask.Epoch == state.vote.Epoch && !same:
		answer.Reason = "epoch given to another"
	case ask.Epoch == state.vote.Epoch && ask.Trial:
		answer.Reason = "epoch in use"
	case ask.Epoch == state.vote.Epoch:
		// A renewal counts as synced only once the vote itself is.
		if !state.synced {
			return
		}
		state.promised = s.Now + t.config.Tenure()
		answer.Granted = true
		state.trials = 0
		if !state.proven {
			state.proven, state.changedAt = true, s.Now
		}
	case !same && s.Now < state.promised:
		answer.Reason = "another holds it"
	case !same && state.reserved != "" && state.reserved != ask.Seat && s.Now < state.reservedTo:
		answer.Reason = "handed over to another"
	case !same && ask.Seat == state.vote.Former && s.Now-state.changedAt < t.config.KeeperRest():
		answer.Reason = "keeper rest"
	case ask.Trial && !same && state.trial && s.Now < state.tryAt && state.trials <= 2 && t.goesBefore(ask.Tag, ask.Seat):
		answer.Reason = "goes first here"
	case ask.Trial:
		answer.Granted = true
		if from != "" && state.trial {
			// Another goes first: this seat's own trial is off, for a while.
			state.trial, state.round = false, 0
			state.tryAt = s.Now + t.config.RenewEvery() + time.Duration(s.Dice.Int64N(int64(t.config.RenewEvery())))
		}
	default:
		if !same {
			if state.proven {
				state.vote.Former = state.vote.Holder
			}
			state.proven = false
			state.changedAt = s.Now
		}
		state.vote.Epoch, state.vote.Holder, state.vote.Identity = ask.Epoch, ask.Seat, bare(ask.Identity)
		state.reserved = ""
		state.promised = s.Now + t.config.Tenure()
		state.synced = false
		vote := state.vote
		t.host.Persist(s, vote, func(s *cue.Stage, failure error) {
			if failure != nil || state.vote != vote {
				return
			}
			state.synced = true
			state.promised = s.Now + t.config.Tenure()
			answer.Granted = true
			reply(s)
		})
		return
	}
	reply(s)
}

func (t *Tenures) hearVote(s *cue.Stage, vote script.TenureVote) {
	state, known := t.tags[vote.Tag]
	if !known {
		return
	}
	state.seen = max(state.seen, vote.Seen)
	if vote.Epoch != state.epoch || vote.Epoch <= state.spent || !t.seating.Holds(vote.Seat, vote.Identity) {
		return
	}
	if !vote.Granted {
		if state.holding && vote.Seen >= state.epoch && vote.Reason != "another holds it" && s.Now >= state.raiseAt && t.fit(vote.Tag) {
			state.raiseAt = s.Now + t.config.Tenure()
			t.drop(s, vote.Tag, "raises its epoch: "+vote.Seat+" is bound to another")
			t.campaign(s, vote.Tag, state)
		}
		return
	}
	if vote.Round != state.round || vote.Trial != state.trial {
		return
	}
	state.acks[vote.Seat] = vote.Identity
	if !t.seating.Majority(state.acks) {
		return
	}
	if state.trial {
		state.trial = false
		state.tryAt = s.Now + t.config.Tenure()/2 + time.Duration(s.Dice.Int64N(int64(t.config.Tenure()/2)))
		t.ask(s, vote.Tag, state)
		return
	}
	if state.vote.Epoch > state.epoch {
		return
	}
	state.until = max(state.until, state.askedAt+t.config.TenureHeld())
	if !state.holding && s.Now < state.until {
		state.holding, state.heldAt, state.mine, state.rival = true, s.Now, true, ""
		s.Note("tenure-taken", 0, state.epoch, vote.Tag+" by "+t.seating.Seat)
		t.took(s, vote.Tag, state.epoch)
	}
}

func (t *Tenures) hearYield(s *cue.Stage, yield script.TenureYield) {
	state, known := t.tags[yield.Tag]
	if !known || yield.Epoch != state.vote.Epoch || state.vote.Holder != yield.Seat || !t.seating.Holds(yield.Seat, yield.Identity) {
		return
	}
	state.promised = 0
	state.reserved, state.reservedTo = yield.To, s.Now+t.config.Tenure()/2
	if yield.To != "" {
		// Handing back is rate-limited by the holder; the rest does not apply.
		state.changedAt = s.Now - t.config.KeeperRest()
	}
	if yield.To == t.seating.Seat {
		state.tryAt = s.Now
	} else if yield.Seat != t.seating.Seat {
		state.tryAt = s.Now + t.config.Tenure()/2
	}
}

// Forget drops all that this seat held and promised: the seat is another's now.
func (t *Tenures) Forget(s *cue.Stage) {
	for _, tag := range t.order {
		t.drop(s, tag, "the seat is another's")
		t.tags[tag] = &tagState{vote: script.Vote{Tag: tag}, synced: true}
	}
	t.votesAt, t.written = -1, false
}

// Forsake leaps over whatever epochs the lost disks may have given out.
func (t *Tenures) Forsake() {
	for _, state := range t.tags {
		state.vote.Epoch += 1 << 20
	}
}
