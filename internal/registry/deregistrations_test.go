package registry

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// endOf returns the deregistration of an incarnation of dispatch-1.
func endOf(incarnation int64) message.Deregistration {
	return message.Deregistration{Service: "dispatch", Instance: "dispatch-1", Incarnation: incarnation}
}

// testDisk is the disk of a registry: a snapshot, and the records that follow it.
type testDisk struct {
	snapshot []byte
	records  [][]byte
}

// votingMachine returns a registry that is a voter of a formed group, from the contents of a disk.
func votingMachine(c *qt.C, disk testDisk) *Machine {
	cfg := settings.Default()
	cfg.Voter, cfg.Voters, cfg.Zones = "1", settings.VoterNames(3), []string{"a"}
	machine, err := New(cfg, message.Member{Name: "registry/n1", Role: message.RoleRegistry, Address: "a1"}, disk.snapshot, disk.records)
	c.Assert(err, qt.IsNil)
	machine.quorum.State.Formed, machine.quorum.State.Voting = true, true
	return machine
}

// sync carries out the writes of a machine, or fails them, and returns the messages that it sends.
func (d *testDisk) sync(machine *Machine, env *statemachine.Env, failure error) []statemachine.Send {
	sent := []statemachine.Send{}
	for effects := env.Drain(); len(effects) > 0; effects = env.Drain() {
		for _, effect := range effects {
			switch effect := effect.(type) {
			case statemachine.Send:
				sent = append(sent, effect)
			case statemachine.Write:
				d.write(effect)
				machine.Synced(env, effect.RequestID, failure)
			}
		}
	}
	return sent
}

// write stores a write.
func (d *testDisk) write(write statemachine.Write) {
	if write.Snapshot != nil {
		d.snapshot, d.records = write.Snapshot, nil
		return
	}
	d.records = append(d.records, write.Record)
}

// confirmations returns the deregistrations that the messages confirm as stored.
func confirmations(sent []statemachine.Send) []message.Deregistration {
	confirmed := []message.Deregistration{}
	for _, send := range sent {
		if stored, isStored := send.Message.(message.DeregistrationsStored); isStored {
			confirmed = append(confirmed, stored.Deregistrations...)
		}
	}
	return confirmed
}

// A deregistration is confirmed to the proxy only once it is on disk, and is known again after a restart,
// also behind a disk snapshot: an acknowledged sign-off was forgotten when its proxy and all registries
// were killed within milliseconds, and the upstream got new requests.
func TestConfirmedDeregistrationSurvivesARestart(t *testing.T) {
	c := qt.New(t)
	disk, env := testDisk{}, statemachine.NewEnv(1)
	machine := votingMachine(c, disk)
	batch := message.HeartbeatBatch{Proxy: "proxy/p", StartTime: 1, Deregistrations: []message.Deregistration{endOf(2)}}
	machine.Handle(env, "p", batch)
	c.Assert(machine.heartbeats.isStored(endOf(2)), qt.IsFalse)
	c.Assert(confirmations(disk.sync(machine, env, nil)), qt.DeepEquals, []message.Deregistration{endOf(2)})
	// The proxy reports it again, since a confirmation may be lost: it is confirmed without another write.
	machine.Handle(env, "p", batch)
	records := len(disk.records)
	c.Assert(confirmations(disk.sync(machine, env, nil)), qt.DeepEquals, []message.Deregistration{endOf(2)})
	c.Assert(disk.records, qt.HasLen, records)

	for _, behindSnapshot := range []bool{false, true} {
		if behindSnapshot {
			machine.WriteSnapshot(env, func(*statemachine.Env, error) {})
			disk.sync(machine, env, nil)
		}
		restarted := votingMachine(c, disk)
		for incarnation, ended := range map[int64]bool{1: true, 2: true, 3: false} {
			registration := heartbeatOf(incarnation, "", 0).heartbeat.Registration
			c.Check(restarted.heartbeats.isDeregistered(registration), qt.Equals, ended, qt.Commentf("%d %t", incarnation, behindSnapshot))
		}
		c.Check(restarted.heartbeats.isStored(endOf(2)), qt.IsTrue)
	}
}

// A deregistration is not confirmed by a disk that fails, nor by a registry that is no voter.
func TestDeregistrationIsNotConfirmedWithoutADisk(t *testing.T) {
	c := qt.New(t)
	batch := message.HeartbeatBatch{Proxy: "proxy/p", StartTime: 1, Deregistrations: []message.Deregistration{endOf(1)}}
	for name, step := range map[string]struct {
		failure error
		voting  bool
	}{
		"failing disk": {errors.New("no space"), true},
		"no voter":     {nil, false},
	} {
		disk, env := testDisk{}, statemachine.NewEnv(1)
		machine := votingMachine(c, disk)
		machine.quorum.State.Voting = step.voting
		machine.Handle(env, "p", batch)
		c.Check(confirmations(disk.sync(machine, env, step.failure)), qt.HasLen, 0, qt.Commentf(name))
	}
}

// A registry that restarts tells its peers what was on its disk: the holder of a zone may have been the one
// that had not stored it. It tells them only what it had on disk at its start, and for a limited time.
func TestRestoredDeregistrationsAreShared(t *testing.T) {
	c := qt.New(t)
	disk, env := testDisk{}, statemachine.NewEnv(1)
	machine := votingMachine(c, disk)
	machine.Handle(env, "p", message.HeartbeatBatch{Proxy: "proxy/p", StartTime: 1, Deregistrations: []message.Deregistration{endOf(1)}})
	disk.sync(machine, env, nil)

	shared := func(machine *Machine, env *statemachine.Env) bool {
		machine.membership.Handle(env, "", message.JoinResponse{From: message.Member{
			Name: "registry/n2", Role: message.RoleRegistry, Address: "a2", Voter: "2", StartTime: 1,
		}})
		env.Drain()
		machine.shareRestoredDeregistrations(env)
		for _, effect := range env.Drain() {
			if send, isSend := effect.(statemachine.Send); isSend && send.Message == endOf(1) && send.To == "a2" {
				return true
			}
		}
		return false
	}
	c.Assert(shared(machine, env), qt.IsFalse) // it has not restarted
	restarted, restartedEnv := votingMachine(c, disk), statemachine.NewEnv(2)
	c.Assert(shared(restarted, restartedEnv), qt.IsTrue)
	restartedEnv.Now += restarted.settings.LeaseTakeover() + time.Millisecond
	c.Assert(shared(restarted, restartedEnv), qt.IsFalse)

	peerDisk, peerEnv := testDisk{}, statemachine.NewEnv(3)
	peer := votingMachine(c, peerDisk)
	peer.Handle(peerEnv, "a1", endOf(1))
	c.Assert(confirmations(peerDisk.sync(peer, peerEnv, nil)), qt.HasLen, 0) // only proxies are told
	c.Assert(peer.heartbeats.isDeregistered(heartbeatOf(1, "", 0).heartbeat.Registration), qt.IsTrue)
	c.Assert(votingMachine(c, peerDisk).heartbeats.isStored(endOf(1)), qt.IsTrue)
}
