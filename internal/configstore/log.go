package configstore

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// position is a place in the log: epoch and sequence number of the last entry, and a hash of the content
// there. Two logs with the same position have the same content.
type position struct{ epoch, seq, hash int64 }

// before reports whether p is older than another position.
func (p position) before(other position) bool {
	return p.epoch < other.epoch || p.epoch == other.epoch && p.seq < other.seq
}

// frameShare is the part of a frame that the bodies of a log may fill: a snapshot of the whole log
// travels in one frame.
const frameShare = 2

// replicatedLog is the log as memory holds it. Memory runs ahead of the disk: synced is the position that
// the disk is known to hold, and the only one that other voters may be told of.
type replicatedLog struct {
	settings settings.Settings
	epoch    int64
	seq      int64
	synced   position
	versions map[string][]message.StoredConfiguration // by configuration, oldest first
	history  *committedVersions
	hash     int64 // over the history and the kept versions
}

// position returns the end of the log.
func (l *replicatedLog) position() position { return position{l.epoch, l.seq, l.hash} }

// replace takes the whole log as another voter or the disk has it.
func (l *replicatedLog) replace(state message.ConfigStoreState) {
	l.epoch, l.seq = state.Epoch, state.Seq
	l.versions = map[string][]message.StoredConfiguration{}
	l.history = newCommittedVersions(maxDigests, state.History)
	for _, entry := range state.Configurations {
		l.versions[entry.ConfigName] = append(l.versions[entry.ConfigName], entry)
		if _, remembered := l.history.digestOf(entry.ConfigName, entry.Version); !remembered {
			l.history.add(entry.ConfigName, entry.Version, contentDigest(entry.Body))
		}
	}
	l.rehash()
}

// recommit takes the log, as it stands, into a new epoch.
func (l *replicatedLog) recommit(epoch int64) { l.epoch, l.seq = epoch, 0 }

// append adds an entry at a place that the caller has checked.
func (l *replicatedLog) append(epoch, seq int64, entry message.StoredConfiguration) {
	l.epoch, l.seq = epoch, seq
	l.history.add(entry.ConfigName, entry.Version, contentDigest(entry.Body))
	l.versions[entry.ConfigName] = append(l.versions[entry.ConfigName], entry)
	l.dropOldest(entry.ConfigName)
	l.rehash()
}

// dropOldest drops the oldest versions of a configuration above the limits. All voters drop the same
// ones, since it depends on nothing but the log.
func (l *replicatedLog) dropOldest(configName string) {
	total := int64(0)
	for _, entry := range l.entries() {
		total += int64(len(entry.Body))
	}
	kept := l.versions[configName]
	limits := l.settings.Limits
	for int64(len(kept)) > limits.RetainedVersions || total > limits.Frame/frameShare && len(kept) > 1 {
		total -= int64(len(kept[0].Body))
		kept = kept[1:]
	}
	l.versions[configName] = kept
}

// rehash computes the hash of the content from the digests, without reading any body again.
func (l *replicatedLog) rehash() {
	sum := sha256.New()
	sum.Write(l.history.chain[:])
	for _, entry := range l.entries() {
		digest, _ := l.history.digestOf(entry.ConfigName, entry.Version)
		fmt.Fprintf(sum, "%q|%d|%d|%d|%x|", entry.ConfigName, entry.Version, entry.Epoch, entry.Seq, digest)
	}
	l.hash = int64(binary.BigEndian.Uint64(sum.Sum(nil)))
}

// configNames returns the names of the configurations in the log, sorted.
func (l *replicatedLog) configNames() []string {
	return slices.Sorted(maps.Keys(l.versions))
}

// entries returns the kept versions, those of one configuration together and oldest first.
func (l *replicatedLog) entries() []message.StoredConfiguration {
	list := []message.StoredConfiguration{}
	for _, configName := range l.configNames() {
		list = append(list, l.versions[configName]...)
	}
	return list
}

// newest returns the newest version of a configuration, committed or not; an empty one for none.
func (l *replicatedLog) newest(configName string) message.StoredConfiguration {
	list := l.versions[configName]
	if len(list) == 0 {
		return message.StoredConfiguration{}
	}
	return list[len(list)-1]
}
