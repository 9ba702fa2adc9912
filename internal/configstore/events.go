package configstore

// Names of the events in the journal.
const (
	eventServing            = "config-log-serving"
	eventCommitted          = "configuration-committed"
	eventSnapshotRequested  = "config-log-snapshot-requested"
	eventSnapshotUnreadable = "config-log-unreadable"
)
