package storage_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/delta"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

const (
	senderAddress = "10.0.0.1:7000"
	// maxBodyBytes is the maximum size of a configuration.
	maxBodyBytes = 1 << 20
	// signatureSeparator separates the identity from the digest of the member list in the signature of a
	// discovered voter.
	signatureSeparator = "\x1f"
	// memberListDigest is the digest of the member list on the disks of discovered voters.
	memberListDigest = "2i9bztu77jz23"
)

// voterSignature returns the signature of a voter with an identity: a discovered voter's includes the
// digest of its member list.
func voterSignature(golden goldenDisk, identity string) string {
	if golden.discovered {
		return identity + signatureSeparator + memberListDigest
	}
	return identity
}

// runningMachine returns the machine that is built from a golden disk.
func runningMachine(c *qt.C, golden goldenDisk) diskMachine {
	_, snapshot, records, err := storage.Open(golden.copyTo(c))
	c.Assert(err, qt.IsNil)
	machine, err := golden.build(snapshot, records)
	c.Assert(err, qt.IsNil)
	return machine
}

// onlyEffect returns the only effect that a machine has issued.
func onlyEffect(c *qt.C, env *statemachine.Env) any {
	effects := env.Drain()
	c.Assert(effects, qt.HasLen, 1)
	return effects[0]
}

// onlyReply returns the message to the sender that is the only effect that a machine has issued.
func onlyReply(c *qt.C, env *statemachine.Env) any {
	sent, isSend := onlyEffect(c, env).(statemachine.Send)
	c.Assert(isSend, qt.IsTrue)
	c.Assert(sent.To, qt.Equals, senderAddress)
	return sent.Message
}

// replyTo returns the only reply to a request of the machine that is built from a golden disk.
func replyTo(c *qt.C, golden goldenDisk, request any) any {
	env := statemachine.NewEnv(1)
	runningMachine(c, golden).Handle(env, senderAddress, request)
	return onlyReply(c, env)
}

// A voter reports the position and the hash of the log on its disk to a new holder of the lease. The holder
// compares both with its own, so they must not differ between builds.
func TestPositionsOfGoldenDisks(t *testing.T) {
	for _, test := range []struct {
		disk                      string
		epoch, atEpoch, seq, hash int64
		holder, identity          string
	}{
		{"configstore-discovered", 1, 1, 8, -4370439740162938801, "3", discoveredThird},
		{"configstore-named", 1, 1, 8, -4370439740162938801, "3", namedThird},
		{"configstore-settled", 5, 5, 2, 2486452281700671920, "1", namedReplacement},
	} {
		t.Run(test.disk, func(t *testing.T) {
			c := qt.New(t)
			golden := diskNamed(c, test.disk)
			reply := replyTo(c, golden, message.LogPositionRequest{
				Epoch: test.epoch, Voter: test.holder, Identity: voterSignature(golden, test.identity),
			})
			c.Assert(reply, qt.DeepEquals, any(message.LogPositionResponse{
				Epoch:         test.epoch,
				Voter:         "2",
				Identity:      voterSignature(golden, expectedConfigStores()[test.disk].Voter.Identity),
				PositionEpoch: test.atEpoch,
				PositionSeq:   test.seq,
				Hash:          test.hash,
			}))
		})
	}
}

// A log is sent with its versions encoded as differences: the first version of a configuration from an
// empty body, and each other version from the one before it.
func TestLogSnapshotOfGoldenDisk(t *testing.T) {
	c := qt.New(t)
	golden, state := diskNamed(c, "configstore-named"), expectedConfigStores()["configstore-named"]
	reply := replyTo(c, golden, message.LogSnapshotRequest{Epoch: 1, Voter: "3", Identity: namedThird})
	log, isLog := reply.(message.LogSnapshot)
	c.Assert(isLog, qt.IsTrue)
	previous := message.StoredConfiguration{}
	for index, entry := range log.Configurations {
		if entry.ConfigName != previous.ConfigName {
			previous = message.StoredConfiguration{}
		}
		body, err := delta.Apply(previous.Body, entry.Body, maxBodyBytes)
		c.Assert(err, qt.IsNil)
		entry.Body = body
		log.Configurations[index], previous = entry, entry
	}
	c.Assert(log, qt.DeepEquals, message.LogSnapshot{
		Epoch: 1, Voter: "2", PositionEpoch: 1, PositionSeq: 8, Configurations: state.Configurations, History: state.History,
	})
}

// An append in the encoding of an earlier build is accepted, written as a record, and acknowledged.
func TestLogAppendDeltaOnGoldenDisk(t *testing.T) {
	const (
		version    = 9
		base       = 8
		difference = "04c0410a80400840d1bbfcf55c20af222e225cccc601b52188eede8b97ed5973" +
			"05720cca73cfcb0b511e6cd01e6774216a835c777b216adf1f0000ffff"
	)
	c := qt.New(t)
	machine, env := runningMachine(c, diskNamed(c, "configstore-named")), statemachine.NewEnv(1)
	entry := entriesOf("main", logPosition{version, 1, 9})[0]
	digest := sha256.Sum256(entry.Body)
	machine.Handle(env, senderAddress, message.LogAppendDelta{
		Epoch: 1, Seq: 9, Voter: "1", Identity: namedReplacement,
		ConfigName: "main", Version: version, BaseVersion: base, Difference: fromHex(c, difference), Digest: digest[:],
	})
	write, isWrite := onlyEffect(c, env).(statemachine.Write)
	c.Assert(isWrite, qt.IsTrue)
	c.Assert(decode(c, write.Record), qt.DeepEquals, any(message.LogAppend{
		Epoch: 1, Seq: 9, Voter: "1", Identity: namedReplacement, Configuration: entry,
	}))
	machine.Synced(env, write.RequestID, nil)
	c.Assert(onlyReply(c, env), qt.DeepEquals, any(message.LogAppended{
		Epoch: 1, Seq: 9, Voter: "2", Identity: namedSecond,
	}))
}

// A registry reports the usage on its disk to a new holder of the usage lease.
func TestUsageOfGoldenDisks(t *testing.T) {
	for _, test := range []struct {
		disk             string
		epoch            int64
		voter            string
		holder, identity string
	}{
		{"registry-discovered", 1, "3", "2", discoveredSecond},
		{"registry-named", 1, "3", "2", namedSecond},
		{"registry-settled", 2, "2", "1", discoveredReplacement},
	} {
		t.Run(test.disk, func(t *testing.T) {
			c := qt.New(t)
			golden, state := diskNamed(c, test.disk), expectedRegistries()[test.disk]
			reply := replyTo(c, golden, message.UsageRead{
				Epoch: test.epoch, Voter: test.holder, Identity: voterSignature(golden, test.identity),
			})
			c.Assert(reply, qt.DeepEquals, any(message.UsageReadResponse{
				Epoch:              test.epoch,
				Voter:              test.voter,
				Identity:           voterSignature(golden, state.Voter.Identity),
				Sealed:             state.Sealed,
				LastReportedWindow: state.LastReportedWindow,
				Unreported:         state.Usage,
			}))
		})
	}
}

// diskNamed returns the golden disk with a name.
func diskNamed(c *qt.C, name string) goldenDisk {
	for _, golden := range goldenDisks {
		if golden.name == name {
			return golden
		}
	}
	c.Fatalf("no golden disk %q", name)
	return goldenDisk{}
}

func fromHex(c *qt.C, text string) []byte {
	body, err := hex.DecodeString(text)
	c.Assert(err, qt.IsNil)
	return body
}

// New counts of a proxy are recorded under the same proxy run as those on the disk.
func TestUsageUpdateOnGoldenDisk(t *testing.T) {
	c := qt.New(t)
	machine, env := runningMachine(c, diskNamed(c, "registry-named")), statemachine.NewEnv(1)
	unreported := unreportedUsage(200_002, 38)
	machine.Handle(env, proxyAddress, message.UsageUpdate{
		Proxy: "proxy/p", StartTime: goldenProxyStartTime, Sequence: 38,
		Counts: []message.UsageCount{{Window: 200_002, Counts: unreported.Proxies[0].Counts, InFlight: unreported.Proxies[0].InFlight}},
	})
	write, isWrite := onlyEffect(c, env).(statemachine.Write)
	c.Assert(isWrite, qt.IsTrue)
	c.Assert(decode(c, write.Record), qt.DeepEquals, any(unreported))
	state, isState := decode(c, machine.Snapshot()).(message.RegistryState)
	c.Assert(isState, qt.IsTrue)
	c.Assert(state.Usage, qt.DeepEquals, unreported)
}
