package delta

import (
	"encoding/hex"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Differences encoded by earlier builds can be applied. The test doesn't fix how a build encodes them. The
// first one is written by hand: an uncompressed DEFLATE block of five bytes, which insert two bytes (the
// length 2 doubled, plus 0) and copy four bytes from offset 2 on (the length 4 doubled, plus 1).
func TestDifferencesOfEarlierBuildsApply(t *testing.T) {
	const (
		earlier = `{"version":1,"services":["x"],"tenants":[],"routes":[{"name":"first","service":"x"}]}` +
			`,"and so on, for longer than one block of the base is"`
		later = `{"version":2,"services":["x"],"tenants":[],"routes":[{"name":"first","service":"x"}]}` +
			`,"inserted","and so on, for longer than one block of the base is"`
	)
	for name, golden := range map[string]struct{ base, target, difference string }{
		"spelled out": {"0123456789", "AB2345", "01" + "0500faff" + "044142" + "0902"},
		"from a base": {earlier, later,
			"001c00e3ff187b2276657273696f6e223a3297010c12696e736572746564226d55010000ffff"},
		"from nothing": {"", later,
			"3ccb410a83400c0550e849c25f67d5e55c455c8c9aa9436d02492a8278a31eb2d045d78ff7b99dd8c5a39ba2dc1921be" +
				"f7590265c0819191a25533508691e1f6ce9f9dd0fa1214b4ee91f83f141cb8c68bd135c4531630aa2e1446a64ccd9c36" +
				"d38738e55a954c85a6cde62759a35c85a61a423df00d0000ffff"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			difference, err := hex.DecodeString(golden.difference)
			c.Assert(err, qt.IsNil)
			got, err := Apply([]byte(golden.base), difference, testLimit)
			c.Assert(err, qt.IsNil)
			c.Assert(string(got), qt.Equals, golden.target)
		})
	}
}
