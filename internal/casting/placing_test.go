// Seats that are found: processes with disks, links and a membership that the tests
// set by hand.
package casting

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/cue"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/wardrobe"
)

const step = 25 * time.Millisecond

type frame struct {
	from, to string
	message  any
}

type troupe struct {
	c       *qt.C
	count   int64
	players map[string]*player // by address
	order   []string
	frames  []frame
	cuts    map[string]bool // addresses that no frame leaves or reaches
	state   map[string]int64
	notes   []string
}

type player struct {
	troupe     *troupe
	node       string
	address    string
	up         bool
	stage      *cue.Stage
	seating    *Seating
	disk       *script.SeatState
	writes     []func()
	data       string // what a granter tells
	absorbed   []string
	forgotten  int
	superseded bool
	sat        string
}

func newTroupe(c *qt.C, count int64) *troupe {
	return &troupe{c: c, count: count, players: map[string]*player{}, cuts: map[string]bool{}, state: map[string]int64{}}
}

func (t *troupe) join(node, address string, found bool) *player {
	p := &player{troupe: t, node: node, address: address}
	t.players[address] = p
	t.order = append(t.order, address)
	t.state[node] = script.Alive
	p.boot(found)
	return p
}

func (p *player) boot(found bool) {
	config := playbill.Default()
	config.Node, config.SeatCount, config.Seats, config.Found = p.node, p.troupe.count, playbill.SeatNames(p.troupe.count), found
	state := script.SeatState{}
	if p.disk != nil {
		state = copyState(*p.disk)
	}
	p.up, p.writes, p.stage = true, nil, cue.NewStage(uint64(len(p.troupe.notes)*100+len(p.address)+int(p.address[len(p.address)-1])))
	p.seating = NewSeating("book", config, p, state, func(*cue.Stage, bool) {})
}

func copyState(state script.SeatState) script.SeatState {
	state.Pledge, state.Roll = maps.Clone(state.Pledge), maps.Clone(state.Roll)
	return state
}

func (p *player) Persist(s *cue.Stage, record any, then wardrobe.Then) {
	state := copyState(p.seating.State)
	p.writes = append(p.writes, func() {
		p.disk = &state
		then(p.stage, nil)
	})
}

func (p *player) CompactNow(s *cue.Stage, then wardrobe.Then) { p.Persist(s, nil, then) }
func (p *player) Failure() error                              { return nil }
func (p *player) SyncTime() time.Duration                     { return 0 }
func (p *player) StateForGrant() []byte                       { return []byte(p.data) }
func (p *player) Sit(seat string)                             { p.sat = seat }
func (p *player) Superseded() bool                            { return p.superseded }

func (p *player) Forget(*cue.Stage) {
	p.forgotten++
	p.data = ""
}

func (p *player) AbsorbGrants(_ *cue.Stage, states [][]byte) {
	for _, state := range states {
		p.absorbed = append(p.absorbed, string(state))
	}
}

func (p *player) Gone(_ *cue.Stage, node string) bool { return p.troupe.state[node] >= script.Dead }

func (p *player) Peers() []script.Member {
	peers := []script.Member{}
	for _, address := range p.troupe.order {
		if address != p.address {
			peers = append(peers, script.Member{Name: "book/" + p.troupe.players[address].node, Address: address})
		}
	}
	return peers
}

// run plays some time: ticks, frames, then writes.
func (t *troupe) run(length time.Duration) {
	for range int(length / step) {
		for _, address := range t.order {
			if p := t.players[address]; p.up {
				p.stage.Now += step
				p.seating.Tick(p.stage)
			}
		}
		for range 4 {
			t.deliver()
		}
	}
}

func (t *troupe) deliver() {
	for _, address := range t.order {
		p := t.players[address]
		writes := p.writes
		p.writes = nil
		for _, write := range writes {
			if p.up {
				write()
			}
		}
		for _, effect := range p.stage.Drain() {
			switch done := effect.(type) {
			case cue.Send:
				t.frames = append(t.frames, frame{p.address, done.To, done.Message})
			case cue.Note:
				t.notes = append(t.notes, p.node+" "+done.Deed)
			}
		}
	}
	frames := t.frames
	t.frames = nil
	for _, sent := range frames {
		to, known := t.players[sent.to]
		if known && to.up && t.players[sent.from].up && !t.cuts[sent.from] && !t.cuts[sent.to] {
			to.seating.Hear(to.stage, sent.from, sent.message)
		}
	}
}

func (t *troupe) kill(p *player, loseDisk bool) {
	p.up = false
	if loseDisk {
		p.disk = nil
	}
}

func (t *troupe) seats() map[string]string {
	held := map[string]string{}
	for _, address := range t.order {
		if p := t.players[address]; p.up && p.seating.Standing() {
			held[p.seating.Seat] = held[p.seating.Seat] + p.node
		}
	}
	return held
}

func founded(c *qt.C, machines int, count int64) (*troupe, []*player) {
	t := newTroupe(c, count)
	players := []*player{}
	for number := range machines {
		players = append(players, t.join(fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1), true))
	}
	t.run(time.Second)
	return t, players
}

func TestFounding(t *testing.T) {
	c := qt.New(t)
	for _, made := range []struct {
		machines int
		count    int64
		wanted   map[string]string
	}{
		{1, 1, map[string]string{"1": "n1"}},
		{2, 3, map[string]string{}},
		{3, 3, map[string]string{"1": "n1", "2": "n2", "3": "n3"}},
		{4, 3, map[string]string{"1": "n1", "2": "n2", "3": "n3"}},
		{5, 5, map[string]string{"1": "n1", "2": "n2", "3": "n3", "4": "n4", "5": "n5"}},
	} {
		troupe, players := founded(c, made.machines, made.count)
		c.Check(troupe.seats(), qt.DeepEquals, made.wanted, qt.Commentf("%d of %d", made.machines, made.count))
		if made.machines > int(made.count) {
			last := players[made.machines-1]
			troupe.run(5 * time.Second)
			c.Check(last.seating.Spare(last.stage), qt.IsTrue)
			c.Check(last.seating.Stamp(), qt.Equals, "")
			c.Check(last.seating.Seat, qt.Equals, "")
		}
	}
}

// Four founders for three seats hear of each other in any order, over cuts, and are
// killed in between: one group, and in the end always one.
func TestFoundingIsOnce(t *testing.T) {
	c := qt.New(t)
	for seed := range 200 {
		troupe := newTroupe(c, 3)
		players := []*player{}
		for number := range 4 {
			players = append(players, troupe.join(fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1), true))
		}
		dice := cue.NewStage(uint64(seed)).Dice
		for range 30 {
			clear(troupe.cuts)
			for _, p := range players {
				troupe.cuts[p.address] = dice.IntN(3) == 0
			}
			if chosen := players[dice.IntN(4)]; dice.IntN(3) == 0 {
				troupe.kill(chosen, false)
				chosen.boot(false)
			}
			troupe.run(time.Duration(1+dice.IntN(10)) * 2 * step)
		}
		clear(troupe.cuts)
		troupe.run(3 * time.Second)
		first := map[string]string(nil)
		for _, p := range players {
			if !p.seating.State.Formed {
				continue
			}
			if first == nil {
				first = p.seating.State.Roll
			}
			c.Assert(p.seating.State.Roll, qt.DeepEquals, first, qt.Commentf("seed %d", seed))
		}
		c.Assert(troupe.seats(), qt.HasLen, 3, qt.Commentf("seed %d: %v", seed, troupe.notes))
	}
}

func TestWipedFindsItsSeatByName(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		troupe, players := founded(c, int(count), count)
		for _, p := range players {
			p.data = "kept by " + p.node
		}
		old := players[1].seating.State.Identity
		troupe.kill(players[1], true)
		troupe.run(time.Second)
		players[1].boot(false)
		troupe.run(time.Second)
		c.Assert(troupe.seats()["2"], qt.Equals, "n2")
		c.Assert(players[1].seating.State.Identity, qt.Not(qt.Equals), old)
		c.Assert(len(players[1].absorbed) >= int(count)/2+1, qt.IsTrue)
		c.Assert(players[1].sat, qt.Equals, "2")
		troupe.run(time.Second)
		for _, p := range players {
			c.Assert(p.seating.State.Roll, qt.DeepEquals, players[0].seating.State.Roll)
		}
	}
}

func TestNewcomerTakesOnlyADeadSeat(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		troupe, players := founded(c, int(count), count)
		newcomer := troupe.join("fresh", "b1", false)
		before := maps.Clone(players[0].seating.State.Roll)
		for _, state := range []int64{script.Alive, script.Suspect} {
			troupe.state["n3"] = state
			troupe.run(6 * time.Second)
			c.Assert(newcomer.seating.Standing(), qt.IsFalse)
			c.Assert(players[0].seating.State.Roll, qt.DeepEquals, before)
		}
		troupe.kill(players[2], false)
		troupe.state["n3"] = script.Dead
		troupe.run(4 * time.Second)
		c.Assert(troupe.seats()["3"], qt.Equals, "fresh")
		c.Assert(troupe.seats(), qt.HasLen, int(count))

		// The old one comes back with its disk: nobody takes its word, and it is a spare.
		troupe.state["n3"] = script.Alive
		players[2].data = "old"
		players[2].boot(false)
		c.Assert(players[2].seating.Standing(), qt.IsTrue)
		c.Assert(players[0].seating.Holds("3", players[2].seating.Stamp()), qt.IsFalse)
		c.Assert(players[2].seating.Holds("1", players[0].seating.Stamp()), qt.IsFalse)
		troupe.run(4 * time.Second)
		c.Assert(players[2].seating.Standing(), qt.IsFalse)
		c.Assert(players[2].seating.ShutOut, qt.IsFalse)
		c.Assert(players[2].forgotten, qt.Equals, 1)
		c.Assert(players[2].seating.Spare(players[2].stage), qt.IsTrue)
		c.Assert(troupe.seats()["3"], qt.Equals, "fresh")

		// And takes the next seat that falls free.
		troupe.kill(players[0], true)
		troupe.state["n1"] = script.Left
		troupe.run(5 * time.Second)
		c.Assert(troupe.seats()["1"], qt.Equals, "n3")
	}
}

// A claim sent straight to the granters, past the newcomer's own judgement.
func TestClaimOnALivingSeatIsRefused(t *testing.T) {
	c := qt.New(t)
	for _, state := range []int64{script.Alive, script.Suspect} {
		troupe, players := founded(c, 3, 3)
		troupe.state["n3"] = state
		claim := script.SeatClaim{Group: "book", Seat: "3", Identity: identityOf(7, 1, 2, "thief")}
		players[0].seating.Hear(players[0].stage, "b9", claim)
		refused := false
		for _, effect := range players[0].stage.Drain() {
			if sent, isSend := effect.(cue.Send); isSend {
				grant, isGrant := sent.Message.(script.SeatGrant)
				refused = refused || isGrant && grant.Refused
			}
		}
		c.Assert(refused, qt.IsTrue)
		c.Assert(nodeOf(players[0].seating.State.Roll["3"]), qt.Equals, "n3")
	}
}

// A claim waits while a granter is away, and is made whole when it is back.
func TestHalfMadeClaimWaits(t *testing.T) {
	c := qt.New(t)
	troupe, players := founded(c, 3, 3)
	troupe.kill(players[2], false)
	troupe.state["n3"] = script.Dead
	newcomer := troupe.join("fresh", "b1", false)
	for range 200 {
		troupe.run(step)
		if nodeOf(players[0].seating.State.Roll["3"]) == "fresh" || newcomer.seating.State.Seat != "" {
			break
		}
	}
	c.Assert(newcomer.seating.State.Seat, qt.Equals, "3")
	troupe.kill(players[1], false)
	troupe.run(5 * time.Second)
	c.Assert(newcomer.seating.Standing(), qt.IsFalse)
	players[1].boot(false)
	troupe.run(time.Second)
	c.Assert(troupe.seats()["3"], qt.Equals, "fresh")
	c.Assert(troupe.seats(), qt.HasLen, 3)
}

// Two newcomers after one seat, and two after two seats.
func TestRivalNewcomers(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		for seed := range 10 {
			troupe, players := founded(c, int(count), count)
			gone := int(count) / 2
			for index := range gone {
				troupe.kill(players[index], true)
				troupe.state[players[index].node] = script.Dead
			}
			for number := range gone + 1 {
				troupe.join(fmt.Sprintf("fresh%d", number), fmt.Sprintf("b%d", number+seed*7), false)
			}
			troupe.run(12 * time.Second)
			c.Assert(troupe.seats(), qt.HasLen, int(count), qt.Commentf("%d seats, seed %d: %v", count, seed, troupe.notes))
			names := slices.Sorted(maps.Values(troupe.seats()))
			c.Assert(slices.Compact(names), qt.HasLen, int(count))
		}
	}
}

// Five seats: 1 said yes and was then lost; 3, 4 and 5 let another take its seat; the
// holder, 2, hears of that from none of them. The old yes must not count with new ones.
func TestOldAckDoesNotCountWithNewOnes(t *testing.T) {
	c := qt.New(t)
	troupe, players := founded(c, 5, 5)
	holder := players[1].seating
	acks := map[string]string{"1": players[0].seating.Stamp(), "2": holder.Stamp()}
	c.Assert(holder.Majority(acks), qt.IsFalse)
	troupe.kill(players[0], true)
	troupe.state["n1"] = script.Dead
	troupe.cuts["a2"] = true
	troupe.join("fresh", "b1", false)
	troupe.run(5 * time.Second)
	c.Assert(troupe.seats()["1"], qt.Equals, "fresh")
	acks["3"] = players[2].seating.Stamp()
	c.Assert(holder.Majority(acks), qt.IsFalse, qt.Commentf("1's old yes, 2's own and 3's of the newer roll"))
	acks["4"] = players[3].seating.Stamp()
	c.Assert(holder.Majority(acks), qt.IsFalse)
	c.Assert(players[2].seating.Holds("2", acks["2"]), qt.IsFalse, qt.Commentf("what the holder asks on the older roll is not answered"))

	troupe.cuts["a2"] = false
	troupe.run(time.Second)
	c.Assert(holder.State.Roll, qt.DeepEquals, players[2].seating.State.Roll)
	c.Assert(holder.Majority(acks), qt.IsTrue, qt.Commentf("2, 3 and 4 on one roll"))
	delete(acks, "4")
	c.Assert(holder.Majority(acks), qt.IsFalse, qt.Commentf("1's old yes is void"))
}

// While a newer roll is being written nothing is signed; after a crash in between the
// older one stands again and nothing of the newer was relied on.
func TestNothingIsSignedWhileARollIsWritten(t *testing.T) {
	c := qt.New(t)
	_, players := founded(c, 3, 3)
	p := players[0]
	roll := maps.Clone(p.seating.State.Roll)
	roll["3"] = identityOf(1, 5, 6, "fresh")
	old := p.seating.Stamp()
	p.seating.Hear(p.stage, "a2", script.SeatTold{Group: "book", Seat: "2", Identity: roll["2"], Formed: true, Standing: true, Roll: roll})
	c.Assert(p.seating.Stamp(), qt.Equals, "")
	c.Assert(p.seating.Holds("2", roll["2"]+stampMark+digestOf(roll)), qt.IsFalse)
	for _, write := range p.writes {
		write()
	}
	c.Assert(p.seating.Stamp(), qt.Not(qt.Equals), old)
	c.Assert(p.seating.Holds("2", roll["2"]+stampMark+digestOf(roll)), qt.IsTrue)
	c.Assert(p.disk.Roll, qt.DeepEquals, roll)
}

func TestSupersededNameClaimsNothing(t *testing.T) {
	c := qt.New(t)
	troupe, players := founded(c, 3, 3)
	troupe.kill(players[2], true)
	twin := troupe.join("n3", "b3", false)
	twin.superseded = true
	troupe.run(4 * time.Second)
	c.Assert(twin.seating.Standing(), qt.IsFalse)
	c.Assert(nodeOf(players[0].seating.State.Roll["3"]), qt.Equals, "n3")
	c.Assert(editionOf(players[0].seating.State.Roll["3"]), qt.Equals, uint64(0))
}

// Two grants on two rolls are not one decision.
func TestGrantsOfTwoRollsDoNotAddUp(t *testing.T) {
	c := qt.New(t)
	troupe, players := founded(c, 3, 3)
	troupe.kill(players[2], true)
	players[2].boot(false)
	newcomer := players[2].seating
	for newcomer.State.Seat == "" || newcomer.writing {
		troupe.run(step)
		c.Assert(newcomer.Standing(), qt.IsFalse)
	}
	roll := maps.Clone(players[0].seating.State.Roll)
	roll["3"] = newcomer.State.Identity
	other := maps.Clone(roll)
	other["2"] = identityOf(3, 1, 1, "n2")
	grant := func(seat string, roll map[string]string) {
		newcomer.Hear(players[2].stage, "a"+seat, script.SeatGrant{Group: "book", Seat: seat, Identity: roll[seat], To: newcomer.State.Identity, Roll: roll, State: []byte{}})
	}
	newcomer.grants = map[string]script.SeatGrant{}
	grant("1", other)
	grant("2", roll)
	c.Assert(newcomer.State.Formed, qt.IsFalse)
	grant("1", roll)
	c.Assert(newcomer.State.Formed, qt.IsTrue)
}
