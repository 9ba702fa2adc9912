// This file is what the two core programs share around the quorum and the leases:
// writes through the ledger, who the peers are, and the addresses remembered for the
// next life, so that a node finds the others when every seed was swapped.

package quorum

import (
	"slices"
	"time"

	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// Core is embedded by a core program's machine.
type Core struct {
	settings   settings.Settings
	role       string
	membership *membership.Membership
	ledger     *storage.Writer
	voterAt    func(address string) string
	bornAt     time.Duration
	born       bool
	seen       []string
	seenAt     time.Duration
	sync       time.Duration // how long writes take, smoothed
	quorum     *Quorum
	departure  *departure
}

// departure is a polite stop under way: the answer waits for the hand-over.
type departure struct {
	requestID int64
	answer    any
	until     time.Duration
}

// NewCore makes the shared part; snapshot gives the machine's whole state; empty says
// that the disk has never held one.
func NewCore(cfg settings.Settings, role string, members *membership.Membership, snapshot func() []byte, empty bool) *Core {
	return &Core{settings: cfg, role: role, membership: members, ledger: storage.NewWriter(1<<20, snapshot, empty)}
}

// Persist appends a record; CompactNow writes the whole snapshot.
func (c *Core) Persist(s *statemachine.Env, record any, then storage.SyncCallback) {
	began := s.Now
	c.ledger.Persist(s, record, func(s *statemachine.Env, failure error) {
		c.sync += (s.Now - began - c.sync) / 4
		then(s, failure)
	})
}

// WriteLatency is about how long a write takes here, waiting included.
func (c *Core) WriteLatency() time.Duration { return c.sync }

// WriteSnapshot writes a whole snapshot.
func (c *Core) WriteSnapshot(s *statemachine.Env, then storage.SyncCallback) {
	c.ledger.Compact(s, then)
}

// Failure is set once a write has failed.
func (c *Core) Failure() error { return c.ledger.Failure() }

// Synced answers a write.
func (c *Core) Synced(s *statemachine.Env, requestID int64, failure error) {
	c.ledger.Synced(s, requestID, failure)
}

// Peers are the other members of the role, dead ones aside. Where voters are sought,
// who sits where is the quorum's knowledge, not the membership's.
func (c *Core) Peers() []message.Member {
	peers := c.membership.Alive(c.role)
	if c.voterAt != nil {
		for index := range peers {
			peers[index].Voter = c.voterAt(peers[index].Address)
		}
	}
	return peers
}

// UseVoters has the peers' voters told by the quorum.
func (c *Core) UseVoters(quorum *Quorum) {
	c.quorum = quorum
	if quorum.Discovered() {
		c.voterAt = quorum.VoterAt
	}
}

// AnnounceVoter tells the members which voter this process holds.
func (c *Core) AnnounceVoter(voter string) { c.membership.SetVoter(voter) }

// Superseded says whether a later life of this node's name is at another address.
func (c *Core) Superseded() bool { return c.membership.Superseded() }

// Depart begins a polite stop: the voter is handed over to a newcomer, where there is
// one, before the others are told that this node leaves. The answer goes out when the
// process may end.
func (c *Core) Depart(s *statemachine.Env, requestID int64, answer any) {
	c.departure = &departure{requestID: requestID, answer: answer, until: s.Now}
	if c.quorum.HandOver(s) {
		c.departure.until = s.Now + c.settings.HandOverLimit()
	}
	c.depart(s)
}

func (c *Core) depart(s *statemachine.Env) {
	if c.departure == nil || s.Now < c.departure.until && !c.quorum.HandedOver() {
		return
	}
	c.membership.Leave(s)
	s.Reply(c.departure.requestID, c.departure.answer)
	c.departure = nil
}

// NodeGone says that a node is dead or has left. One that was never heard of is gone only
// to a node that has been up, among others, for long enough to have heard of it.
func (c *Core) NodeGone(s *statemachine.Env, nodeName string) bool {
	member, known := c.membership.Find(c.role + "/" + nodeName)
	if known {
		return member.State >= message.Dead
	}
	return c.born && s.Now-c.bornAt > c.settings.SuspectFor()*2 && c.membership.Joined()
}

// Maintain is the steady part: remember addresses, and leave when shut out.
func (c *Core) Maintain(s *statemachine.Env, shutOut bool) {
	if !c.born {
		c.born, c.bornAt = true, s.Now
	}
	c.depart(s)
	if shutOut && !c.membership.HasLeft() {
		// Nobody should look here for the voter any more.
		c.membership.Leave(s)
	}
	if s.Now < c.seenAt || shutOut || c.ledger.Failure() != nil {
		return
	}
	c.seenAt = s.Now + c.settings.HolderRest()
	if seen := c.membership.KnownAddresses(); len(seen) > 0 && !slices.Equal(seen, c.seen) {
		c.seen = seen
		c.Persist(s, message.KnownAddresses{Addresses: seen}, func(*statemachine.Env, error) {})
	}
}
