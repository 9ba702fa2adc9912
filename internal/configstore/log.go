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

// position identifies the end of a log: the epoch and the sequence number of the last entry, and a hash of
// the log's content. Two logs with the same position have the same content.
type position struct{ epoch, seq, hash int64 }

// before reports whether p is lower than another position. Hashes don't order positions.
func (p position) before(other position) bool {
	return p.epoch < other.epoch || p.epoch == other.epoch && p.seq < other.seq
}

// bodyFrameDivisor limits the bodies in a log to limits.Frame/bodyFrameDivisor bytes, since a snapshot of
// the log is sent in one frame.
const bodyFrameDivisor = 2

// replicatedLog is the log in memory. It may be ahead of the disk: synced is the last position that is
// known to be on disk, and the only one that may be reported to other voters.
type replicatedLog struct {
	settings settings.Settings
	epoch    int64
	seq      int64
	synced   position
	versions map[string][]message.StoredConfiguration // by configuration, oldest first
	history  *committedVersions
	hash     int64 // over the history and the versions
}

// position returns the end of the log in memory.
func (l *replicatedLog) position() position { return position{l.epoch, l.seq, l.hash} }

// replace replaces the log by that of a snapshot, which is from the disk or from another voter.
func (l *replicatedLog) replace(state message.ConfigStoreState) {
	l.epoch, l.seq = state.Epoch, state.Seq
	l.versions = map[string][]message.StoredConfiguration{}
	l.history = newCommittedVersions(maxDigests, state.History)
	for _, entry := range state.Configurations {
		l.versions[entry.ConfigName] = append(l.versions[entry.ConfigName], entry)
		if _, recorded := l.history.digestOf(entry.ConfigName, entry.Version); !recorded {
			l.history.add(entry.ConfigName, entry.Version, contentDigest(entry.Body))
		}
	}
	l.rehash()
}

// recommit moves the log into a new epoch without changing its content.
func (l *replicatedLog) recommit(epoch int64) { l.epoch, l.seq = epoch, 0 }

// append adds an entry. The caller must have checked that epoch and seq follow the end of the log.
func (l *replicatedLog) append(epoch, seq int64, entry message.StoredConfiguration) {
	l.epoch, l.seq = epoch, seq
	l.history.add(entry.ConfigName, entry.Version, contentDigest(entry.Body))
	l.versions[entry.ConfigName] = append(l.versions[entry.ConfigName], entry)
	l.dropOldest(entry.ConfigName)
	l.rehash()
}

// dropOldest drops the oldest versions of a configuration while the log exceeds the limits, but never the
// last one. All voters drop the same versions, since the result depends only on the log and the limits.
func (l *replicatedLog) dropOldest(configName string) {
	total := int64(0)
	for _, entry := range l.entries() {
		total += int64(len(entry.Body))
	}
	retained := l.versions[configName]
	limits := l.settings.Limits
	for int64(len(retained)) > limits.RetainedVersions || total > limits.Frame/bodyFrameDivisor && len(retained) > 1 {
		total -= int64(len(retained[0].Body))
		retained = retained[1:]
	}
	l.versions[configName] = retained
}

// rehash computes the hash of the log from the digests, without hashing the bodies again.
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

// entries returns all versions, sorted by configuration name and oldest first within a configuration.
func (l *replicatedLog) entries() []message.StoredConfiguration {
	list := []message.StoredConfiguration{}
	for _, configName := range l.configNames() {
		list = append(list, l.versions[configName]...)
	}
	return list
}

// newestEntry returns the last version of a configuration, committed or not, or the zero value if there is
// none.
func (l *replicatedLog) newestEntry(configName string) message.StoredConfiguration {
	list := l.versions[configName]
	if len(list) == 0 {
		return message.StoredConfiguration{}
	}
	return list[len(list)-1]
}
