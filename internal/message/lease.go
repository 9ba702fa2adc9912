package message

// Vote is the last vote of a voter for one lease, as stored on its disk.
type Vote struct {
	LeaseName      string // a zone, the usage lease or the lease of the configuration log
	Epoch          int64
	Holder         string // voter that the vote is for
	Identity       string // disk identity of Holder
	PreviousHolder string // holder before Holder
	RecentHolders  string // comma-separated holders within the last cool-down; only for the usage lease
}

// LeaseRequest asks the voters to grant or renew a lease. A request with PreVote only asks whether the
// lease would be granted, so that a candidate that cannot win does not raise the epoch.
type LeaseRequest struct {
	Group     string
	LeaseName string
	Epoch     int64
	Voter     string
	Identity  string
	Round     int64 // numbers the requests of one candidate
	PreVote   bool  // voters write nothing to disk
}

// LeaseVote answers a LeaseRequest. A voter sends a granted vote only after it has written it to disk.
type LeaseVote struct {
	Group        string
	LeaseName    string
	Epoch        int64
	Round        int64
	Voter        string
	Identity     string
	Granted      bool
	PreVote      bool
	HighestEpoch int64  // highest epoch that the sender has voted for or seen as a candidate
	Reason       string // reason for a refusal; compared by the candidate
}

// LeaseYield transfers a lease. The holder sends it after it has stopped acting under the lease.
type LeaseYield struct {
	Group     string
	LeaseName string
	Epoch     int64
	Voter     string
	Identity  string
	Successor string // voter for which the lease is reserved; empty if any candidate may request it
}
