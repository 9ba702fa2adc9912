package message

// RegistryState is the snapshot that a registry writes to disk.
type RegistryState struct {
	Voter          VoterState
	Votes          []Vote
	Slices         []RosterSnapshot
	Sealed         []UsageSealed
	Reported       int64
	KnownAddresses []string
	Usage          UnreportedUsage
}

// ConfigStoreState is the snapshot that a configstore writes to disk.
type ConfigStoreState struct {
	Voter          VoterState
	Votes          []Vote
	Epoch          int64
	Seq            int64
	Configurations []StoredConfiguration
	History        []VersionDigest
	KnownAddresses []string
}

// KnownAddresses records the addresses that a process looks for its fleet at in its next life.
type KnownAddresses struct {
	Addresses []string
}

// UsageReported records that the collector took a window.
type UsageReported struct {
	Window int64
}
