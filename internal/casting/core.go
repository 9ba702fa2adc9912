// This file is what the two core programs share around the seating and the tenures:
// writes through the ledger, who the peers are, and the addresses remembered for the
// next life, so that a node finds the others when every seed was swapped.
package casting

import (
	"slices"
	"time"

	"beaconvane/internal/company"
	"beaconvane/internal/cue"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/wardrobe"
)

// Core is embedded by a core program's machine.
type Core struct {
	config  playbill.Config
	role    string
	company *company.Company
	ledger  *wardrobe.Ledger
	seatAt  func(address string) string
	bornAt  time.Duration
	born    bool
	seen    []string
	seenAt  time.Duration
	sync    time.Duration // how long writes take, smoothed
}

// NewCore makes the shared part; view gives the machine's whole state; empty says
// that the disk has never held one.
func NewCore(config playbill.Config, role string, members *company.Company, view func() []byte, empty bool) *Core {
	return &Core{config: config, role: role, company: members, ledger: wardrobe.NewLedger(1<<20, view, empty)}
}

// Persist appends a record; CompactNow writes the whole view.
func (c *Core) Persist(s *cue.Stage, record any, then wardrobe.Then) {
	began := s.Now
	c.ledger.Persist(s, record, func(s *cue.Stage, failure error) {
		c.sync += (s.Now - began - c.sync) / 4
		then(s, failure)
	})
}

// SyncTime is about how long a write takes here, waiting included.
func (c *Core) SyncTime() time.Duration { return c.sync }

func (c *Core) CompactNow(s *cue.Stage, then wardrobe.Then) { c.ledger.Compact(s, then) }

// Failure is set once a write has failed.
func (c *Core) Failure() error { return c.ledger.Failure() }

// Synced answers a write.
func (c *Core) Synced(s *cue.Stage, ticket int64, failure error) { c.ledger.Synced(s, ticket, failure) }

// Peers are the other members of the role, dead ones aside. Where seats are sought,
// who sits where is the seating's knowledge, not the membership's.
func (c *Core) Peers() []script.Member {
	peers := c.company.Alive(c.role)
	if c.seatAt != nil {
		for index := range peers {
			peers[index].Seat = c.seatAt(peers[index].Address)
		}
	}
	return peers
}

// UseSeats has the peers' seats told by the seating.
func (c *Core) UseSeats(seating *Seating) {
	if seating.sought() {
		c.seatAt = seating.SeatAt
	}
}

// Sit says in the membership which seat this node holds.
func (c *Core) Sit(seat string) { c.company.Sit(seat) }

// Superseded: this node's name lives on elsewhere.
func (c *Core) Superseded() bool { return c.company.Superseded() }

// Gone says that a node is dead or has left. One that was never heard of is gone only
// to a node that has been up, among others, for long enough to have heard of it.
func (c *Core) Gone(s *cue.Stage, node string) bool {
	member, known := c.company.Find(c.role + "/" + node)
	if known {
		return member.State >= script.Dead
	}
	return c.born && s.Now-c.bornAt > c.config.SuspectFor()*4 && c.company.Joined()
}

// Keep is the steady part: remember addresses, and leave when shut out.
func (c *Core) Keep(s *cue.Stage, shutOut bool) {
	if !c.born {
		c.born, c.bornAt = true, s.Now
	}
	if shutOut && !c.company.HasLeft() {
		// Nobody should look here for the seat any more.
		c.company.Leave(s)
	}
	if s.Now < c.seenAt || shutOut || c.ledger.Failure() != nil {
		return
	}
	c.seenAt = s.Now + c.config.KeeperRest()
	if seen := c.company.Seen(); len(seen) > 0 && !slices.Equal(seen, c.seen) {
		c.seen = seen
		c.Persist(s, script.SeenState{Addresses: seen}, func(*cue.Stage, error) {})
	}
}
