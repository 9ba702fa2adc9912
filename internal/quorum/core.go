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
	// maxLogBytes is the log size above which a snapshot replaces the log.
	maxLogBytes = 1 << 20
	// latencySmoothing is the inverse weight of one write in the moving average of the write latency.
	latencySmoothing = 4
	// unknownNodeSuspicionTimeouts is the uptime, in multiples of SuspicionTimeout, after which this process treats a
	// node that is not in its membership as dead.
	unknownNodeSuspicionTimeouts = 2
)

// ControlBase contains what the state machines of the two control programs, registry and configuration store, share
// in addition to the quorum and the leases: writes to disk, the list of peers, graceful departure, and the peer
// addresses saved for the next start. The state machine of each program embeds it.
type ControlBase struct {
	settings   settings.Settings
	role       string
	membership *membership.Membership
	writer     *storage.Writer
	quorum     *Quorum
	departure  *departure

	started        bool
	startedAt      time.Duration
	writeLatency   time.Duration // exponential moving average
	savedAddresses []string
	nextSaveAt     time.Duration
}

// NewControlBase returns a ControlBase for a role. snapshot encodes the complete state of the embedding state machine.
// empty reports that the disk has never stored a snapshot. SetQuorum must be called before any method that needs the
// quorum.
func NewControlBase(cfg settings.Settings, role string, members *membership.Membership, snapshot func() []byte, empty bool) *ControlBase {
	return &ControlBase{
		settings:   cfg,
		role:       role,
		membership: members,
		writer:     storage.NewWriter(maxLogBytes, snapshot, empty),
	}
}

// SetQuorum sets the quorum. It is separate from NewControlBase because the quorum writes to disk through the
// ControlBase, which must exist first.
func (c *ControlBase) SetQuorum(quorum *Quorum) { c.quorum = quorum }

// Persist appends a record to the log and calls onSynced once the record is synced or its write has failed.
func (c *ControlBase) Persist(env *statemachine.Env, record any, onSynced storage.SyncCallback) {
	requestedAt := env.Now
	c.writer.Persist(env, record, func(env *statemachine.Env, failure error) {
		c.writeLatency += (env.Now - requestedAt - c.writeLatency) / latencySmoothing
		onSynced(env, failure)
	})
}

// AppendToLog appends a record that is not part of the snapshot, and calls onSynced like Persist.
func (c *ControlBase) AppendToLog(env *statemachine.Env, record any, onSynced storage.SyncCallback) {
	c.writer.AppendToLog(env, record, onSynced)
}

// AfterCompact sets a function that is called after each snapshot, to append what the snapshot doesn't contain.
func (c *ControlBase) AfterCompact(appendRecords func(env *statemachine.Env)) {
	c.writer.AfterCompact(appendRecords)
}

// WriteLatency returns the moving average of the time from a write request to its sync, queueing included.
func (c *ControlBase) WriteLatency() time.Duration { return c.writeLatency }

// WriteSnapshot writes a snapshot of the complete state, which replaces the log. It calls onSynced once the
// snapshot is synced or its write has failed.
func (c *ControlBase) WriteSnapshot(env *statemachine.Env, onSynced storage.SyncCallback) {
	c.writer.Compact(env, onSynced)
}

// Failure returns the error of the first write that failed, or nil.
func (c *ControlBase) Failure() error { return c.writer.Failure() }

// Synced reports the completion of the write with the given request ID; failure is nil once the write is synced.
func (c *ControlBase) Synced(env *statemachine.Env, requestID int64, failure error) {
	c.writer.Synced(env, requestID, failure)
}

// Peers returns the other members of the role that are alive or suspected. With discovered voters, the voter of each
// peer comes from the quorum, because the membership does not know which process holds which voter.
func (c *ControlBase) Peers() []message.Member {
	peers := c.membership.Alive(c.role)
	if c.quorum != nil && c.quorum.DiscoversVoters() {
		for index := range peers {
			peers[index].Voter = c.quorum.voterAtAddress(peers[index].Address)
		}
	}
	return peers
}

// AnnounceVoter publishes through the membership which voter this process holds; "" means none.
func (c *ControlBase) AnnounceVoter(voter string) { c.membership.SetVoter(voter) }

// Superseded reports whether a later process with this node's name runs at another address.
func (c *ControlBase) Superseded() bool { return c.membership.Superseded() }

// NodeDeadOrLeft reports whether a node is dead or has left. A node that is missing from the membership counts as dead
// only once this process has joined other nodes and has been up long enough to have learned of it if it were alive.
func (c *ControlBase) NodeDeadOrLeft(env *statemachine.Env, nodeName string) bool {
	member, known := c.membership.Find(c.role + "/" + nodeName)
	if known {
		return member.State >= message.Dead
	}
	uptime := env.Now - c.startedAt
	return c.started && uptime > c.settings.SuspicionTimeout()*unknownNodeSuspicionTimeouts && c.membership.Joined()
}

// Maintain does the periodic work of a tick: it advances a departure, saves the addresses of the members, and
// leaves the membership once removed is set, which means that another disk holds this process's voter.
func (c *ControlBase) Maintain(env *statemachine.Env, removed bool) {
	if !c.started {
		c.started, c.startedAt = true, env.Now
	}
	c.advanceDeparture(env)
	if removed && !c.membership.HasLeft() {
		// The others must stop addressing this process as the holder of its voter.
		c.membership.Leave(env)
	}
	if env.Now < c.nextSaveAt || removed || c.writer.Failure() != nil {
		return
	}
	c.nextSaveAt = env.Now + c.settings.HolderCooldown()
	c.saveAddresses(env)
}

// saveAddresses writes the members' addresses to disk if they have changed, so that the next start finds the
// others even if every seed was replaced in the meantime.
func (c *ControlBase) saveAddresses(env *statemachine.Env) {
	addresses := c.membership.KnownAddresses()
	if len(addresses) == 0 || slices.Equal(addresses, c.savedAddresses) {
		return
	}
	c.savedAddresses = addresses
	c.Persist(env, message.KnownAddresses{Addresses: addresses}, func(*statemachine.Env, error) {})
}
