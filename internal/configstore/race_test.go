//go:build race

package configstore_test

// raceEnabled reports whether the race detector is enabled. The tests with random walks are skipped then:
// each walk runs on one goroutine, so there is nothing to detect, and the detector makes the walks ten
// times slower.
const raceEnabled = true
