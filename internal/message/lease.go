package message

// Vote is a voter's promise for one lease, as it is kept on disk.
type Vote struct {
	LeaseName      string // the lease: a zone's slice, the usage reports, the configuration log
	Epoch          int64
	Holder         string // voter
	Identity       string // of the holder's disk
	PreviousHolder string // holder before this one
	RecentHolders  string // holders within the last cool-down, separated by commas; of the usage tag only
}

// LeaseRequest asks the voters for a lease, or to renew it. With PreVote it only asks whether the lease
// would be granted, so that a candidate that cannot win does not raise the epoch.
type LeaseRequest struct {
	Group     string
	LeaseName string
	Epoch     int64
	Voter     string
	Identity  string
	Round     int64 // counts the requests of one candidate
	PreVote   bool  // nothing is written to disk
}

// LeaseVote answers a LeaseRequest. A granted vote has been written to disk before.
type LeaseVote struct {
	Group        string
	LeaseName    string
	Epoch        int64
	Round        int64
	Voter        string
	Identity     string
	Granted      bool
	PreVote      bool
	HighestEpoch int64  // highest epoch that the voter has promised
	Reason       string // of a refusal; the candidate compares it
}

// LeaseYield transfers a lease: the holder has stopped acting under it.
type LeaseYield struct {
	Group     string
	LeaseName string
	Epoch     int64
	Voter     string
	Identity  string
	Successor string // voter that should ask first; empty for any
}
