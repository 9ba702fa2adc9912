// Package casting decides who acts. This file is the seating: which disk, by a random
// identity made when it was empty, holds which of a group's three seats. All three
// found the group together, once, when each reports empty and each has pledged, on
// disk, the same roll. From then on every vote and every settling message bears the
// sender's identity, and counts only against the receiver's roll at the moment of
// counting. A seat that lost its disk claims its place anew: both others first write
// the new identity down, which voids the old one's acks, also those in flight, and
// then tell it what they hold; only with both grants in hand does it stand. The old
// machine, should it wake, is on nobody's roll. That is the form in which the settings
// name the seats; placing.go has the other.
package casting

import (
	"maps"
	"sort"
	"strconv"
	"time"

	"beaconvane/internal/cue"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/wardrobe"
)

// Host is the machine around the seating and the tenures.
type Host interface {
	Persist(s *cue.Stage, record any, then wardrobe.Then)
	CompactNow(s *cue.Stage, then wardrobe.Then)
	Failure() error
	SyncTime() time.Duration
	Peers() []script.Member
	StateForGrant() []byte
	AbsorbGrants(s *cue.Stage, states [][]byte)
	// Where seats are sought: sit in one ("" for none), drop what rested on one, and
	// what the membership says of a node and of this one.
	Sit(seat string)
	Forget(s *cue.Stage)
	Gone(s *cue.Stage, node string) bool
	Superseded() bool
}

type heardSeat struct {
	from string
	told script.SeatTold
	at   time.Duration
}

// Seating is one seat's view of who sits where.
type Seating struct {
	Group   string
	Seat    string
	State   script.SeatState
	config  playbill.Config
	host    Host
	heard   map[string]heardSeat
	grants  map[string]script.SeatGrant
	nextAt  time.Duration
	pledged bool
	writing bool
	ShutOut bool
	standUp func(s *cue.Stage, fresh bool)

	founders  map[string]heardSeat // by node
	listed    string
	listedAt  time.Duration
	digest    string // of the roll
	rolling   int    // newer rolls being written
	differs   bool   // another's stamp was of another roll
	differsAt time.Duration
	freeSince map[string]time.Duration
}

// NewSeating restores a seating; an empty state gets an identity from the dice on
// the first tick.
func NewSeating(group string, config playbill.Config, host Host, state script.SeatState, standUp func(s *cue.Stage, fresh bool)) *Seating {
	if state.Roll == nil {
		state.Roll = map[string]string{}
	}
	if state.Pledge == nil {
		state.Pledge = map[string]string{}
	}
	g := &Seating{Group: group, Seat: config.Seat, State: state, config: config, host: host,
		heard: map[string]heardSeat{}, grants: map[string]script.SeatGrant{}, standUp: standUp,
		founders: map[string]heardSeat{}, freeSince: map[string]time.Duration{}, pledged: len(state.Pledge) > 0}
	if g.sought() {
		g.takeRoll(g.State.Roll)
		if state.Formed {
			g.Seat = state.Seat
			host.Sit(g.Seat)
		}
	}
	return g
}

// Standing says that this seat may vote; one whose disk has failed may not.
func (g *Seating) Standing() bool {
	return g.State.Standing && !g.ShutOut && !g.writing && g.host.Failure() == nil
}

// Holds checks an identity against the roll, now.
func (g *Seating) Holds(seat, identity string) bool {
	if g.sought() {
		return g.holdsStamp(seat, identity)
	}
	return g.State.Formed && identity != "" && g.State.Roll[seat] == identity
}

// AddressOf is where the disk that holds a seat was last heard from.
func (g *Seating) AddressOf(seat string) string { return g.heard[seat].from }

// Majority counts the seats whose identity still holds.
func (g *Seating) Majority(acks map[string]string) bool {
	count := 0
	for seat, identity := range acks {
		if g.Holds(seat, identity) || g.sought() && seat == g.Seat && g.Stamp() != "" && bare(identity) == g.State.Identity {
			// What this disk has synced it says again under whatever roll it holds.
			count++
		}
	}
	return count*2 > len(g.config.Seats)
}

func (g *Seating) told(s *cue.Stage, answer bool) script.SeatTold {
	told := script.SeatTold{Group: g.Group, Seat: g.Seat, Identity: g.State.Identity, Formed: g.State.Formed,
		Standing: g.Standing(), Pledge: map[string]string{}, Roll: map[string]string{}, Answer: answer, Founder: g.State.Founder && !g.State.Formed, Round: g.State.Round, Free: g.free(s)}
	if g.rolling > 0 {
		told.Formed = false
		told.Founder = false
	}
	if g.pledged {
		told.Pledge = maps.Clone(g.State.Pledge)
	}
	if !g.writing {
		told.Roll = maps.Clone(g.State.Roll)
	}
	told.Formed = told.Formed && !g.writing
	return told
}

// Tick asks around, founds, or claims.
func (g *Seating) Tick(s *cue.Stage) {
	if g.sought() {
		g.tickSought(s)
		return
	}
	if g.State.Identity == "" {
		g.State.Identity = strconv.FormatUint(s.Dice.Uint64(), 36) + strconv.FormatUint(s.Dice.Uint64(), 36)
		clear(g.State.Roll)
		clear(g.State.Pledge)
		g.writing = true
		g.host.CompactNow(s, func(s *cue.Stage, failure error) { g.writing = failure != nil })
		s.Note("seat-identity-made", 0, 0, g.Seat)
		return
	}
	if s.Now < g.nextAt || g.writing {
		return
	}
	g.nextAt = s.Now + g.config.DigestEvery()
	settled := g.Standing()
	if settled {
		g.nextAt = s.Now + g.config.DigestEvery()*10
	}
	for _, peer := range g.host.Peers() {
		if peer.Seat == g.Seat {
			continue
		}
		if g.replaced() {
			s.Send(peer.Address, script.SeatClaim{Group: g.Group, Seat: g.Seat, Identity: g.State.Identity})
		} else {
			s.Send(peer.Address, g.told(s, true))
		}
	}
}

// replaced: some seated peer's roll has another identity in this seat, and this one
// was never formed, so it is the newcomer.
func (g *Seating) replaced() bool {
	if g.State.Standing {
		return false
	}
	for _, heard := range g.heard {
		if heard.told.Formed && heard.told.Roll[g.Seat] != g.State.Identity {
			return true
		}
	}
	return g.State.Formed && !g.State.Standing
}

// Hear takes a seating message; false when it is another part's.
func (g *Seating) Hear(s *cue.Stage, from string, message any) bool {
	if group, isSeating := groupOf(message); g.sought() && isSeating {
		if group == g.Group {
			g.hearSought(s, from, message)
		}
		return true
	}
	switch heard := message.(type) {
	case script.SeatTold:
		if heard.Group == g.Group && heard.Seat != g.Seat {
			g.hearTold(s, from, heard)
		}
	case script.SeatClaim:
		if heard.Group == g.Group && heard.Seat != g.Seat {
			g.hearClaim(s, from, heard)
		}
	case script.SeatGrant:
		if heard.Group == g.Group && heard.To == g.State.Identity {
			g.hearGrant(s, heard)
		}
	default:
		return false
	}
	return true
}

func groupOf(message any) (string, bool) {
	switch heard := message.(type) {
	case script.SeatTold:
		return heard.Group, true
	case script.SeatClaim:
		return heard.Group, true
	case script.SeatGrant:
		return heard.Group, true
	}
	return "", false
}

func (g *Seating) hearTold(s *cue.Stage, from string, told script.SeatTold) {
	if g.State.Identity == "" || g.writing {
		return
	}
	if told.Answer {
		s.Send(from, g.told(s, false))
	}
	if g.State.Formed && !g.Holds(told.Seat, told.Identity) {
		return
	}
	g.heard[told.Seat] = heardSeat{from, told, s.Now}
	if told.Formed {
		switch {
		case !g.State.Formed && g.pledged && maps.Equal(told.Roll, g.State.Pledge):
			// The founding this seat has pledged to is complete. A roll that merely
			// lists a newcomer is not enough: it must read both others first.
			g.form(s, told.Roll)
		case told.Roll[g.Seat] != g.State.Identity && g.State.Standing && !g.ShutOut:
			g.ShutOut = true
			s.Note("seat-shut-out", 5001, 0, g.Seat+" by the roll of "+told.Seat)
		}
		return
	}
	g.found(s)
}

// found: all three empty, freshly heard, all pledged to the same roll.
func (g *Seating) found(s *cue.Stage) {
	if g.State.Formed {
		return
	}
	roll := map[string]string{g.Seat: g.State.Identity}
	for _, seat := range g.config.Seats {
		if seat == g.Seat {
			continue
		}
		heard, known := g.heard[seat]
		if !known || heard.told.Formed || s.Now-heard.at > g.config.DigestEvery()*5 {
			return
		}
		roll[seat] = heard.told.Identity
	}
	if !maps.Equal(roll, g.State.Pledge) {
		g.State.Pledge = roll
		g.pledged = false
		g.host.Persist(s, g.State, func(s *cue.Stage, failure error) { g.pledged = failure == nil && maps.Equal(roll, g.State.Pledge) })
		return
	}
	for _, seat := range g.config.Seats {
		if seat != g.Seat && !maps.Equal(g.heard[seat].told.Pledge, roll) {
			return
		}
	}
	if g.pledged {
		g.form(s, roll)
	}
}

func (g *Seating) form(s *cue.Stage, roll map[string]string) {
	g.State.Formed, g.State.Standing = true, true
	g.takeRoll(maps.Clone(roll))
	for seat, identity := range roll {
		if g.sought() && identity == g.State.Identity {
			g.Seat, g.State.Seat = seat, seat
		}
	}
	g.stand(s, "seat-founded", true)
}

func (g *Seating) hearClaim(s *cue.Stage, from string, claim script.SeatClaim) {
	if !g.Standing() {
		return
	}
	for _, former := range g.State.Former {
		if former == claim.Identity {
			s.Send(from, script.SeatGrant{Group: g.Group, Seat: g.Seat, Identity: g.State.Identity, To: claim.Identity, Refused: true, Roll: map[string]string{}})
			return
		}
	}
	if g.State.Roll[claim.Seat] == "" && g.awaited(claim.Seat) {
		return
	}
	if g.State.Roll[claim.Seat] != claim.Identity {
		if old := g.State.Roll[claim.Seat]; old != "" {
			g.State.Former = append(g.State.Former, old)
		}
		g.State.Roll[claim.Seat] = claim.Identity
		delete(g.heard, claim.Seat)
		s.Note("seat-replaced", 0, 0, claim.Seat)
		g.host.Persist(s, g.State, func(s *cue.Stage, failure error) {
			if failure == nil {
				g.grant(s, from, claim)
			}
		})
		return
	}
	// Already written, or being written: a write behind it keeps the order.
	g.host.Persist(s, g.State, func(s *cue.Stage, failure error) {
		if failure == nil {
			g.grant(s, from, claim)
		}
	})
}

// awaited: another seat is being filled. Of two seats given up one is filled first,
// so that the second newcomer has two to read.
func (g *Seating) awaited(claimed string) bool {
	for _, seat := range g.config.Seats {
		heard := g.heard[seat].told
		if seat != g.Seat && seat != claimed && g.State.Roll[seat] != "" && !(heard.Standing && heard.Identity == g.State.Roll[seat]) {
			return true
		}
	}
	return false
}

func (g *Seating) grant(s *cue.Stage, to string, claim script.SeatClaim) {
	if !g.Holds(claim.Seat, claim.Identity) {
		return
	}
	s.Send(to, script.SeatGrant{Group: g.Group, Seat: g.Seat, Identity: g.State.Identity, To: claim.Identity,
		Roll: maps.Clone(g.State.Roll), State: g.host.StateForGrant()})
}

func (g *Seating) hearGrant(s *cue.Stage, grant script.SeatGrant) {
	if g.State.Standing || g.writing {
		return
	}
	if grant.Refused && !g.State.Formed {
		// It never stood, so nothing rests on this identity: take another.
		s.Note("seat-identity-dropped", 0, 0, g.Seat)
		g.State.Identity, g.grants = "", map[string]script.SeatGrant{}
		return
	}
	if grant.Refused {
		if !g.ShutOut {
			s.Note("seat-shut-out", 5001, 0, g.Seat+" refused by "+grant.Seat)
		}
		g.ShutOut = true
		return
	}
	g.grants[grant.Seat] = grant
	roll := map[string]string{g.Seat: g.State.Identity}
	states := [][]byte{}
	seats := append([]string{}, g.config.Seats...)
	sort.Strings(seats)
	for _, seat := range seats {
		if seat == g.Seat {
			continue
		}
		held, granted := g.grants[seat]
		if !granted {
			if g.vacant(seat) {
				roll[seat] = ""
				continue
			}
			return
		}
		roll[seat] = held.Identity
		states = append(states, held.State)
	}
	// Two grantors must agree on each other, or one of them is not who it was.
	for _, held := range g.grants {
		for _, seat := range seats {
			if seat != g.Seat && held.Roll[seat] != roll[seat] {
				delete(g.grants, held.Seat)
				return
			}
		}
	}
	g.host.AbsorbGrants(s, states)
	g.State.Formed, g.State.Standing, g.State.Roll = true, true, roll
	g.stand(s, "seat-recovered", false)
}

// vacant: a grantor's roll says that an operator has given the seat up.
func (g *Seating) vacant(seat string) bool {
	for _, held := range g.grants {
		if identity, listed := held.Roll[seat]; listed && identity == "" {
			return true
		}
	}
	return false
}

// Forsake marks every other seat vacant: what an operator does, by a command on the
// stopped survivor's disk, after two disks were lost.
func Forsake(state script.SeatState) script.SeatState {
	roll := map[string]string{}
	for seat, identity := range state.Roll {
		if identity == state.Identity {
			roll[seat] = identity
		} else {
			roll[seat] = ""
			state.Former = append(state.Former, identity)
		}
	}
	state.Roll = roll
	return state
}
