// Tenures over a restart: three seats with disks, whose clocks and links the tests hold.
package casting

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/cue"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/wardrobe"
)

// voter is a seat with its tenures; the rest of a core program is not here.
type voter struct {
	group   *electorate
	seat    string
	address string
	config  playbill.Config
	up      bool
	stage   *cue.Stage
	seating *Seating
	tenures *Tenures
	state   script.SeatState
	votes   []script.Vote // as the disk holds them
	writes  []func()
}

type electorate struct {
	voters []*voter
	taken  []string // who took the tag, in order
}

const tag = "d"

func newElectorate(sought bool) *electorate {
	e := &electorate{}
	roll := map[string]string{}
	for index, seat := range []string{"1", "2", "3"} {
		identity := "identity of " + seat
		if sought {
			identity = identityOf(0, uint64(index), 1, "n"+seat)
		}
		roll[seat] = identity
	}
	for index, seat := range []string{"1", "2", "3"} {
		config := playbill.Default()
		config.Seats, config.Districts = playbill.SeatNames(3), []string{tag}
		if sought {
			config.SeatCount = 3
		} else {
			config.Seat = seat
		}
		v := &voter{group: e, seat: seat, address: "a" + seat, config: config, stage: cue.NewStage(uint64(index + 1))}
		v.state = script.SeatState{Identity: roll[seat], Formed: true, Standing: true, Seat: seat, Roll: roll}
		e.voters = append(e.voters, v)
		v.boot()
	}
	return e
}

func (v *voter) boot() {
	v.up, v.writes = true, nil
	v.seating = NewSeating("book", v.config, v, copyState(v.state), func(s *cue.Stage, fresh bool) { v.tenures.StandUp(s, fresh) })
	v.tenures = NewTenures(v.config, v, v.seating, []string{tag}, v.votes, func(string) bool { return true },
		func(*cue.Stage, string, int64) { v.group.taken = append(v.group.taken, v.seat) }, func(*cue.Stage, string, int64) {})
}

func (v *voter) Persist(_ *cue.Stage, record any, then wardrobe.Then) {
	v.writes = append(v.writes, func() {
		if vote, isVote := record.(script.Vote); isVote {
			v.votes = []script.Vote{vote}
		}
		then(v.stage, nil)
	})
}

func (v *voter) CompactNow(s *cue.Stage, then wardrobe.Then) { v.Persist(s, nil, then) }
func (v *voter) Failure() error                              { return nil }
func (v *voter) SyncTime() time.Duration                     { return 0 }
func (v *voter) StateForGrant() []byte                       { return nil }
func (v *voter) AbsorbGrants(*cue.Stage, [][]byte)           {}
func (v *voter) Sit(string)                                  {}
func (v *voter) Forget(s *cue.Stage)                         { v.tenures.Forget(s) }
func (v *voter) Gone(*cue.Stage, string) bool                { return false }
func (v *voter) Superseded() bool                            { return false }

func (v *voter) Peers() []script.Member {
	peers := []script.Member{}
	for _, other := range v.group.voters {
		if other != v {
			peers = append(peers, script.Member{Name: "book/n" + other.seat, Seat: other.seat, Address: other.address})
		}
	}
	return peers
}

// run plays some time, or until somebody holds the tag where that is wanted.
func (e *electorate) run(length time.Duration, held bool) time.Duration {
	const step = 5 * time.Millisecond
	for played := time.Duration(0); played < length; played += step {
		if held && e.holder() != "" {
			return played
		}
		frames := []frame{}
		for _, v := range e.voters {
			v.stage.Now += step
			if !v.up {
				continue
			}
			v.tenures.Tick(v.stage)
			writes := v.writes
			v.writes = nil
			for _, write := range writes {
				write()
			}
			for _, effect := range v.stage.Drain() {
				if sent, isSend := effect.(cue.Send); isSend {
					frames = append(frames, frame{v.address, sent.To, sent.Message})
				}
			}
		}
		for _, sent := range frames {
			if to := e.at(sent.to); to.up {
				to.tenures.Hear(to.stage, sent.from, sent.message)
			}
		}
	}
	return length
}

func (e *electorate) at(address string) *voter {
	for _, v := range e.voters {
		if v.address == address {
			return v
		}
	}
	return nil
}

func (e *electorate) holder() string {
	for _, v := range e.voters {
		if v.up && v.tenures.Holding(tag, v.stage.Now) {
			return v.seat
		}
	}
	return ""
}

// All are killed at one moment and come back: the holder holds again long before a
// tenure is over, since every voter's disk says that it promised to that very one. In
// both forms of seats.
func TestHolderThatComesBackIsGrantedAtOnce(t *testing.T) {
	for name, sought := range map[string]bool{"seats named": false, "seats found": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newElectorate(sought)
			e.run(10*time.Second, true)
			holder := e.holder()
			c.Assert(holder, qt.Not(qt.Equals), "")
			e.run(time.Second, false)
			for _, v := range e.voters {
				c.Assert(v.votes[0].Holder, qt.Equals, holder)
				v.boot()
			}
			c.Assert(e.holder(), qt.Equals, "")
			took := e.run(10*time.Second, true)
			c.Assert(e.holder(), qt.Equals, holder)
			c.Assert(took < playbill.Default().Tenure()/4, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// The holder does not come back: no voter grants another before a full tenure of its
// own life is over, whoever asks.
func TestRestartedVotersGrantNoOtherBeforeATenure(t *testing.T) {
	for name, sought := range map[string]bool{"seats named": false, "seats found": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newElectorate(sought)
			e.run(10*time.Second, true)
			holder := e.holder()
			for _, v := range e.voters {
				v.boot()
				v.up = v.seat != holder
			}
			took := e.run(10*time.Second, true)
			c.Assert(e.holder(), qt.Not(qt.Equals), "")
			c.Assert(took >= playbill.Default().Tenure(), qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// Votes that a lost disk's successor has from others are no promises of its own, nor
// are those of a disk whose seat was taken meanwhile: both wait a full tenure.
func TestVotesOfOthersDoNotShortenTheWait(t *testing.T) {
	for name, lose := range map[string]func(v *voter, votes []script.Vote){
		"disk lost": func(v *voter, votes []script.Vote) {
			v.votes = nil
			v.boot()
			v.tenures.Restore(votes)
			v.tenures.StandUp(v.stage, false)
		},
		"seat taken and another found": func(v *voter, votes []script.Vote) {
			v.boot()
			v.tenures.Tick(v.stage)
			v.tenures.Forget(v.stage)
			v.tenures.Restore(votes)
			v.tenures.StandUp(v.stage, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newElectorate(true)
			e.run(10*time.Second, true)
			holder := e.at("a" + e.holder())
			votes := holder.votes
			for _, v := range e.voters {
				if v == holder {
					v.boot()
				} else {
					lose(v, votes)
				}
			}
			took := e.run(10*time.Second, true)
			c.Assert(e.holder(), qt.Not(qt.Equals), "")
			c.Assert(took >= playbill.Default().Tenure(), qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// A holder of another identity in the same seat is another.
func TestPromiseIsToTheDiskNotToTheSeat(t *testing.T) {
	c := qt.New(t)
	e := newElectorate(false)
	e.run(10*time.Second, true)
	holder := e.at("a" + e.holder())
	roll := map[string]string{}
	for _, v := range e.voters {
		roll[v.seat] = v.state.Identity
	}
	roll[holder.seat] = "a newcomer's"
	holder.state.Identity = roll[holder.seat]
	for _, v := range e.voters {
		v.state.Roll = roll
		v.boot()
	}
	took := e.run(10*time.Second, true)
	c.Assert(took >= playbill.Default().Tenure(), qt.IsTrue, qt.Commentf("%v", took))
}
