package configstore

import (
	"fmt"
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// pendingWrite is a client's write that is queued behind earlier writes.
type pendingWrite struct {
	from       string
	request    message.WriteRequest
	receivedAt time.Duration
}

// proposal is the write in flight, of which there is at most one. It is the last entry of this voter's log
// and is committed once a majority has it on disk.
type proposal struct {
	entry  *message.StoredConfiguration // nil: no write is in flight
	append message.LogAppendDelta       // the message that appends entry
	client pendingWrite
}

// inFlight reports whether a write is waiting for a majority.
func (p proposal) inFlight() bool { return p.entry != nil }

// handleWrite queues a client's write.
func (m *Machine) handleWrite(env *statemachine.Env, from string, request message.WriteRequest) {
	if !m.canServe(env.Now) {
		m.respond(env, from, m.notServingResponse(request.RequestID))
		return
	}
	if int64(len(m.writes)) >= m.settings.Limits.Queue || m.pendingWriteBytes()+int64(len(request.Body)) > m.settings.OrderMemory() {
		m.respond(env, from, message.StoreResponse{
			RequestID: request.RequestID,
			Code:      int64(errcode.ConfigurationNoHolder),
			Detail:    "too many puts pending",
		})
		return
	}
	m.writes = append(m.writes, pendingWrite{from, request, env.Now})
	m.beginWrites(env)
}

// pendingWriteBytes returns the size of the queued writes. Their bodies stay compressed until it is their turn.
func (m *Machine) pendingWriteBytes() int64 {
	size := 0
	for _, pending := range m.writes {
		size += len(pending.request.Body)
	}
	return int64(size)
}

// beginWrites processes queued writes until one is in flight or the queue is empty.
func (m *Machine) beginWrites(env *statemachine.Env) {
	for !m.proposal.inFlight() && len(m.writes) > 0 {
		next := m.writes[0]
		m.writes = m.writes[1:]
		m.beginWrite(env, next)
	}
}

// beginWrite proposes a write, or responds to it if there is nothing to commit. The commit of a proposal
// proves that this voter still held the lease; any other response must wait for a renewal of the lease.
func (m *Machine) beginWrite(env *statemachine.Env, next pendingWrite) {
	if next.request.Compressed {
		next.request = decompressWrite(next.request, m.settings.Limits.Configuration)
	}
	stated := statedVersion(next.request.Body)
	if next.request.Version == 0 {
		next.request.Version = stated.Int()
	}
	response, commits := m.decide(next.request, stated)
	if commits {
		m.propose(env, next)
		return
	}
	response.RequestID, response.ConfigName = next.request.RequestID, next.request.ConfigName
	m.respondConfirmed(env, pendingResponse{
		from:       next.from,
		requestID:  next.request.RequestID,
		receivedAt: next.receivedAt,
		build:      func() message.StoreResponse { return response },
	})
}

// propose appends a write to this voter's log and sends it to the other voters.
func (m *Machine) propose(env *statemachine.Env, client pendingWrite) {
	entry := message.StoredConfiguration{
		ConfigName: client.request.ConfigName,
		Version:    client.request.Version,
		Epoch:      m.leadership.term,
		Seq:        m.log.seq + 1,
		Body:       client.request.Body,
	}
	m.proposal = proposal{entry: &entry, append: m.appendDelta(entry), client: client}
	m.leadership.acks = map[string]string{}
	m.log.append(m.log.epoch, entry.Seq, entry)
	logEnd, term := m.log.position(), m.leadership.term
	record := message.LogAppend{
		Epoch:         term,
		Seq:           entry.Seq,
		Voter:         m.quorum.Voter,
		Identity:      m.quorum.Signature(),
		Configuration: entry,
	}
	m.Persist(env, record, func(env *statemachine.Env, failure error) {
		if failure != nil {
			return
		}
		m.log.synced = logEnd
		if m.leadership.term == term {
			m.handleAppended(env, m.selfAppended(term, entry.Seq))
		}
	})
	m.sendProposal(env)
}

// sendProposal sends the write in flight to the voters that have not acknowledged it.
func (m *Machine) sendProposal(env *statemachine.Env) {
	m.leadership.sentAt = env.Now
	for _, peer := range m.Peers() {
		if !m.quorum.VerifySignature(peer.Voter, m.leadership.acks[peer.Voter]) {
			m.proposal.append.Identity = m.quorum.Signature()
			env.Send(peer.Address, m.proposal.append)
		}
	}
}

// commitProposal publishes the committed write, acknowledges it to its client, and begins the next write.
func (m *Machine) commitProposal(env *statemachine.Env) {
	committed, client := *m.proposal.entry, m.proposal.client
	m.proposal.entry = nil
	env.Event(eventCommitted, 0, m.leadership.term, fmt.Sprintf("%s %d", committed.ConfigName, committed.Version))
	m.publish(env, committed.ConfigName)
	m.respond(env, client.from, message.StoreResponse{
		RequestID:  client.request.RequestID,
		ConfigName: committed.ConfigName,
		Version:    committed.Version,
	})
	m.beginWrites(env)
}

// publish passes the current version of a configuration to the distribution.
func (m *Machine) publish(env *statemachine.Env, configName string) {
	if current, known := m.current(configName); known {
		m.distribution.WriteConfiguration(env, configName, current.Version, current.Body)
		m.distribution.SetFreshAt(distribution.ConfigurationTopic(configName), env.Now)
	}
}
