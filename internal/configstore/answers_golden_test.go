package configstore

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// storeAnswer is what a client is told of a write.
type storeAnswer struct {
	Code   errcode.Code
	Detail string
	Faults []string
}

// answerTo writes, and returns the only answer.
func (b *configLog) answerTo(c *qt.C, version int64, body string) storeAnswer {
	_, all := b.write(version, body)
	c.Assert(all, qt.HasLen, 1)
	return storeAnswer{errcode.Code(all[0].Code), all[0].Detail, all[0].Faults}
}

func answered(code errcode.Code, detail string, faults ...string) storeAnswer {
	return storeAnswer{code, detail, append([]string{}, faults...)}
}

// The texts in the answers to writes go from the configstore through a registry to the operator.
func TestAnswersToWritesStayAsTheyAre(t *testing.T) {
	c := qt.New(t)
	rising, highest := newConfigLog(c, settings.WritesRising), newConfigLog(c, settings.WritesHighest)
	first, second := document(""), document(`"note":"second",`)
	for _, b := range []*configLog{rising, highest} {
		c.Assert(b.answerTo(c, 5, first), qt.DeepEquals, answered(errcode.OK, ""))
		c.Check(b.answerTo(c, 5, second), qt.DeepEquals,
			answered(errcode.ConfigurationConflict, "another content was committed under this number"))
		c.Check(b.answerTo(c, 6, document(`"version":7,`)), qt.DeepEquals,
			answered(errcode.ConfigurationBad, "", "version: differs from the number put"))
		c.Check(b.answerTo(c, 0, first), qt.DeepEquals,
			answered(errcode.ConfigurationBad, "", "$: want a version above 0 and one of the configurations of the settings"))
	}
	c.Check(rising.answerTo(c, 5, first), qt.DeepEquals, answered(errcode.OK, "already committed"))
	c.Check(rising.answerTo(c, 4, second), qt.DeepEquals,
		answered(errcode.ConfigurationConflict, "the current version is 5"))
	c.Check(highest.answerTo(c, 5, first), qt.DeepEquals, answered(errcode.OK, "the current version is 5"))
	c.Check(highest.answerTo(c, 4, second), qt.DeepEquals, answered(errcode.OK, "the current version is 5"))

	rising.m.log.history.limit = 4
	for version := int64(6); version < 20; version++ {
		c.Assert(rising.answerTo(c, version, first).Code, qt.Equals, errcode.OK)
	}
	c.Check(rising.answerTo(c, 5, first), qt.DeepEquals,
		answered(errcode.ConfigurationUnsure, "this number is older than what is remembered"))

	rising.m.settings.Limits.Queue = 0
	c.Check(rising.answerTo(c, 30, first), qt.DeepEquals, answered(errcode.ConfigurationNoHolder, "too many puts pending"))
}

// A write whose lease is lost before a majority has it may stand or not.
func TestAnswerToAWriteInFlightStaysAsItIs(t *testing.T) {
	c := qt.New(t)
	b := newConfigLog(c, settings.WritesRising)
	b.response = nil
	b.m.Handle(b.env, "10.0.0.9:1", message.WriteRequest{
		RequestID: 5, ConfigName: "main", Version: 5, Body: []byte(document("")),
	})
	b.env.Now += b.m.settings.Lease()
	b.m.Tick(b.env)
	b.drain()
	c.Assert(b.response, qt.HasLen, 1)
	c.Assert(errcode.Code(b.response[0].Code), qt.Equals, errcode.ConfigurationUnsure)
	c.Assert(b.response[0].Detail, qt.Equals, "the lease was lost midway")
}
