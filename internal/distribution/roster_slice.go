package distribution

import (
	"hash/fnv"
	"sort"

	"beaconvane/internal/message"
)

// maxChanges is how many changes of a slice are kept for nodes that are behind.
const maxChanges = 256

// RosterSlice is the registrations of one zone, their position, and the last changes: a follower
// that is a little behind is sent those, one that is further behind the snapshot. The digest in the
// position is a sum over the registrations, so that each change updates it in place.
type RosterSlice struct {
	Position      message.Position
	Registrations map[string]message.Registration // by key
	changes       []message.RosterChange          // in a row, up to Position
}

// NewRosterSlice returns an empty slice.
func NewRosterSlice(topic string) *RosterSlice {
	return &RosterSlice{Position: message.Position{Topic: topic}, Registrations: map[string]message.Registration{}}
}

// Append makes the next change in an epoch, applies it and returns it.
func (s *RosterSlice) Append(epoch int64, registration message.Registration, removed bool, cause string) message.RosterChange {
	if epoch != s.Position.Epoch {
		s.StartEpoch(epoch)
	}
	s.set(registration, removed)
	s.Position.Seq++
	change := message.RosterChange{Position: s.Position, Registration: registration, Removed: removed, Cause: cause}
	s.keep(change)
	return change
}

// StartEpoch moves the slice to a new epoch with its content as it is.
func (s *RosterSlice) StartEpoch(epoch int64) {
	s.Position.Epoch, s.Position.Seq = epoch, 0
	s.changes = nil
}

// Apply applies a change that another node made, if it is the one after this position. It reports
// whether the slice is then where that node was.
func (s *RosterSlice) Apply(change message.RosterChange) bool {
	if change.Position.Epoch != s.Position.Epoch || change.Position.Seq != s.Position.Seq+1 {
		return false
	}
	s.set(change.Registration, change.Removed)
	s.Position.Seq++
	s.keep(change)
	return s.Position.SameContent(change.Position)
}

// Replace replaces the content by a snapshot's.
func (s *RosterSlice) Replace(position message.Position, registrations []message.Registration) {
	s.Registrations = map[string]message.Registration{}
	s.Position.Count, s.Position.Hash = 0, 0
	for _, registration := range registrations {
		s.set(registration, false)
	}
	s.StartEpoch(position.Epoch)
	s.Position.Seq = position.Seq
}

// List returns the registrations in the order of their keys.
func (s *RosterSlice) List() []message.Registration {
	list := make([]message.Registration, 0, len(s.Registrations))
	for _, registration := range s.Registrations {
		list = append(list, registration)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
	return list
}

// Since returns the changes after a position, or false where they are not all kept and the
// snapshot is needed.
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
	if old, found := s.Registrations[key]; found {
		s.Position.Hash -= digest(old)
		delete(s.Registrations, key)
	}
	if !removed {
		s.Position.Hash += digest(registration)
		s.Registrations[key] = registration
	}
	s.Position.Count = int64(len(s.Registrations))
}

func (s *RosterSlice) keep(change message.RosterChange) {
	s.changes = append(s.changes, change)
	if len(s.changes) > maxChanges {
		s.changes = append([]message.RosterChange{}, s.changes[len(s.changes)-maxChanges:]...)
	}
}

// digest returns what a registration adds to the digest of its slice.
func digest(registration message.Registration) int64 {
	body, err := message.Encode(registration)
	if err != nil {
		// Only a type that the encoding does not know fails, which is a programming error.
		panic("distribution: encode registration: " + err.Error())
	}
	hash := fnv.New64a()
	hash.Write(body)
	return int64(hash.Sum64())
}
