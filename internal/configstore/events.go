package configstore

// Names of the events that this package writes to the journal.
const (
	eventServing            = "config-log-serving"
	eventCommitted          = "configuration-committed"
	eventSnapshotRequested  = "config-log-snapshot-requested"
	eventSnapshotUnreadable = "config-log-unreadable"
)
