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

// singleVoterStore is the only voter of its group, with a simulated disk and clock.
type singleVoterStore struct {
	machine   *Machine
	env       *statemachine.Env
	writes    []int64
	responses []message.StoreResponse
}

// newSingleVoterStore returns a store that serves in a write mode of settings.Settings.Writes.
func newSingleVoterStore(c *qt.C, writes string) *singleVoterStore {
	cfg := settings.Default()
	cfg.Node, cfg.VoterCount, cfg.Voters, cfg.Bootstrap, cfg.WritePolicy = "one", 1, settings.VoterNames(1), true, writes
	cfg.Seeds = []string{"10.0.0.1:1"}
	m, err := New(cfg, message.Member{Name: "configstore/one", Address: "10.0.0.1:2"}, nil, nil)
	c.Assert(err, qt.IsNil)
	store := &singleVoterStore{machine: m, env: statemachine.NewEnv(1)}
	for range 200 {
		store.env.Now += 25 * time.Millisecond
		m.Tick(store.env)
		store.drain()
		store.sync()
	}
	c.Assert(m.Serving(), qt.IsTrue)
	return store
}

// drain collects the writes and the responses that the machine has issued.
func (s *singleVoterStore) drain() {
	for _, effect := range s.env.Drain() {
		switch effect := effect.(type) {
		case statemachine.Write:
			s.writes = append(s.writes, effect.RequestID)
		case statemachine.Send:
			if response, isResponse := effect.Message.(message.StoreResponse); isResponse {
				s.responses = append(s.responses, response)
			}
		}
	}
}

// sync reports all writes as durable, including those that follow from that.
func (s *singleVoterStore) sync() {
	for len(s.writes) > 0 {
		requestID := s.writes[0]
		s.writes = s.writes[1:]
		s.machine.Synced(s.env, requestID, nil)
		s.drain()
	}
}

// write sends a write and returns the responses that were sent before the disk had synced, and all
// responses.
func (s *singleVoterStore) write(version int64, body string) (early, all []message.StoreResponse) {
	s.responses = nil
	s.machine.Handle(s.env, "10.0.0.9:1", message.WriteRequest{
		RequestID: version, ConfigName: "main", Version: version, Body: []byte(body),
	})
	s.drain()
	early = s.responses
	s.sync()
	return early, s.responses
}

// document returns a configuration that begins with the given fields, each followed by a comma.
func document(fields string) string {
	return `{` + fields + `"services":["x"],"tenants":[],"routes":[]}`
}

// writeCode sends a write and returns the code of its only response.
func (s *singleVoterStore) writeCode(c *qt.C, version int64, body string) errcode.Code {
	_, all := s.write(version, body)
	c.Assert(all, qt.HasLen, 1)
	return errcode.Code(all[0].Code)
}

func TestWritesRising(t *testing.T) {
	c := qt.New(t)
	store := newSingleVoterStore(c, settings.WritesRising)
	c.Assert(store.writeCode(c, 5, document("")), qt.Equals, errcode.OK)
	c.Assert(store.writeCode(c, 5, document("")), qt.Equals, errcode.OK)
	c.Assert(store.writeCode(c, 5, document(`"note":"other",`)), qt.Equals, errcode.ConfigurationConflict)
	c.Assert(store.writeCode(c, 4, `{`), qt.Equals, errcode.ConfigurationConflict)
	c.Assert(store.writeCode(c, 6, document(`"version":7,`)), qt.Equals, errcode.ConfigurationBad)
	c.Assert(store.writeCode(c, 6, document(`"version":6,`)), qt.Equals, errcode.OK)
	c.Assert(store.writeCode(c, 0, document(`"version":8,`)), qt.Equals, errcode.OK)
	c.Assert(store.writeCode(c, 0, document("")), qt.Equals, errcode.ConfigurationBad)
	current, _ := store.machine.current("main")
	c.Assert(current.Version, qt.Equals, int64(8))
}

func TestWritesHighest(t *testing.T) {
	c := qt.New(t)
	store := newSingleVoterStore(c, settings.WritesHighest)
	c.Assert(store.writeCode(c, 5, document("")), qt.Equals, errcode.OK)
	_, all := store.write(4, document(`"note":"older",`))
	c.Assert(all, qt.HasLen, 1)
	c.Assert(errcode.Code(all[0].Code), qt.Equals, errcode.OK)
	c.Assert(all[0].Version, qt.Equals, int64(5))
	c.Assert(string(all[0].Body), qt.Equals, document(""))
	c.Assert(store.writeCode(c, 5, document(`"note":"other bytes",`)), qt.Equals, errcode.ConfigurationConflict)
	_, all = store.write(3, document(`"colour":1,`))
	c.Assert(errcode.Code(all[0].Code), qt.Equals, errcode.ConfigurationBad)
	c.Assert(all[0].Faults, qt.DeepEquals, []string{"colour: unknown field"})
	_, all = store.write(3, document(`"version":2,`))
	c.Assert(all[0].Faults, qt.DeepEquals, []string{"version: differs from the number put"})
	c.Assert(store.writeCode(c, 3, document(`"version":0,`)), qt.Equals, errcode.ConfigurationBad)
	c.Assert(store.writeCode(c, 0, document(`"version":4,`)), qt.Equals, errcode.OK)
	current, _ := store.machine.current("main")
	c.Assert(current.Version, qt.Equals, int64(5))
	c.Assert(string(current.Body), qt.Equals, document(""))
	c.Assert(store.machine.log.versions["main"], qt.HasLen, 1)
}

// A write with a lower number than the write in flight is acknowledged only after that is committed.
func TestOlderNumberWaitsForTheWriteInFlight(t *testing.T) {
	c := qt.New(t)
	store := newSingleVoterStore(c, settings.WritesHighest)
	c.Assert(store.writeCode(c, 1, document("")), qt.Equals, errcode.OK)
	store.responses = nil
	for _, version := range []int64{9, 9, 3} {
		request := message.WriteRequest{RequestID: version, ConfigName: "main", Version: version, Body: []byte(document(""))}
		store.machine.Handle(store.env, "10.0.0.9:1", request)
	}
	store.drain()
	c.Assert(store.responses, qt.HasLen, 0)
	store.sync()
	c.Assert(store.responses, qt.HasLen, 3)
	for _, response := range store.responses {
		c.Assert(errcode.Code(response.Code), qt.Equals, errcode.OK)
		c.Assert(response.Version, qt.Equals, int64(9))
	}
}

// Content that the registry has checked is not checked again on the goroutine that renews the lease, and
// the response contains the faults that the registry found.
func TestCheckedContentIsNotCheckedAgain(t *testing.T) {
	c := qt.New(t)
	store := newSingleVoterStore(c, settings.WritesRising)
	send := func(version int64, body string, check message.ContentCheck) message.StoreResponse {
		store.responses = nil
		request := message.WriteRequest{RequestID: version, ConfigName: "main", Version: version, Body: []byte(body), Check: check}
		store.machine.Handle(store.env, "10.0.0.9:1", request)
		store.drain()
		store.sync()
		c.Assert(store.responses, qt.HasLen, 1)
		return store.responses[0]
	}
	refused := send(1, document(""), message.ContentCheck{Done: true, Faults: []string{"found elsewhere"}})
	c.Assert(errcode.Code(refused.Code), qt.Equals, errcode.ConfigurationBad)
	c.Assert(refused.Faults, qt.DeepEquals, []string{"found elsewhere"})
	refused = send(1, document(""), message.ContentCheck{Done: true, TooLarge: true})
	c.Assert(errcode.Code(refused.Code), qt.Equals, errcode.ConfigurationTooLarge)
	c.Assert(errcode.Code(send(1, "no check would let this pass", message.ContentCheck{Done: true}).Code), qt.Equals, errcode.OK)
	c.Assert(errcode.Code(send(2, "no check would let this pass", message.ContentCheck{}).Code), qt.Equals, errcode.ConfigurationBad)
}
