package configstore

import "beaconvane/internal/message"

// progress is how far one voter has confirmed the log in the term under way.
type progress struct {
	identity string // of the disk that confirmed it
	match    int64  // highest sequence number that is on that disk
}

// followerProgress is the progress of each voter, by voter name.
type followerProgress map[string]progress

// record notes an acknowledgement. One that was overtaken on its way changes nothing.
func (f followerProgress) record(appended message.LogAppended) {
	last, known := f[appended.Voter]
	if known && last.identity == appended.Identity && last.match > appended.Seq {
		return
	}
	f[appended.Voter] = progress{identity: appended.Identity, match: appended.Seq}
}
