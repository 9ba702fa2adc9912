package distribution

import (
	"hash/fnv"
	"sort"

	"beaconvane/internal/message"
)

// maxChanges is the number of most recent changes of a slice that are kept for lagging nodes.
const maxChanges = 256

// RosterSlice contains the registrations of one zone, their position and the most recent changes. A
// node that lags slightly receives these changes, one that lags further receives a snapshot. The digest
// in the position is a sum over the registrations, so that each change updates it incrementally.
type RosterSlice struct {
	Position      message.Position
	Registrations map[string]message.Registration // by key
	changes       []message.RosterChange          // consecutive, ending at Position
}

// NewRosterSlice returns an empty slice.
func NewRosterSlice(topic string) *RosterSlice {
	return &RosterSlice{Position: message.Position{Topic: topic}, Registrations: map[string]message.Registration{}}
}

// Append creates the next change in an epoch, applies it and returns it. It is for
// sources of the slice; other nodes use Apply.
func (s *RosterSlice) Append(epoch int64, registration message.Registration, removed bool, cause string) message.RosterChange {
	if epoch != s.Position.Epoch {
		s.StartEpoch(epoch)
	}
	s.set(registration, removed)
	s.Position.Seq++
	change := message.RosterChange{Position: s.Position, Registration: registration, Removed: removed, Cause: cause}
	s.record(change)
	return change
}

// StartEpoch starts a new epoch with the current registrations and discards the changes of the previous
// epoch.
func (s *RosterSlice) StartEpoch(epoch int64) {
	s.Position.Epoch, s.Position.Seq = epoch, 0
	s.changes = nil
}

// Apply applies a change that was created by another node, if it is the direct successor of the current
// position. It reports whether the resulting position, including the digest, equals that of the change.
func (s *RosterSlice) Apply(change message.RosterChange) bool {
	if change.Position.Epoch != s.Position.Epoch || change.Position.Seq != s.Position.Seq+1 {
		return false
	}
	s.set(change.Registration, change.Removed)
	s.Position.Seq++
	s.record(change)
	return s.Position.SameContent(change.Position)
}

// Replace replaces the registrations and the position by those of a snapshot.
func (s *RosterSlice) Replace(position message.Position, registrations []message.Registration) {
	s.Registrations = map[string]message.Registration{}
	s.Position.Count, s.Position.Hash = 0, 0
	for _, registration := range registrations {
		s.set(registration, false)
	}
	s.StartEpoch(position.Epoch)
	s.Position.Seq = position.Seq
}

// List returns the registrations ordered by key.
func (s *RosterSlice) List() []message.Registration {
	list := make([]message.Registration, 0, len(s.Registrations))
	for _, registration := range s.Registrations {
		list = append(list, registration)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
	return list
}

// Since returns the changes after a position, or false if they are not all available and a snapshot is
// needed.
func (s *RosterSlice) Since(position message.Position) ([]message.RosterChange, bool) {
	if position.Epoch != s.Position.Epoch || position.Seq > s.Position.Seq || len(s.changes) == 0 {
		return nil, false
	}
	first := s.changes[0].Position.Seq
	if first > position.Seq+1 {
		return nil, false
	}
	return append([]message.RosterChange{}, s.changes[position.Seq+1-first:]...), true
}

// set adds, replaces or removes a registration, and updates the count and the digest.
func (s *RosterSlice) set(registration message.Registration, removed bool) {
	key := registration.Key()
	if previous, found := s.Registrations[key]; found {
		s.Position.Hash -= registrationDigest(previous)
		delete(s.Registrations, key)
	}
	if !removed {
		s.Position.Hash += registrationDigest(registration)
		s.Registrations[key] = registration
	}
	s.Position.Count = int64(len(s.Registrations))
}

// record adds a change and drops the oldest ones beyond maxChanges.
func (s *RosterSlice) record(change message.RosterChange) {
	s.changes = append(s.changes, change)
	if len(s.changes) > maxChanges {
		s.changes = append([]message.RosterChange{}, s.changes[len(s.changes)-maxChanges:]...)
	}
}

// registrationDigest returns the contribution of a registration to the digest of its slice.
func registrationDigest(registration message.Registration) int64 {
	body, err := message.Encode(registration)
	if err != nil {
		// Encoding fails only for types that package message does not register, which is a programming
		// error.
		panic("distribution: encode registration: " + err.Error())
	}
	hash := fnv.New64a()
	hash.Write(body)
	return int64(hash.Sum64())
}
