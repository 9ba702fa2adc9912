package registry

// guards are the safety rules of docs/control-safety.md. A field that is true disables its rule. A
// test of this package disables one rule at a time, to show that the exploration detects the
// resulting violation. Neither settings nor other packages can set a field.
type guards struct {
	usageRead      bool // the holder of the usage lease reads a majority before it seals a window
	knownValue     bool // a window that already has a value is sealed with that value
	majoritySeal   bool // a window is reported only after a majority has synced its value
	syncedSeal     bool // a voter acknowledges a value only after it is synced
	driftDetection bool // a registry whose digest differs from the holder's pulls a snapshot
	closedWindow   bool // a window is over once more than half of the proxies report a later one
}

// guardsOff holds the disabled rules; in a program, none.
var guardsOff guards
