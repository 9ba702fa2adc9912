package message

// RegistryState is the snapshot of a registry's state on disk.
type RegistryState struct {
	Voter              VoterState
	Votes              []Vote
	Slices             []RosterSnapshot
	Sealed             []UsageSealed
	LastReportedWindow int64 // newest usage window that the collector has accepted
	KnownAddresses     []string
	Usage              UnreportedUsage
}

// ConfigStoreState is the snapshot of a configuration store's state on disk.
type ConfigStoreState struct {
	Voter          VoterState
	Votes          []Vote
	Epoch          int64 // epoch of the last log entry
	Seq            int64 // sequence number of the last log entry
	Configurations []StoredConfiguration
	History        []VersionDigest // committed versions, in the order of their commit
	KnownAddresses []string
}

// KnownAddresses records the addresses at which a restarted process looks for the other members.
type KnownAddresses struct {
	Addresses []string
}

// UsageReported records that the collector has accepted a usage window.
type UsageReported struct {
	Window int64
}
