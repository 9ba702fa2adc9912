package message

// RegistryState is the snapshot of a registry on its disk.
type RegistryState struct {
	Voter              VoterState
	Votes              []Vote
	Slices             []RosterSnapshot
	Sealed             []UsageSealed
	LastReportedWindow int64
	KnownAddresses     []string
	Usage              UnreportedUsage
}

// ConfigStoreState is the snapshot of a configuration store on its disk.
type ConfigStoreState struct {
	Voter          VoterState
	Votes          []Vote
	Epoch          int64
	Seq            int64
	Configurations []StoredConfiguration
	History        []VersionDigest
	KnownAddresses []string
}

// KnownAddresses records where a process looks for its fleet after a restart.
type KnownAddresses struct {
	Addresses []string
}

// UsageReported records that the collector took a window.
type UsageReported struct {
	Window int64
}
