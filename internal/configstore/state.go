package configstore

// This file is the log's content, as memory and disk hold it: the kept versions, the position,
// and the history of digests.

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

type position struct{ epoch, seq, hash int64 }

func (p position) before(other position) bool {
	return p.epoch < other.epoch || p.epoch == other.epoch && p.seq < other.seq
}

// absorb takes the whole log as another voter or the disk has it.
func (m *Machine) absorb(state message.ConfigStoreState) {
	m.epoch, m.seq = state.Epoch, state.Seq
	m.configurations = map[string][]message.StoredConfiguration{}
	m.history = newVersionHistory(mostDigests, state.History)
	for _, configuration := range state.Configurations {
		m.configurations[configuration.ConfigName] = append(m.configurations[configuration.ConfigName], configuration)
		if _, remembered := m.history.digestOf(configuration.ConfigName, configuration.Version); !remembered {
			m.history.add(configuration.ConfigName, configuration.Version, contentDigest(configuration.Body))
		}
	}
	m.rehash()
}

// keep adds a version and drops the configuration's oldest over the limits, alike on every
// voter. The whole configuration log must fit a frame, since a voter is told it in one.
func (m *Machine) keep(configuration message.StoredConfiguration) {
	m.history.add(configuration.ConfigName, configuration.Version, contentDigest(configuration.Body))
	m.configurations[configuration.ConfigName] = append(m.configurations[configuration.ConfigName], configuration)
	total := int64(0)
	for _, held := range m.all() {
		total += int64(len(held.Body))
	}
	list := m.configurations[configuration.ConfigName]
	for int64(len(list)) > m.settings.Limits.KeptConfigurations || total > m.settings.Limits.Frame/2 && len(list) > 1 {
		total -= int64(len(list[0].Body))
		list = list[1:]
	}
	m.configurations[configuration.ConfigName] = list
	m.rehash()
}

// rehash names the whole content by what is remembered of it; no body is read again.
func (m *Machine) rehash() {
	sum := sha256.New()
	sum.Write(m.history.chain[:])
	for _, configuration := range m.all() {
		digest, _ := m.history.digestOf(configuration.ConfigName, configuration.Version)
		fmt.Fprintf(sum, "%q|%d|%d|%d|%x|", configuration.ConfigName, configuration.Version, configuration.Epoch, configuration.Seq, digest)
	}
	m.hash = int64(binary.BigEndian.Uint64(sum.Sum(nil)))
}

func (m *Machine) configNames() []string {
	return slices.Sorted(maps.Keys(m.configurations))
}

func (m *Machine) all() []message.StoredConfiguration {
	list := []message.StoredConfiguration{}
	for _, configName := range m.configNames() {
		list = append(list, m.configurations[configName]...)
	}
	return list
}

func (m *Machine) position() position { return position{m.epoch, m.seq, m.hash} }

// Snapshot is the whole state, as a slot of the disk holds it.
func (m *Machine) Snapshot() []byte { return m.snapshot() }

func (m *Machine) snapshot() []byte { return m.encoded(m.all()) }

// encoded is the whole state with the given form of the versions.
func (m *Machine) encoded(configurations []message.StoredConfiguration) []byte {
	state := message.ConfigStoreState{Voter: m.quorum.State, Votes: m.leases.Votes(), Epoch: m.epoch, Seq: m.seq, Configurations: configurations,
		History: m.history.entries, KnownAddresses: m.membership.KnownAddresses()}
	body, err := message.Encode(state)
	if err != nil {
		panic("configstore: snapshot: " + err.Error())
	}
	return body
}

// StateForGrant and MergeGrantedStates, with the core's methods, make it a quorum.Host. The state
// travels with differences for versions.
func (m *Machine) StateForGrant() []byte { return m.encoded(m.packer.pack(m.all())) }

// MergeGrantedStates takes the highest position that the two others hold.
func (m *Machine) MergeGrantedStates(s *statemachine.Env, states [][]byte) {
	for _, body := range states {
		decoded, err := message.Decode(body)
		state, isState := decoded.(message.ConfigStoreState)
		if err != nil || !isState {
			continue
		}
		m.leases.Restore(state.Votes)
		if !m.position().before(position{state.Epoch, state.Seq, 0}) {
			continue
		}
		if state.Configurations, err = unpack(state.Configurations, state.History, m.settings.Limits.Configuration); err != nil {
			panic("configstore: a granted state: " + err.Error())
		}
		m.absorb(state)
	}
	m.synced = m.position()
}

// DiscardState drops what rested on a voter that is another's now.
func (m *Machine) DiscardState(s *statemachine.Env) {
	m.leases.Forget(s)
	m.term, m.mode, m.reads, m.acks = 0, idle, nil, nil
	m.absorb(message.ConfigStoreState{})
	m.synced = m.position()
}

// ForceRecover gives the other voters up and returns the snapshot to be written: an operator's
// deed on the stopped survivor of two lost disks.
func (m *Machine) ForceRecover() []byte {
	m.quorum.ForceRecover()
	m.leases.ForceRecover()
	return m.snapshot()
}
