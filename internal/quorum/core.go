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

const (
	// logLimit is the number of bytes of log after which a snapshot replaces it.
	logLimit = 1 << 20
	// latencyWeight is the inverse weight of one write in the smoothed latency.
	latencyWeight = 4
	// unknownGoneFactor is how many times the span of suspicion a process must have been up before a node that it
	// never heard of is gone to it.
	unknownGoneFactor = 2
)

// ControlBase is what the two control programs share around the quorum and the leases: the disk, the peers, a graceful
// departure, and the addresses saved for the next start. A program's machine embeds it.
type ControlBase struct {
	settings   settings.Settings
	role       string
	membership *membership.Membership
	writer     *storage.Writer
	quorum     *Quorum
	departure  *departure

	started        bool
	startedAt      time.Duration
	writeLatency   time.Duration // smoothed
	savedAddresses []string
	nextSaveAt     time.Duration
}

// NewControlBase makes the shared part; snapshot gives the machine's whole state; empty says that the disk has never
// held one.
func NewControlBase(cfg settings.Settings, role string, members *membership.Membership, snapshot func() []byte, empty bool) *ControlBase {
	return &ControlBase{
		settings:   cfg,
		role:       role,
		membership: members,
		writer:     storage.NewWriter(logLimit, snapshot, empty),
	}
}

// SetQuorum sets the quorum, which is made after the core that it writes through.
func (c *ControlBase) SetQuorum(quorum *Quorum) { c.quorum = quorum }

// Persist appends a record and calls then once it is synced.
func (c *ControlBase) Persist(env *statemachine.Env, record any, then storage.SyncCallback) {
	began := env.Now
	c.writer.Persist(env, record, func(env *statemachine.Env, failure error) {
		c.writeLatency += (env.Now - began - c.writeLatency) / latencyWeight
		then(env, failure)
	})
}

// WriteLatency is about how long a write takes, waiting included.
func (c *ControlBase) WriteLatency() time.Duration { return c.writeLatency }

// WriteSnapshot writes the machine's whole state.
func (c *ControlBase) WriteSnapshot(env *statemachine.Env, then storage.SyncCallback) {
	c.writer.Compact(env, then)
}

// Failure is the error of the first write that failed; nil for none.
func (c *ControlBase) Failure() error { return c.writer.Failure() }

// Synced says that the write of a request id is on disk, or that it failed.
func (c *ControlBase) Synced(env *statemachine.Env, requestID int64, failure error) {
	c.writer.Synced(env, requestID, failure)
}

// Peers lists the other members of the role, dead ones aside. Where voters are discovered, the quorum knows who
// holds which, and the membership does not.
func (c *ControlBase) Peers() []message.Member {
	peers := c.membership.Alive(c.role)
	if c.quorum != nil && c.quorum.DiscoversVoters() {
		for index := range peers {
			peers[index].Voter = c.quorum.voterAt(peers[index].Address)
		}
	}
	return peers
}

// AnnounceVoter tells the members which voter this process holds.
func (c *ControlBase) AnnounceVoter(voter string) { c.membership.SetVoter(voter) }

// Superseded says whether a later process with this node's name runs at another address.
func (c *ControlBase) Superseded() bool { return c.membership.Superseded() }

// NodeDeadOrLeft says that a node is dead or has left. One that was never heard of is gone only to a process that has
// been up, among others, for long enough to have heard of it.
func (c *ControlBase) NodeDeadOrLeft(env *statemachine.Env, nodeName string) bool {
	member, known := c.membership.Find(c.role + "/" + nodeName)
	if known {
		return member.State >= message.Dead
	}
	upFor := env.Now - c.startedAt
	return c.started && upFor > c.settings.SuspicionTimeout()*unknownGoneFactor && c.membership.Joined()
}

// Maintain does the regular work of a tick: it goes on with a departure, saves the addresses of the members, and
// leaves the membership once this process's voter was given to another disk.
func (c *ControlBase) Maintain(env *statemachine.Env, removed bool) {
	if !c.started {
		c.started, c.startedAt = true, env.Now
	}
	c.advanceDeparture(env)
	if removed && !c.membership.HasLeft() {
		// Nobody should look here for the voter any more.
		c.membership.Leave(env)
	}
	if env.Now < c.nextSaveAt || removed || c.writer.Failure() != nil {
		return
	}
	c.nextSaveAt = env.Now + c.settings.HolderCooldown()
	c.saveAddresses(env)
}

// saveAddresses writes the members' addresses to disk, so that the next start finds the others even if every
// seed was replaced meanwhile.
func (c *ControlBase) saveAddresses(env *statemachine.Env) {
	addresses := c.membership.KnownAddresses()
	if len(addresses) == 0 || slices.Equal(addresses, c.savedAddresses) {
		return
	}
	c.savedAddresses = addresses
	c.Persist(env, message.KnownAddresses{Addresses: addresses}, func(*statemachine.Env, error) {})
}
