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
	askerAddress = "10.0.0.1:7000"
	// largestBody of a configuration, in bytes.
	largestBody = 1 << 20
	// signatureMark stands between the identity and the digest of the member list in what a
	// discovered voter signs with.
	signatureMark = "\x1f"
	// memberListDigest is the digest of the member list on the disks of discovered voters.
	memberListDigest = "2i9bztu77jz23"
)

// signedBy is what a voter of a golden disk signs with.
func signedBy(golden goldenDisk, identity string) string {
	if golden.discovered {
		return identity + signatureMark + memberListDigest
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

// onlyEffect returns the only effect that a machine left.
func onlyEffect(c *qt.C, env *statemachine.Env) any {
	effects := env.Drain()
	c.Assert(effects, qt.HasLen, 1)
	return effects[0]
}

// onlyAnswer returns the only message that a machine sent back, and left no other effect.
func onlyAnswer(c *qt.C, env *statemachine.Env) any {
	sent, isSend := onlyEffect(c, env).(statemachine.Send)
	c.Assert(isSend, qt.IsTrue)
	c.Assert(sent.To, qt.Equals, askerAddress)
	return sent.Message
}

// answerTo returns the only answer of the machine that is built from a golden disk.
func answerTo(c *qt.C, golden goldenDisk, request any) any {
	env := statemachine.NewEnv(1)
	runningMachine(c, golden).Handle(env, askerAddress, request)
	return onlyAnswer(c, env)
}

// A voter tells a new holder of the lease the position and the hash of the log on its disk. The
// other one compares both with its own, so they may not differ between versions.
func TestPositionsOfGoldenDisks(t *testing.T) {
	for _, told := range []struct {
		disk                      string
		epoch, atEpoch, seq, hash int64
		asker, identity           string
	}{
		{"configstore-discovered", 1, 1, 8, -4370439740162938801, "3", discoveredThird},
		{"configstore-named", 1, 1, 8, -4370439740162938801, "3", namedThird},
		{"configstore-settled", 5, 5, 2, 2486452281700671920, "1", namedReplacement},
	} {
		t.Run(told.disk, func(t *testing.T) {
			c := qt.New(t)
			golden := diskNamed(c, told.disk)
			answer := answerTo(c, golden, message.LogPositionRequest{
				Epoch: told.epoch, Voter: told.asker, Identity: signedBy(golden, told.identity),
			})
			c.Assert(answer, qt.DeepEquals, any(message.LogPositionResponse{
				Epoch:         told.epoch,
				Voter:         "2",
				Identity:      signedBy(golden, expectedConfigStores()[told.disk].Voter.Identity),
				PositionEpoch: told.atEpoch,
				PositionSeq:   told.seq,
				Hash:          told.hash,
			}))
		})
	}
}

// The log travels with differences for contents: the first version of a configuration from
// nothing, each other one from the version before it.
func TestTravellingLogOfGoldenDisks(t *testing.T) {
	c := qt.New(t)
	golden, state := diskNamed(c, "configstore-named"), expectedConfigStores()["configstore-named"]
	answer := answerTo(c, golden, message.LogSnapshotRequest{Epoch: 1, Voter: "3", Identity: namedThird})
	log, isLog := answer.(message.LogSnapshot)
	c.Assert(isLog, qt.IsTrue)
	before := message.StoredConfiguration{}
	for index, entry := range log.Configurations {
		if entry.ConfigName != before.ConfigName {
			before = message.StoredConfiguration{}
		}
		body, err := delta.Apply(before.Body, entry.Body, largestBody)
		c.Assert(err, qt.IsNil)
		entry.Body = body
		log.Configurations[index], before = entry, entry
	}
	c.Assert(log, qt.DeepEquals, message.LogSnapshot{
		Epoch: 1, Voter: "2", PositionEpoch: 1, PositionSeq: 8, Configurations: state.Configurations, History: state.History,
	})
}

// An append as an earlier build sends it is taken, written as its record, and confirmed.
func TestTravellingAppendOnAGoldenDisk(t *testing.T) {
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
	machine.Handle(env, askerAddress, message.LogAppendDelta{
		Epoch: 1, Seq: 9, Voter: "1", Identity: namedReplacement,
		ConfigName: "main", Version: version, BaseVersion: base, Difference: fromHex(c, difference), Digest: digest[:],
	})
	write, isWrite := onlyEffect(c, env).(statemachine.Write)
	c.Assert(isWrite, qt.IsTrue)
	c.Assert(decode(c, write.Record), qt.DeepEquals, any(message.LogAppend{
		Epoch: 1, Seq: 9, Voter: "1", Identity: namedReplacement, Configuration: entry,
	}))
	machine.Synced(env, write.RequestID, nil)
	c.Assert(onlyAnswer(c, env), qt.DeepEquals, any(message.LogAppended{
		Epoch: 1, Seq: 9, Voter: "2", Identity: namedSecond,
	}))
}

// A registry tells a new holder of the usage lease what its disk holds of usage.
func TestUsageOfGoldenDisks(t *testing.T) {
	for _, told := range []struct {
		disk            string
		epoch           int64
		voter           string
		asker, identity string
	}{
		{"registry-discovered", 1, "3", "2", discoveredSecond},
		{"registry-named", 1, "3", "2", namedSecond},
		{"registry-settled", 2, "2", "1", discoveredReplacement},
	} {
		t.Run(told.disk, func(t *testing.T) {
			c := qt.New(t)
			golden, state := diskNamed(c, told.disk), expectedRegistries()[told.disk]
			answer := answerTo(c, golden, message.UsageRead{
				Epoch: told.epoch, Voter: told.asker, Identity: signedBy(golden, told.identity),
			})
			c.Assert(answer, qt.DeepEquals, any(message.UsageReadResponse{
				Epoch:              told.epoch,
				Voter:              told.voter,
				Identity:           signedBy(golden, state.Voter.Identity),
				Sealed:             state.Sealed,
				LastReportedWindow: state.LastReportedWindow,
				Unreported:         state.Usage,
			}))
		})
	}
}

func diskNamed(c *qt.C, name string) goldenDisk {
	for _, golden := range goldenDisks {
		if golden.name == name {
			return golden
		}
	}
	c.Fatalf("no golden disk %s", name)
	return goldenDisk{}
}

func fromHex(c *qt.C, text string) []byte {
	body, err := hex.DecodeString(text)
	c.Assert(err, qt.IsNil)
	return body
}

// New counts of a proxy go on under the name that its life has on the disk.
func TestCountsOnAGoldenDisk(t *testing.T) {
	c := qt.New(t)
	machine, env := runningMachine(c, diskNamed(c, "registry-named")), statemachine.NewEnv(1)
	held := usageHeld(200_002, 38)
	machine.Handle(env, proxyAddress, message.UsageUpdate{
		Proxy: "proxy/p", StartTime: goldenBirth, Sequence: 38,
		Counts: []message.UsageCount{{Window: 200_002, Counts: held.Proxies[0].Counts, InFlight: held.Proxies[0].InFlight}},
	})
	write, isWrite := onlyEffect(c, env).(statemachine.Write)
	c.Assert(isWrite, qt.IsTrue)
	c.Assert(decode(c, write.Record), qt.DeepEquals, any(held))
	state, isState := decode(c, machine.Snapshot()).(message.RegistryState)
	c.Assert(isState, qt.IsTrue)
	c.Assert(state.Usage, qt.DeepEquals, held)
}
