package message

// UsageCount holds the requests that one proxy counted in one window, by tenant.
type UsageCount struct {
	Window   int64
	Counts   map[string]int64
	InFlight map[string]int64 // requests that were started and have no response yet; only for the current window
}

// UsageUpdate carries the counts of a proxy to the registries.
type UsageUpdate struct {
	Proxy       string
	StartTime   int64
	Sequence    int64        // number of the update within this run of the proxy
	Counts      []UsageCount // cumulative counts of windows that are not sealed yet
	ClosedBelow int64        // counts of windows below this number are final; 0 if the update covers only the current window
}

// UsageSealed is a sealed window: its counts are final.
type UsageSealed struct {
	Window int64
	Epoch  int64 // epoch of the usage lease under which the window was sealed
	Counts map[string]int64
}

// UsageRead asks a voter for all its usage data. A new holder of the usage lease reads a majority of the voters.
type UsageRead struct {
	Epoch    int64
	Voter    string
	Identity string
}

// UsageReadResponse answers a UsageRead.
type UsageReadResponse struct {
	Epoch              int64
	Voter              string
	Identity           string
	Sealed             []UsageSealed
	LastReportedWindow int64           // newest window that the collector has accepted
	Unreported         UnreportedUsage // the sender's counts of windows that are not sealed yet
}

// UsageSeal asks a voter to write a sealed window to disk.
type UsageSeal struct {
	Voter              string
	Identity           string
	Sealed             UsageSealed
	LastReportedWindow int64
}

// UsageSealResponse confirms that the sender has written a sealed window to disk.
type UsageSealResponse struct {
	Voter    string
	Identity string
	Window   int64
	Epoch    int64
}

// UnreportedUsage holds counts of windows that are not sealed yet. As a record on disk it holds only the
// counts that changed since the record before it.
type UnreportedUsage struct {
	Proxies []ProxyUsage
}

// ProxyUsage holds the requests that one run of a proxy counted in one window, by tenant.
type ProxyUsage struct {
	Window   int64
	ProxyRun string // "<proxy>/<start time in base 36>"
	Sequence int64  // number of the latest update that was applied
	Counts   map[string]int64
	InFlight map[string]int64
}
