package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/scaletest"
)

// The processes of a hollow fleet are started with this subcommand, so the command line must have it.
func TestHollowFleetIsACommand(t *testing.T) {
	c := qt.New(t)
	found, arguments, err := newCommand().Find([]string{scaletest.HollowFleetCommand})
	c.Assert(err, qt.IsNil)
	c.Assert(found.Name(), qt.Equals, scaletest.HollowFleetCommand)
	c.Assert(arguments, qt.HasLen, 0)
}
