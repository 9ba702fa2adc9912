// This file is the content of one zone's slice of the roster: the registrations,
// their position, and the last changes, so that a follower that is a little behind
// gets changes and one that is far behind gets the snapshot. The digest is a sum over
// the registrations, so it can be kept up to date change by change.

package distribution

import (
	"hash/fnv"
	"sort"

	"beaconvane/internal/message"
)

const changesKept = 256

// RosterSlice is one zone's registrations.
type RosterSlice struct {
	Mark          message.Position
	Registrations map[string]message.Registration
	changes       []message.RosterChange
}

// NewRosterSlice makes an empty slice.
func NewRosterSlice(topic string) *RosterSlice {
	return &RosterSlice{Mark: message.Position{Topic: topic}, Registrations: map[string]message.Registration{}}
}

func digest(registration message.Registration) int64 {
	hash := fnv.New64a()
	body, err := message.Encode(registration)
	if err != nil {
		panic("distribution: digest: " + err.Error())
	}
	hash.Write(body)
	return int64(hash.Sum64())
}

// Append makes the next change under an epoch, applies and returns it.
func (l *RosterSlice) Append(epoch int64, registration message.Registration, gone bool, cause string) message.RosterChange {
	if epoch != l.Mark.Epoch {
		l.Mark.Epoch, l.Mark.Seq = epoch, 0
		l.changes = nil
	}
	l.write(registration, gone)
	l.Mark.Seq++
	change := message.RosterChange{Position: l.Mark, Registration: registration, Removed: gone, Cause: cause}
	l.keep(change)
	return change
}

// StartEpoch moves the slice to a new epoch with its content as it is.
func (l *RosterSlice) StartEpoch(epoch int64) {
	l.Mark.Epoch, l.Mark.Seq = epoch, 0
	l.changes = nil
}

// Apply applies another's change; false when it does not continue this position.
func (l *RosterSlice) Apply(change message.RosterChange) bool {
	if change.Position.Epoch != l.Mark.Epoch || change.Position.Seq != l.Mark.Seq+1 {
		return false
	}
	l.write(change.Registration, change.Removed)
	l.Mark.Seq++
	l.keep(change)
	return l.Mark.Same(change.Position)
}

// Replace takes a whole snapshot.
func (l *RosterSlice) Replace(mark message.Position, registrations []message.Registration) {
	l.Registrations = map[string]message.Registration{}
	l.Mark.Count, l.Mark.Hash = 0, 0
	for _, registration := range registrations {
		l.write(registration, false)
	}
	l.Mark.Epoch, l.Mark.Seq = mark.Epoch, mark.Seq
	l.changes = nil
}

// List gives the registrations in the order of their keys.
func (l *RosterSlice) List() []message.Registration {
	list := make([]message.Registration, 0, len(l.Registrations))
	for _, registration := range l.Registrations {
		list = append(list, registration)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
	return list
}

// Since gives the changes after a position, or false when the snapshot is needed.
func (l *RosterSlice) Since(mark message.Position) ([]message.RosterChange, bool) {
	if mark.Epoch != l.Mark.Epoch || mark.Seq > l.Mark.Seq || len(l.changes) == 0 || l.changes[0].Position.Seq > mark.Seq+1 {
		return nil, false
	}
	return append([]message.RosterChange{}, l.changes[mark.Seq+1-l.changes[0].Position.Seq:]...), true
}

func (l *RosterSlice) write(registration message.Registration, gone bool) {
	key := registration.Key()
	if old, held := l.Registrations[key]; held {
		l.Mark.Hash -= digest(old)
		delete(l.Registrations, key)
	}
	if !gone {
		l.Mark.Hash += digest(registration)
		l.Registrations[key] = registration
	}
	l.Mark.Count = int64(len(l.Registrations))
}

func (l *RosterSlice) keep(change message.RosterChange) {
	l.changes = append(l.changes, change)
	if len(l.changes) > changesKept {
		l.changes = append([]message.RosterChange{}, l.changes[len(l.changes)-changesKept:]...)
	}
}
