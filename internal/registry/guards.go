package registry

// guards names the rules that keep the promises of docs/control-safety.md; true switches one off.
// A test of this package does so, one at a time, to show that the exploration finds what goes
// wrong without it. No setting and no other package reaches them.
type guards struct {
	usageRead      bool // a holder of the usage lease reads a majority before it seals
	knownValue     bool // a window whose value is known is sealed with that value
	majoritySeal   bool // a window is reported once a majority has synced its value
	syncedSeal     bool // a voter confirms a value once it is synced
	driftDetection bool // a registry whose digest differs pulls a whole copy
	closedWindow   bool // a window is over when more than half of the proxies say so
}

var guardsOff guards
