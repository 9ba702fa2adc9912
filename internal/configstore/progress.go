package configstore

import "beaconvane/internal/message"

// progress is the last acknowledgement of one voter in the current term.
type progress struct {
	identity  string // of the disk that acknowledged
	syncedSeq int64  // highest sequence number that is synced on that disk
}

// followerProgress maps each voter name to that voter's progress.
type followerProgress map[string]progress

// record stores an acknowledgement. It ignores one that arrives after a later one of the same disk.
func (f followerProgress) record(appended message.LogAppended) {
	last, known := f[appended.Voter]
	if known && last.identity == appended.Identity && last.syncedSeq > appended.Seq {
		return
	}
	f[appended.Voter] = progress{identity: appended.Identity, syncedSeq: appended.Seq}
}
