package message

// UsageCount is what one proxy counted in one window, by tenant.
type UsageCount struct {
	Window   int64
	Counts   map[string]int64
	InFlight map[string]int64 // started and not answered yet, in the current window
}

// UsageUpdate carries a proxy's counts to the registries.
type UsageUpdate struct {
	Proxy       string
	StartTime   int64
	Sequence    int64        // of the update, in this run of the proxy
	Counts      []UsageCount // cumulative, of the windows that are not sealed yet
	ClosedBelow int64        // counts of windows below this number won't change any more
}

// UsageSealed is a sealed window: its counts are final.
type UsageSealed struct {
	Window int64
	Epoch  int64 // of the lease under which it was sealed
	Counts map[string]int64
}

// UsageRead asks a voter for all it knows of usage. A new holder of the usage lease reads a majority.
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
	LastReportedWindow int64           // newest window that the collector took
	Unreported         UnreportedUsage // counts of windows that are not reported yet, as this voter knows them
}

// UsageSeal asks a voter to write a sealed window to disk.
type UsageSeal struct {
	Voter              string
	Identity           string
	Sealed             UsageSealed
	LastReportedWindow int64
}

// UsageSealResponse says that a sealed window is on the voter's disk.
type UsageSealResponse struct {
	Voter    string
	Identity string
	Window   int64
	Epoch    int64
}

// UnreportedUsage is the counts of windows that are not reported yet.
type UnreportedUsage struct {
	Proxies []ProxyUsage
}

// ProxyUsage is what one run of a proxy counted in one window.
type ProxyUsage struct {
	Window   int64
	ProxyRun string
	Sequence int64 // of the newest update taken
	Counts   map[string]int64
	InFlight map[string]int64
}
