// Voters that are found: processes with disks, links and a membership that the tests
// set by hand.
package quorum

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

const step = 25 * time.Millisecond

type frame struct {
	from, to string
	message  any
}

type fleet struct {
	c       *qt.C
	count   int64
	players map[string]*player // by address
	order   []string
	frames  []frame
	cuts    map[string]bool // addresses that no frame leaves or reaches
	parts   map[string]int  // addresses in different parts hear nothing of each other
	state   map[string]int64
	notes   []string
}

type player struct {
	fleet      *fleet
	node       string
	address    string
	up         bool
	env        *statemachine.Env
	quorum     *Quorum
	disk       *message.VoterState
	writes     []func()
	data       string // what a granter tells
	absorbed   []string
	forgotten  int
	superseded bool
	sat        string
	configure  func(cfg *settings.Settings) // over the common settings
}

func newFleet(c *qt.C, count int64) *fleet {
	return &fleet{c: c, count: count, players: map[string]*player{}, cuts: map[string]bool{}, state: map[string]int64{}}
}

func (t *fleet) join(nodeName, address string, found bool) *player {
	return t.joinConfigured(nodeName, address, found, nil)
}

func (t *fleet) joinConfigured(nodeName, address string, found bool, configure func(cfg *settings.Settings)) *player {
	p := &player{fleet: t, node: nodeName, address: address, configure: configure}
	t.players[address] = p
	t.order = append(t.order, address)
	t.state[nodeName] = message.Alive
	p.boot(found)
	return p
}

func (p *player) boot(found bool) {
	cfg := settings.Default()
	cfg.Node, cfg.VoterCount, cfg.Voters, cfg.Found = p.node, p.fleet.count, settings.VoterNames(p.fleet.count), found
	cfg.Address = p.address
	if p.configure != nil {
		p.configure(&cfg)
	}
	state := message.VoterState{}
	if p.disk != nil {
		state = copyState(*p.disk)
	}
	p.up, p.writes, p.env = true, nil, statemachine.NewEnv(uint64(len(p.fleet.notes)*100+len(p.address)+int(p.address[len(p.address)-1])))
	p.quorum = New("config-log", cfg, p, state, func(*statemachine.Env, bool) {})
}

func copyState(state message.VoterState) message.VoterState {
	state.Proposal, state.MemberList = maps.Clone(state.Proposal), maps.Clone(state.MemberList)
	return state
}

func (p *player) Persist(s *statemachine.Env, record any, then storage.SyncCallback) {
	state := copyState(p.quorum.State)
	p.writes = append(p.writes, func() {
		p.disk = &state
		then(p.env, nil)
	})
}

func (p *player) WriteSnapshot(s *statemachine.Env, then storage.SyncCallback) {
	p.Persist(s, nil, then)
}
func (p *player) Failure() error              { return nil }
func (p *player) WriteLatency() time.Duration { return 0 }
func (p *player) StateForGrant() []byte       { return []byte(p.data) }
func (p *player) AnnounceVoter(voter string)  { p.sat = voter }
func (p *player) Superseded() bool            { return p.superseded }

func (p *player) DiscardState(*statemachine.Env) {
	p.forgotten++
	p.data = ""
}

func (p *player) MergeGrantedStates(_ *statemachine.Env, states [][]byte) {
	for _, state := range states {
		p.absorbed = append(p.absorbed, string(state))
	}
}

func (p *player) NodeGone(_ *statemachine.Env, nodeName string) bool {
	return p.fleet.state[nodeName] >= message.Dead
}

func (p *player) Peers() []message.Member {
	peers := []message.Member{}
	for _, address := range p.fleet.order {
		if address != p.address {
			peers = append(peers, message.Member{Name: "config-log/" + p.fleet.players[address].node, Address: address})
		}
	}
	return peers
}

// run plays some time: ticks, frames, then writes.
func (t *fleet) run(length time.Duration) {
	for range int(length / step) {
		for _, address := range t.order {
			if p := t.players[address]; p.up {
				p.env.Now += step
				p.quorum.Tick(p.env)
			}
		}
		for range 4 {
			t.deliver()
		}
	}
}

func (t *fleet) deliver() {
	for _, address := range t.order {
		p := t.players[address]
		writes := p.writes
		p.writes = nil
		for _, write := range writes {
			if p.up {
				write()
			}
		}
		for _, effect := range p.env.Drain() {
			switch done := effect.(type) {
			case statemachine.Send:
				t.frames = append(t.frames, frame{p.address, done.To, done.Message})
			case statemachine.Event:
				t.notes = append(t.notes, p.node+" "+done.EventName)
			}
		}
	}
	frames := t.frames
	t.frames = nil
	for _, sent := range frames {
		to, known := t.players[sent.to]
		if known && to.up && t.players[sent.from].up && !t.cuts[sent.from] && !t.cuts[sent.to] && t.parts[sent.from] == t.parts[sent.to] {
			to.quorum.Handle(to.env, sent.from, sent.message)
		}
	}
}

func (t *fleet) kill(p *player, loseDisk bool) {
	p.up = false
	if loseDisk {
		p.disk = nil
	}
}

func (t *fleet) voters() map[string]string {
	held := map[string]string{}
	for _, address := range t.order {
		if p := t.players[address]; p.up && p.quorum.Voting() {
			held[p.quorum.Voter] = held[p.quorum.Voter] + p.node
		}
	}
	return held
}

func founded(c *qt.C, machines int, count int64) (*fleet, []*player) {
	t := newFleet(c, count)
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
		hollow, players := founded(c, made.machines, made.count)
		c.Check(hollow.voters(), qt.DeepEquals, made.wanted, qt.Commentf("%d of %d", made.machines, made.count))
		if made.machines > int(made.count) {
			last := players[made.machines-1]
			hollow.run(5 * time.Second)
			c.Check(last.quorum.Standby(last.env), qt.IsTrue)
			c.Check(last.quorum.Signature(), qt.Equals, "")
			c.Check(last.quorum.Voter, qt.Equals, "")
		}
	}
}

// Four founders for three voters hear of each other in any order, over cuts, and are
// killed in between: one group, and in the end always one.
func TestFoundingIsOnce(t *testing.T) {
	c := qt.New(t)
	for seed := range 200 {
		hollow := newFleet(c, 3)
		players := []*player{}
		for number := range 4 {
			players = append(players, hollow.join(fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1), true))
		}
		random := statemachine.NewEnv(uint64(seed)).Random
		for range 30 {
			clear(hollow.cuts)
			for _, p := range players {
				hollow.cuts[p.address] = random.IntN(3) == 0
			}
			if chosen := players[random.IntN(4)]; random.IntN(3) == 0 {
				hollow.kill(chosen, false)
				chosen.boot(false)
			}
			hollow.run(time.Duration(1+random.IntN(10)) * 2 * step)
		}
		clear(hollow.cuts)
		hollow.run(3 * time.Second)
		first := map[string]string(nil)
		for _, p := range players {
			if !p.quorum.State.Formed {
				continue
			}
			if first == nil {
				first = p.quorum.State.MemberList
			}
			c.Assert(p.quorum.State.MemberList, qt.DeepEquals, first, qt.Commentf("seed %d", seed))
		}
		c.Assert(hollow.voters(), qt.HasLen, 3, qt.Commentf("seed %d: %v", seed, hollow.notes))
	}
}

func TestWipedFindsItsVoterByName(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		hollow, players := founded(c, int(count), count)
		for _, p := range players {
			p.data = "kept by " + p.node
		}
		old := players[1].quorum.State.Identity
		hollow.kill(players[1], true)
		hollow.run(time.Second)
		players[1].boot(false)
		hollow.run(time.Second)
		c.Assert(hollow.voters()["2"], qt.Equals, "n2")
		c.Assert(players[1].quorum.State.Identity, qt.Not(qt.Equals), old)
		c.Assert(len(players[1].absorbed) >= int(count)/2+1, qt.IsTrue)
		c.Assert(players[1].sat, qt.Equals, "2")
		hollow.run(time.Second)
		for _, p := range players {
			c.Assert(p.quorum.State.MemberList, qt.DeepEquals, players[0].quorum.State.MemberList)
		}
	}
}

func TestNewcomerTakesOnlyADeadVoter(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		hollow, players := founded(c, int(count), count)
		newcomer := hollow.join("fresh", "b1", false)
		before := maps.Clone(players[0].quorum.State.MemberList)
		for _, state := range []int64{message.Alive, message.Suspect} {
			hollow.state["n3"] = state
			hollow.run(6 * time.Second)
			c.Assert(newcomer.quorum.Voting(), qt.IsFalse)
			c.Assert(players[0].quorum.State.MemberList, qt.DeepEquals, before)
		}
		hollow.kill(players[2], false)
		hollow.state["n3"] = message.Dead
		hollow.run(4 * time.Second)
		c.Assert(hollow.voters()["3"], qt.Equals, "fresh")
		c.Assert(hollow.voters(), qt.HasLen, int(count))

		// The old one comes back with its disk: nobody takes its word, and it is a spare.
		hollow.state["n3"] = message.Alive
		players[2].data = "old"
		players[2].boot(false)
		c.Assert(players[2].quorum.Voting(), qt.IsTrue)
		c.Assert(players[0].quorum.Accepts("3", players[2].quorum.Signature()), qt.IsFalse)
		c.Assert(players[2].quorum.Accepts("1", players[0].quorum.Signature()), qt.IsFalse)
		hollow.run(4 * time.Second)
		c.Assert(players[2].quorum.Voting(), qt.IsFalse)
		c.Assert(players[2].quorum.Removed, qt.IsFalse)
		c.Assert(players[2].forgotten, qt.Equals, 1)
		c.Assert(players[2].quorum.Standby(players[2].env), qt.IsTrue)
		c.Assert(hollow.voters()["3"], qt.Equals, "fresh")

		// And takes the next voter that falls free.
		hollow.kill(players[0], true)
		hollow.state["n1"] = message.Left
		hollow.run(5 * time.Second)
		c.Assert(hollow.voters()["1"], qt.Equals, "n3")
	}
}

// A claim sent straight to the granters, past the newcomer's own judgement.
func TestClaimOnALivingVoterIsRefused(t *testing.T) {
	c := qt.New(t)
	for _, state := range []int64{message.Alive, message.Suspect} {
		hollow, players := founded(c, 3, 3)
		hollow.state["n3"] = state
		claim := message.VoterClaim{Group: "config-log", Voter: "3", Identity: NewIdentity(7, 1, 2, "thief")}
		players[0].quorum.Handle(players[0].env, "b9", claim)
		refused := false
		for _, effect := range players[0].env.Drain() {
			if sent, isSend := effect.(statemachine.Send); isSend {
				grant, isGrant := sent.Message.(message.VoterGrant)
				refused = refused || isGrant && grant.Refused
			}
		}
		c.Assert(refused, qt.IsTrue)
		c.Assert(nodeOf(players[0].quorum.State.MemberList["3"]), qt.Equals, "n3")
	}
}

// A claim waits while a granter is away, and is made whole when it is back.
func TestHalfMadeClaimWaits(t *testing.T) {
	c := qt.New(t)
	hollow, players := founded(c, 3, 3)
	hollow.kill(players[2], false)
	hollow.state["n3"] = message.Dead
	newcomer := hollow.join("fresh", "b1", false)
	for range 200 {
		hollow.run(step)
		if nodeOf(players[0].quorum.State.MemberList["3"]) == "fresh" || newcomer.quorum.State.Voter != "" {
			break
		}
	}
	c.Assert(newcomer.quorum.State.Voter, qt.Equals, "3")
	hollow.kill(players[1], false)
	hollow.run(5 * time.Second)
	c.Assert(newcomer.quorum.Voting(), qt.IsFalse)
	players[1].boot(false)
	hollow.run(time.Second)
	c.Assert(hollow.voters()["3"], qt.Equals, "fresh")
	c.Assert(hollow.voters(), qt.HasLen, 3)
}

// Two newcomers after one voter, and two after two voters.
func TestRivalNewcomers(t *testing.T) {
	c := qt.New(t)
	for _, count := range []int64{3, 5} {
		for seed := range 10 {
			hollow, players := founded(c, int(count), count)
			gone := int(count) / 2
			for index := range gone {
				hollow.kill(players[index], true)
				hollow.state[players[index].node] = message.Dead
			}
			for number := range gone + 1 {
				hollow.join(fmt.Sprintf("fresh%d", number), fmt.Sprintf("b%d", number+seed*7), false)
			}
			hollow.run(12 * time.Second)
			c.Assert(hollow.voters(), qt.HasLen, int(count), qt.Commentf("%d voters, seed %d: %v", count, seed, hollow.notes))
			names := slices.Sorted(maps.Values(hollow.voters()))
			c.Assert(slices.Compact(names), qt.HasLen, int(count))
		}
	}
}

// Five voters: 1 said yes and was then lost; 3, 4 and 5 let another take its voter; the
// holder, 2, hears of that from none of them. The old yes must not count with new ones.
func TestOldAckDoesNotCountWithNewOnes(t *testing.T) {
	c := qt.New(t)
	hollow, players := founded(c, 5, 5)
	holder := players[1].quorum
	acks := map[string]string{"1": players[0].quorum.Signature(), "2": holder.Signature()}
	c.Assert(holder.Majority(acks), qt.IsFalse)
	hollow.kill(players[0], true)
	hollow.state["n1"] = message.Dead
	hollow.cuts["a2"] = true
	hollow.join("fresh", "b1", false)
	hollow.run(5 * time.Second)
	c.Assert(hollow.voters()["1"], qt.Equals, "fresh")
	acks["3"] = players[2].quorum.Signature()
	c.Assert(holder.Majority(acks), qt.IsFalse, qt.Commentf("1's old yes, 2's own and 3's of the newer member list"))
	acks["4"] = players[3].quorum.Signature()
	c.Assert(holder.Majority(acks), qt.IsFalse)
	c.Assert(players[2].quorum.Accepts("2", acks["2"]), qt.IsFalse, qt.Commentf("what the holder asks on the older member list is not answered"))

	hollow.cuts["a2"] = false
	hollow.run(time.Second)
	c.Assert(holder.State.MemberList, qt.DeepEquals, players[2].quorum.State.MemberList)
	c.Assert(holder.Majority(acks), qt.IsTrue, qt.Commentf("2, 3 and 4 on one member list"))
	delete(acks, "4")
	c.Assert(holder.Majority(acks), qt.IsFalse, qt.Commentf("1's old yes is void"))
}

// While a newer member list is being written nothing is signed; after a crash in between the
// older one stands again and nothing of the newer was relied on.
func TestNothingIsSignedWhileAMemberListIsWritten(t *testing.T) {
	c := qt.New(t)
	_, players := founded(c, 3, 3)
	p := players[0]
	memberList := maps.Clone(p.quorum.State.MemberList)
	memberList["3"] = NewIdentity(1, 5, 6, "fresh")
	old := p.quorum.Signature()
	p.quorum.Handle(p.env, "a2", message.VoterStatus{Group: "config-log", Voter: "2", Identity: memberList["2"], Formed: true, Voting: true, MemberList: memberList})
	c.Assert(p.quorum.Signature(), qt.Equals, "")
	c.Assert(p.quorum.Accepts("2", memberList["2"]+signatureMark+digestOf(memberList)), qt.IsFalse)
	for _, write := range p.writes {
		write()
	}
	c.Assert(p.quorum.Signature(), qt.Not(qt.Equals), old)
	c.Assert(p.quorum.Accepts("2", memberList["2"]+signatureMark+digestOf(memberList)), qt.IsTrue)
	c.Assert(p.disk.MemberList, qt.DeepEquals, memberList)
}

func TestSupersededNameClaimsNothing(t *testing.T) {
	c := qt.New(t)
	hollow, players := founded(c, 3, 3)
	hollow.kill(players[2], true)
	twin := hollow.join("n3", "b3", false)
	twin.superseded = true
	hollow.run(4 * time.Second)
	c.Assert(twin.quorum.Voting(), qt.IsFalse)
	c.Assert(nodeOf(players[0].quorum.State.MemberList["3"]), qt.Equals, "n3")
	c.Assert(editionOf(players[0].quorum.State.MemberList["3"]), qt.Equals, uint64(0))
}

// Two grants on two member lists are not one decision.
func TestGrantsOfTwoMemberListsDoNotAddUp(t *testing.T) {
	c := qt.New(t)
	hollow, players := founded(c, 3, 3)
	hollow.kill(players[2], true)
	players[2].boot(false)
	newcomer := players[2].quorum
	for newcomer.State.Voter == "" || newcomer.writing {
		hollow.run(step)
		c.Assert(newcomer.Voting(), qt.IsFalse)
	}
	memberList := maps.Clone(players[0].quorum.State.MemberList)
	memberList["3"] = newcomer.State.Identity
	other := maps.Clone(memberList)
	other["2"] = NewIdentity(3, 1, 1, "n2")
	grant := func(voter string, memberList map[string]string) {
		newcomer.Handle(players[2].env, "a"+voter, message.VoterGrant{Group: "config-log", Voter: voter, Identity: memberList[voter], To: newcomer.State.Identity, MemberList: memberList, State: []byte{}})
	}
	newcomer.grants = map[string]message.VoterGrant{}
	grant("1", other)
	grant("2", memberList)
	c.Assert(newcomer.State.Formed, qt.IsFalse)
	grant("1", memberList)
	c.Assert(newcomer.State.Formed, qt.IsTrue)
}
