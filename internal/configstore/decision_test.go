package configstore

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// configLog is a configuration log of one voter that founds its own group.
type configLog struct {
	m        *Machine
	env      *statemachine.Env
	writes   []int64
	response []message.StoreResponse
}

func newConfigLog(c *qt.C, writes string) *configLog {
	cfg := settings.Default()
	cfg.Node, cfg.VoterCount, cfg.Voters, cfg.Bootstrap, cfg.WritePolicy = "one", 1, settings.VoterNames(1), true, writes
	cfg.Seeds = []string{"10.0.0.1:1"}
	m, err := New(cfg, message.Member{Name: "configstore/one", Address: "10.0.0.1:2"}, nil, nil)
	c.Assert(err, qt.IsNil)
	b := &configLog{m: m, env: statemachine.NewEnv(1)}
	for range 200 {
		b.env.Now += 25 * time.Millisecond
		m.Tick(b.env)
		b.drain()
		b.sync()
	}
	c.Assert(m.Serving(), qt.IsTrue)
	return b
}

func (b *configLog) drain() {
	for _, effect := range b.env.Drain() {
		switch done := effect.(type) {
		case statemachine.Write:
			b.writes = append(b.writes, done.RequestID)
		case statemachine.Send:
			if response, isResponse := done.Message.(message.StoreResponse); isResponse {
				b.response = append(b.response, response)
			}
		}
	}
}

func (b *configLog) sync() {
	for len(b.writes) > 0 {
		requestID := b.writes[0]
		b.writes = b.writes[1:]
		b.m.Synced(b.env, requestID, nil)
		b.drain()
	}
}

// write returns the responses that were sent before the disk had synced, and all responses.
func (b *configLog) write(version int64, body string) (early, all []message.StoreResponse) {
	b.response = nil
	b.m.Handle(b.env, "10.0.0.9:1", message.WriteRequest{RequestID: version, ConfigName: "main", Version: version, Body: []byte(body)})
	b.drain()
	early = b.response
	b.sync()
	return early, b.response
}

func document(head string) string {
	return `{` + head + `"services":["x"],"tenants":[],"routes":[]}`
}

func (b *configLog) code(c *qt.C, version int64, body string) errcode.Code {
	_, all := b.write(version, body)
	c.Assert(all, qt.HasLen, 1)
	return errcode.Code(all[0].Code)
}

func TestWritesRising(t *testing.T) {
	c := qt.New(t)
	b := newConfigLog(c, settings.WritesRising)
	c.Assert(b.code(c, 5, document("")), qt.Equals, errcode.OK)
	c.Assert(b.code(c, 5, document("")), qt.Equals, errcode.OK)
	c.Assert(b.code(c, 5, document(`"note":"other",`)), qt.Equals, errcode.ConfigurationConflict)
	c.Assert(b.code(c, 4, `{`), qt.Equals, errcode.ConfigurationConflict)
	c.Assert(b.code(c, 6, document(`"version":7,`)), qt.Equals, errcode.ConfigurationBad)
	c.Assert(b.code(c, 6, document(`"version":6,`)), qt.Equals, errcode.OK)
	c.Assert(b.code(c, 0, document(`"version":8,`)), qt.Equals, errcode.OK)
	c.Assert(b.code(c, 0, document("")), qt.Equals, errcode.ConfigurationBad)
	current, _ := b.m.current("main")
	c.Assert(current.Version, qt.Equals, int64(8))
}

func TestWritesHighest(t *testing.T) {
	c := qt.New(t)
	b := newConfigLog(c, settings.WritesHighest)
	c.Assert(b.code(c, 5, document("")), qt.Equals, errcode.OK)
	_, all := b.write(4, document(`"note":"older",`))
	c.Assert(all, qt.HasLen, 1)
	c.Assert(errcode.Code(all[0].Code), qt.Equals, errcode.OK)
	c.Assert(all[0].Version, qt.Equals, int64(5))
	c.Assert(string(all[0].Body), qt.Equals, document(""))
	c.Assert(b.code(c, 5, document(`"note":"other bytes",`)), qt.Equals, errcode.ConfigurationConflict)
	_, all = b.write(3, document(`"colour":1,`))
	c.Assert(errcode.Code(all[0].Code), qt.Equals, errcode.ConfigurationBad)
	c.Assert(all[0].Faults, qt.DeepEquals, []string{"colour: unknown field"})
	_, all = b.write(3, document(`"version":2,`))
	c.Assert(all[0].Faults, qt.DeepEquals, []string{"version: differs from the number put"})
	c.Assert(b.code(c, 3, document(`"version":0,`)), qt.Equals, errcode.ConfigurationBad)
	c.Assert(b.code(c, 0, document(`"version":4,`)), qt.Equals, errcode.OK)
	current, _ := b.m.current("main")
	c.Assert(current.Version, qt.Equals, int64(5))
	c.Assert(string(current.Body), qt.Equals, document(""))
	c.Assert(b.m.log.versions["main"], qt.HasLen, 1)
}

// A lower number is acknowledged only after the write in flight.
func TestOlderNumberWaitsForTheWriteInFlight(t *testing.T) {
	c := qt.New(t)
	b := newConfigLog(c, settings.WritesHighest)
	c.Assert(b.code(c, 1, document("")), qt.Equals, errcode.OK)
	b.response = nil
	for _, version := range []int64{9, 9, 3} {
		request := message.WriteRequest{RequestID: version, ConfigName: "main", Version: version, Body: []byte(document(""))}
		b.m.Handle(b.env, "10.0.0.9:1", request)
	}
	b.drain()
	c.Assert(b.response, qt.HasLen, 0)
	b.sync()
	c.Assert(b.response, qt.HasLen, 3)
	for _, response := range b.response {
		c.Assert(errcode.Code(response.Code), qt.Equals, errcode.OK)
		c.Assert(response.Version, qt.Equals, int64(9))
	}
}

// A content that the registry has checked is not checked again on the thread that renews the lease, and
// the client gets the faults that the registry found.
func TestContentIsCheckedBeforeItComes(t *testing.T) {
	c := qt.New(t)
	b := newConfigLog(c, settings.WritesRising)
	send := func(version int64, body string, check message.ContentCheck) message.StoreResponse {
		b.response = nil
		request := message.WriteRequest{RequestID: version, ConfigName: "main", Version: version, Body: []byte(body), Check: check}
		b.m.Handle(b.env, "10.0.0.9:1", request)
		b.drain()
		b.sync()
		c.Assert(b.response, qt.HasLen, 1)
		return b.response[0]
	}
	refused := send(1, document(""), message.ContentCheck{Done: true, Faults: []string{"found elsewhere"}})
	c.Assert(errcode.Code(refused.Code), qt.Equals, errcode.ConfigurationBad)
	c.Assert(refused.Faults, qt.DeepEquals, []string{"found elsewhere"})
	refused = send(1, document(""), message.ContentCheck{Done: true, TooLarge: true})
	c.Assert(errcode.Code(refused.Code), qt.Equals, errcode.ConfigurationTooLarge)
	c.Assert(errcode.Code(send(1, "no check would let this pass", message.ContentCheck{Done: true}).Code), qt.Equals, errcode.OK)
	c.Assert(errcode.Code(send(2, "no check would let this pass", message.ContentCheck{}).Code), qt.Equals, errcode.ConfigurationBad)
}
