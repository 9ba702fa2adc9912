// This file is the form in which the settings only count the seats. A process finds its
// seat, and may lose it.
//
// An identity says all that a roll needs: the edition of its seat, a random part, and
// the node that it was made on. Of two identities for one seat the one that sorts higher
// replaced the other, so two rolls join seat by seat, and every process's roll only
// grows. A stamp is an identity with the digest of the whole roll that its bearer has
// synced; asks, votes and acks bear stamps and count only where the counter has synced
// the very same roll, at the moment of counting.
//
// Why that holds with any n = 2f+1. Whatever is decided, be it a vote, a settled value
// or the grants that let a newcomer stand, is decided by f+1 seats on one and the same
// roll. Any two such sets share a seat. If one disk was in that seat both times, its two
// rolls are in order, since a disk's roll only grows. If not, the later one stood after
// f+1 grants on a roll of its own, and by induction those grants are in order with the
// earlier decision. So the rolls of all decisions form one line. A newcomer's f+1 grants
// share a seat with every majority that decided on an earlier roll; the disk there said
// yes before it wrote the newer roll down and told its state after, or it came in
// between and had read the decision itself. So the newcomer reads it. An ack of the old
// identity that is still under way bears the older roll's stamp: it counts only together
// with acks of that older roll, and those were given before the grants.
//
// Founding. A pledge has a round, and a process pledges once a round. It leaves a pledge
// only when a member of it holds another one at that round or a later one: that member
// never will hold this one, so this one can't be founded any more. With all pledges alike
// the group is founded; whoever finds a group that was founded without it comes as a
// newcomer and never founds again.
//
// A newcomer takes the seat recorded for its own node, or one whose holder f+1 seats
// have said for a tenure to be dead or gone; it needs f+1 grants on one roll. A claim
// that is half made has written its identity on some rolls, whence it spreads to all; it
// waits for the rest of its grants, and who dies in it is replaced as any dead holder.
package casting

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/cue"
	"beaconvane/internal/script"
)

// identityOf writes an identity; of one seat the higher edition sorts higher.
func identityOf(edition, first, second uint64, node string) string {
	return fmt.Sprintf("%08d~%s%s@%s", edition, strconv.FormatUint(first, 36), strconv.FormatUint(second, 36), node)
}

func editionOf(identity string) uint64 {
	text, _, _ := strings.Cut(identity, "~")
	edition, _ := strconv.ParseUint(text, 10, 64)
	return edition
}

func nodeOf(identity string) string {
	_, node, _ := strings.Cut(identity, "@")
	return node
}

// bare is the identity within a stamp.
func bare(stamp string) string {
	identity, _, _ := strings.Cut(stamp, stampMark)
	return identity
}

const stampMark = "\x1f"

func digestOf(roll map[string]string) string {
	hash := fnv.New64a()
	for _, seat := range slices.Sorted(maps.Keys(roll)) {
		fmt.Fprintf(hash, "%q=%q;", seat, roll[seat])
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}

// sought: the settings name no seat.
func (g *Seating) sought() bool { return g.config.SeatCount > 0 }

// needed is how many grants of others a newcomer needs, and how many seats decide.
func (g *Seating) needed() int { return len(g.config.Seats)/2 + 1 }

// Stamp is what this seat signs with: its identity and, where seats are sought, the
// roll that it has synced; nothing while a newer roll is being written.
func (g *Seating) Stamp() string {
	switch {
	case !g.sought():
		return g.State.Identity
	case !g.State.Formed || g.writing || g.rolling > 0:
		return ""
	}
	return g.State.Identity + stampMark + g.digest
}

func (g *Seating) holdsStamp(seat, stamp string) bool {
	identity, digest, _ := strings.Cut(stamp, stampMark)
	if !g.State.Formed || g.rolling > 0 || identity == "" || g.State.Roll[seat] != identity {
		return false
	}
	if digest != g.digest {
		g.differs = true
	}
	return digest == g.digest
}

func (g *Seating) takeRoll(roll map[string]string) {
	g.State.Roll, g.digest = roll, digestOf(roll)
}

// SeatAt is the seat that is held at an address, as last heard.
func (g *Seating) SeatAt(address string) string {
	for _, seat := range g.config.Seats {
		if heard, known := g.heard[seat]; known && heard.from == address {
			return seat
		}
	}
	return ""
}

// Spare: a whole group is heard, and this process has no seat in it.
func (g *Seating) Spare(s *cue.Stage) bool {
	if !g.sought() || g.State.Formed || g.State.Seat != "" {
		return false
	}
	_, tellers := g.known(s)
	return len(tellers) >= g.needed()
}

func (g *Seating) fresh(s *cue.Stage, heard heardSeat) bool {
	return s.Now-heard.at <= g.config.DigestEvery()*5
}

func (g *Seating) begin(s *cue.Stage, founder bool) {
	g.State = script.SeatState{Identity: identityOf(0, s.Dice.Uint64(), s.Dice.Uint64(), g.config.Node), Founder: founder,
		Pledge: map[string]string{}, Roll: map[string]string{}, Former: []string{}}
	g.Seat, g.pledged, g.rolling = "", false, 0
	g.writing = true
	g.host.CompactNow(s, func(s *cue.Stage, failure error) { g.writing = failure != nil })
	s.Note("seat-identity-made", 0, 0, g.config.Node)
}

func (g *Seating) tickSought(s *cue.Stage) {
	if g.State.Identity == "" {
		g.begin(s, g.config.Found)
		return
	}
	if g.differs && s.Now >= g.differsAt {
		g.differs, g.differsAt, g.nextAt = false, s.Now+g.config.DigestEvery()/4, s.Now
	}
	if s.Now < g.nextAt || g.writing {
		return
	}
	g.nextAt = s.Now + g.config.DigestEvery()
	if g.Standing() && g.allStand(s) {
		g.nextAt = s.Now + g.config.DigestEvery()*10
	}
	g.foundSought(s)
	g.seek(s)
	if g.writing {
		return
	}
	for _, peer := range g.host.Peers() {
		s.Send(peer.Address, g.told(s, true))
		if !g.State.Formed && g.State.Seat != "" {
			s.Send(peer.Address, script.SeatClaim{Group: g.Group, Seat: g.State.Seat, Identity: g.State.Identity})
		}
	}
}

// allStand: every other seat was heard to stand, not long ago.
func (g *Seating) allStand(s *cue.Stage) bool {
	for _, seat := range g.config.Seats {
		heard, known := g.heard[seat]
		if seat != g.Seat && (!known || !heard.told.Standing || s.Now-heard.at > g.config.DigestEvery()*15) {
			return false
		}
	}
	return true
}

// free lists the seats whose holders are gone, as this one knows.
func (g *Seating) free(s *cue.Stage) []string {
	list := []string{}
	if !g.sought() || !g.Standing() || g.rolling > 0 {
		return list
	}
	for _, seat := range g.config.Seats {
		if seat != g.Seat && g.host.Gone(s, nodeOf(g.State.Roll[seat])) {
			list = append(list, seat)
		}
	}
	return list
}

func (g *Seating) hearSought(s *cue.Stage, from string, message any) {
	switch heard := message.(type) {
	case script.SeatTold:
		if bare(heard.Identity) != g.State.Identity {
			g.hearToldSought(s, from, heard)
		}
	case script.SeatClaim:
		g.hearClaimSought(s, from, heard)
	case script.SeatGrant:
		if heard.To == g.State.Identity && !g.State.Formed && !g.writing {
			g.hearGrantSought(s, heard)
		}
	}
}

func (g *Seating) hearToldSought(s *cue.Stage, from string, told script.SeatTold) {
	if g.State.Identity == "" || g.writing {
		return
	}
	if told.Answer {
		s.Send(from, g.told(s, false))
	}
	if !told.Formed {
		g.founders[nodeOf(told.Identity)] = heardSeat{from, told, s.Now}
		g.foundSought(s)
		return
	}
	delete(g.founders, nodeOf(told.Identity))
	if g.State.Formed {
		if !g.join(s, told.Roll) || g.State.Roll[told.Seat] != told.Identity {
			return
		}
	} else if held, known := g.heard[told.Seat]; known && held.told.Identity > told.Identity {
		return
	}
	g.heard[told.Seat] = heardSeat{from, told, s.Now}
	if g.State.Formed || !g.State.Founder {
		return
	}
	for seat, identity := range g.State.Pledge {
		if g.pledged && identity == g.State.Identity && told.Roll[seat] == identity {
			// A group is founded that has this seat as it pledged: it was this pledge.
			g.form(s, g.State.Pledge)
			return
		}
	}
	// It was founded without this process.
	s.Note("seat-founded-without", 0, 0, g.config.Node)
	g.begin(s, false)
}

// join takes what is newer in another's roll, and has it synced before anything more is
// signed; false when this seat's own identity was replaced.
func (g *Seating) join(s *cue.Stage, roll map[string]string) bool {
	joined, changed := maps.Clone(g.State.Roll), false
	for seat, identity := range roll {
		if identity > joined[seat] {
			joined[seat], changed = identity, true
		}
	}
	if !changed {
		return true
	}
	if joined[g.Seat] != g.State.Identity {
		s.Note("seat-lost", 0, 0, g.Seat+" to "+nodeOf(joined[g.Seat]))
		g.host.Sit("")
		g.host.Forget(s)
		g.heard, g.grants, g.freeSince = map[string]heardSeat{}, map[string]script.SeatGrant{}, map[string]time.Duration{}
		g.begin(s, false)
		return false
	}
	g.write(s, joined, func(*cue.Stage) {})
	return true
}

// write syncs a newer roll, and tells it at once.
func (g *Seating) write(s *cue.Stage, roll map[string]string, then func(s *cue.Stage)) {
	for seat, identity := range roll {
		if g.State.Roll[seat] != identity {
			delete(g.heard, seat)
			s.Note("seat-replaced", 0, int64(editionOf(identity)), seat+" by "+nodeOf(identity))
		}
	}
	g.takeRoll(roll)
	g.rolling++
	identity := g.State.Identity
	g.host.Persist(s, g.State, func(s *cue.Stage, failure error) {
		if failure != nil || g.State.Identity != identity {
			return
		}
		g.rolling--
		g.nextAt = s.Now
		then(s)
	})
}

// foundSought goes on with a founding.
func (g *Seating) foundSought(s *cue.Stage) {
	if g.State.Formed || !g.State.Founder || g.writing || len(g.State.Pledge) > 0 && !g.pledged {
		return
	}
	round := int64(0)
	if len(g.State.Pledge) > 0 {
		alike, beaten := 1, false
		for _, identity := range g.State.Pledge {
			heard, known := g.founders[nodeOf(identity)]
			if !known || heard.told.Identity != identity || len(heard.told.Pledge) == 0 {
				continue
			}
			switch {
			case heard.told.Round == g.State.Round && maps.Equal(heard.told.Pledge, g.State.Pledge):
				alike++
			case heard.told.Round >= g.State.Round:
				beaten = true
			}
		}
		if alike == len(g.config.Seats) {
			g.form(s, g.State.Pledge)
			return
		}
		if !beaten {
			return
		}
		round = g.State.Round
	}
	identities := map[string]string{g.config.Node: g.State.Identity}
	for node, heard := range g.founders {
		if heard.told.Founder && g.fresh(s, heard) && node != g.config.Node {
			identities[node] = heard.told.Identity
		}
	}
	nodes := slices.Sorted(maps.Keys(identities))
	if listed := strings.Join(nodes, " "); listed != g.listed {
		g.listed, g.listedAt = listed, s.Now
	}
	if len(nodes) < len(g.config.Seats) || s.Now-g.listedAt < g.config.DigestEvery()*2 {
		return
	}
	roll := map[string]string{}
	for index, seat := range g.config.Seats {
		roll[seat] = identities[nodes[index]]
	}
	if !slices.Contains(nodes[:len(g.config.Seats)], g.config.Node) {
		return
	}
	highest, same := round, false
	for _, heard := range g.founders {
		if heard.told.Round > highest {
			highest, same = heard.told.Round, maps.Equal(heard.told.Pledge, roll)
		} else if heard.told.Round == highest && highest > round {
			same = same || maps.Equal(heard.told.Pledge, roll)
		}
	}
	if !same {
		highest++
	}
	g.State.Pledge, g.State.Round, g.pledged = roll, highest, false
	s.Note("seat-pledged", 0, highest, strings.Join(nodes, " "))
	g.host.Persist(s, g.State, func(s *cue.Stage, failure error) {
		if failure == nil && g.State.Round == highest && maps.Equal(roll, g.State.Pledge) {
			g.pledged, g.nextAt = true, s.Now
			g.foundSought(s)
		}
	})
}

// known joins the rolls of those that stand and were heard lately, and lists them.
func (g *Seating) known(s *cue.Stage) (map[string]string, []heardSeat) {
	roll, tellers := map[string]string{}, []heardSeat{}
	for _, seat := range g.config.Seats {
		if heard, known := g.heard[seat]; known && g.fresh(s, heard) {
			for listed, identity := range heard.told.Roll {
				roll[listed] = max(roll[listed], identity)
			}
		}
	}
	for _, seat := range g.config.Seats {
		if heard, known := g.heard[seat]; known && g.fresh(s, heard) && heard.told.Standing && roll[seat] == heard.told.Identity {
			tellers = append(tellers, heard)
		}
	}
	return roll, tellers
}

// seek looks for a seat, or holds on to the claim on one.
func (g *Seating) seek(s *cue.Stage) {
	if g.State.Formed || g.State.Founder || g.writing || g.host.Superseded() {
		return
	}
	roll, tellers := g.known(s)
	if g.State.Seat != "" {
		if roll[g.State.Seat] > g.State.Identity {
			g.abandon(s, "another came first")
		}
		return
	}
	if len(tellers) == 0 {
		return
	}
	wanted, open := "", []string{}
	for _, seat := range g.config.Seats {
		count := 0
		for _, heard := range tellers {
			if slices.Contains(heard.told.Free, seat) {
				count++
			}
		}
		if count < g.needed() {
			delete(g.freeSince, seat)
		} else if since, before := g.freeSince[seat]; !before {
			g.freeSince[seat] = s.Now
		} else if s.Now-since >= g.config.Tenure() {
			open = append(open, seat)
		}
		if nodeOf(roll[seat]) == g.config.Node {
			wanted = seat
		}
	}
	if wanted == "" && len(open) > 0 {
		wanted = open[s.Dice.IntN(len(open))]
	}
	if wanted == "" {
		return
	}
	g.State.Seat, g.State.Identity = wanted, identityOf(editionOf(roll[wanted])+1, s.Dice.Uint64(), s.Dice.Uint64(), g.config.Node)
	g.grants, g.freeSince = map[string]script.SeatGrant{}, map[string]time.Duration{}
	g.writing = true
	s.Note("seat-claimed", 0, int64(editionOf(g.State.Identity)), wanted)
	g.host.Persist(s, g.State, func(s *cue.Stage, failure error) {
		g.writing = failure != nil
		g.nextAt = s.Now
	})
}

// abandon drops a claim; what it left on some rolls is a seat recorded for this node,
// which is sought first.
func (g *Seating) abandon(s *cue.Stage, cause string) {
	s.Note("seat-claim-dropped", 0, 0, g.State.Seat+": "+cause)
	g.State.Seat, g.grants = "", map[string]script.SeatGrant{}
	g.writing = true
	g.host.Persist(s, g.State, func(s *cue.Stage, failure error) { g.writing = failure != nil })
}

func (g *Seating) hearClaimSought(s *cue.Stage, from string, claim script.SeatClaim) {
	holder, listed := g.State.Roll[claim.Seat]
	if !g.Standing() || g.rolling > 0 || !listed {
		return
	}
	switch {
	case claim.Identity == holder:
		g.grantSought(s, from, claim)
	case claim.Identity < holder, claim.Seat == g.Seat,
		nodeOf(claim.Identity) != nodeOf(holder) && !g.host.Gone(s, nodeOf(holder)):
		s.Send(from, script.SeatGrant{Group: g.Group, Seat: g.Seat, Identity: g.State.Identity, To: claim.Identity,
			Refused: true, Roll: maps.Clone(g.State.Roll), State: []byte{}})
	default:
		roll := maps.Clone(g.State.Roll)
		roll[claim.Seat] = claim.Identity
		g.write(s, roll, func(s *cue.Stage) { g.grantSought(s, from, claim) })
	}
}

func (g *Seating) grantSought(s *cue.Stage, to string, claim script.SeatClaim) {
	if g.Standing() && g.rolling == 0 && g.State.Roll[claim.Seat] == claim.Identity {
		s.Send(to, script.SeatGrant{Group: g.Group, Seat: g.Seat, Identity: g.State.Identity, To: claim.Identity,
			Roll: maps.Clone(g.State.Roll), State: g.host.StateForGrant()})
	}
}

func (g *Seating) hearGrantSought(s *cue.Stage, grant script.SeatGrant) {
	if grant.Refused {
		g.abandon(s, "refused by "+grant.Seat)
		return
	}
	g.grants[grant.Seat] = grant
	states := [][]byte{}
	for _, seat := range g.config.Seats {
		held, granted := g.grants[seat]
		if granted && maps.Equal(held.Roll, grant.Roll) && grant.Roll[seat] == held.Identity {
			states = append(states, held.State)
		}
	}
	if len(states) < g.needed() || grant.Roll[g.State.Seat] != g.State.Identity {
		return
	}
	g.Seat = g.State.Seat
	g.host.AbsorbGrants(s, states)
	g.State.Formed, g.State.Standing = true, true
	g.takeRoll(maps.Clone(grant.Roll))
	g.grants = map[string]script.SeatGrant{}
	g.stand(s, "seat-recovered", false)
}

// stand writes all down, and only then sits.
func (g *Seating) stand(s *cue.Stage, deed string, founded bool) {
	g.writing = true
	g.host.CompactNow(s, func(s *cue.Stage, failure error) {
		g.writing = failure != nil
		if failure == nil {
			s.Note(deed, 0, 0, g.Seat)
			if g.sought() {
				g.host.Sit(g.Seat)
				g.nextAt = s.Now
			}
			g.standUp(s, founded)
		}
	})
}
