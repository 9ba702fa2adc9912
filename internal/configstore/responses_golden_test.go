package configstore

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// writeResult is the part of a write's response that the operator sees.
type writeResult struct {
	Code   errcode.Code
	Detail string
	Faults []string
}

// writeResult sends a write and returns its only response.
func (s *singleVoterStore) writeResult(c *qt.C, version int64, body string) writeResult {
	_, all := s.write(version, body)
	c.Assert(all, qt.HasLen, 1)
	return writeResult{errcode.Code(all[0].Code), all[0].Detail, all[0].Faults}
}

// newWriteResult returns an expected result.
func newWriteResult(code errcode.Code, detail string, faults ...string) writeResult {
	return writeResult{code, detail, append([]string{}, faults...)}
}

// The detail and fault texts of write responses reach the operator through a registry and must not change.
func TestWriteResponseTexts(t *testing.T) {
	c := qt.New(t)
	rising, highest := newSingleVoterStore(c, settings.WritesRising), newSingleVoterStore(c, settings.WritesHighest)
	first, second := document(""), document(`"note":"second",`)
	for _, store := range []*singleVoterStore{rising, highest} {
		c.Assert(store.writeResult(c, 5, first), qt.DeepEquals, newWriteResult(errcode.OK, ""))
		c.Check(store.writeResult(c, 5, second), qt.DeepEquals,
			newWriteResult(errcode.ConfigurationConflict, "another content was committed under this number"))
		c.Check(store.writeResult(c, 6, document(`"version":7,`)), qt.DeepEquals,
			newWriteResult(errcode.ConfigurationBad, "", "version: differs from the number put"))
		c.Check(store.writeResult(c, 0, first), qt.DeepEquals,
			newWriteResult(errcode.ConfigurationBad, "", "$: want a version above 0 and one of the configurations of the settings"))
	}
	c.Check(rising.writeResult(c, 5, first), qt.DeepEquals, newWriteResult(errcode.OK, "already committed"))
	c.Check(rising.writeResult(c, 4, second), qt.DeepEquals,
		newWriteResult(errcode.ConfigurationConflict, "the current version is 5"))
	c.Check(highest.writeResult(c, 5, first), qt.DeepEquals, newWriteResult(errcode.OK, "the current version is 5"))
	c.Check(highest.writeResult(c, 4, second), qt.DeepEquals, newWriteResult(errcode.OK, "the current version is 5"))

	rising.machine.log.history.limit = 4
	for version := int64(6); version < 20; version++ {
		c.Assert(rising.writeResult(c, version, first).Code, qt.Equals, errcode.OK)
	}
	c.Check(rising.writeResult(c, 5, first), qt.DeepEquals,
		newWriteResult(errcode.ConfigurationUnsure, "this number is older than what is remembered"))

	rising.machine.settings.Limits.Queue = 0
	c.Check(rising.writeResult(c, 30, first), qt.DeepEquals, newWriteResult(errcode.ConfigurationNoHolder, "too many puts pending"))
}

// The outcome of a write is unknown if the lease is lost before a majority has synced the write.
func TestResponseToWriteInFlightAtLeaseLoss(t *testing.T) {
	c := qt.New(t)
	store := newSingleVoterStore(c, settings.WritesRising)
	store.responses = nil
	store.machine.Handle(store.env, "10.0.0.9:1", message.WriteRequest{
		RequestID: 5, ConfigName: "main", Version: 5, Body: []byte(document("")),
	})
	store.env.Now += store.machine.settings.Lease()
	store.machine.Tick(store.env)
	store.drain()
	c.Assert(store.responses, qt.HasLen, 1)
	c.Assert(errcode.Code(store.responses[0].Code), qt.Equals, errcode.ConfigurationUnsure)
	c.Assert(store.responses[0].Detail, qt.Equals, "the lease was lost midway")
}
