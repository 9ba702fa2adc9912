package storage_test

// The tests in this file open disks of the registry and the configstore that an earlier build wrote, and
// check that later builds restore the same state from them.

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/configstore"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// update enables the generation of missing golden disks. Existing ones are never changed.
var update = flag.Bool("update", false, "write the golden disks that are missing in testdata/disks")

const (
	// goldenProxyStartTime is the start time of the proxy and of the processes, in nanoseconds since 1970.
	goldenProxyStartTime = 1_234_567
	logFile              = "log"
	// forcedEpochIncrease is the number that a forced recovery adds to the epochs of all leases.
	forcedEpochIncrease = 1 << 20
)

var (
	goldenVoters      = []string{"1", "2", "3"}
	goldenZones       = []string{"east", "west"}
	goldenConfigNames = []string{"main", "other"}
	diskFiles         = []string{logFile, "slot.0", "slot.1"}
)

// diskMachine is a state machine of either role, which is restored from a disk.
type diskMachine interface {
	statemachine.Machine
	storage.Restorable
	ForceRecover() []byte
	VoterState() message.VoterState
}

// goldenDisk is the disk of one of three processes of a role.
type goldenDisk struct {
	name       string // of its directory
	role       string
	discovered bool // the settings contain the number of voters, not their names
	number     int  // index of the process
	settled    bool // from a longer run, without a guarantee that the log contains every type of record
}

// goldenDisks lists the disks in testdata/disks.
var goldenDisks = []goldenDisk{
	{name: "configstore-discovered", role: message.RoleConfigStore, discovered: true, number: 1},
	{name: "configstore-named", role: message.RoleConfigStore, number: 1},
	{name: "configstore-settled", role: message.RoleConfigStore, number: 1, settled: true},
	{name: "registry-discovered", role: message.RoleRegistry, discovered: true, number: 2},
	{name: "registry-named", role: message.RoleRegistry, number: 2},
	{name: "registry-settled", role: message.RoleRegistry, discovered: true, number: 1, settled: true},
}

func (g goldenDisk) path() string { return filepath.Join("testdata", "disks", g.name) }

// recordTypes returns the sorted types of the records that a process of the disk's role writes.
func (g goldenDisk) recordTypes() []string {
	records := []any{message.VoterState{}, message.Vote{}, message.KnownAddresses{}}
	if g.role == message.RoleRegistry {
		records = append(records, message.RosterChange{}, message.UsageSealed{}, message.UnreportedUsage{}, message.UsageReported{})
	} else {
		records = append(records, message.LogRecommit{}, message.LogAppend{})
	}
	types := map[string]bool{}
	for _, record := range records {
		types[fmt.Sprintf("%T", record)] = true
	}
	return slices.Sorted(maps.Keys(types))
}

// copyTo copies the disk into a temporary directory, which the test may modify.
func (g goldenDisk) copyTo(c *qt.C) storage.OSDirectory {
	path := filepath.Join(c.TempDir(), "disk")
	c.Assert(os.CopyFS(path, os.DirFS(g.path())), qt.IsNil)
	directory, err := storage.NewOSDirectory(path)
	c.Assert(err, qt.IsNil)
	return directory
}

// build returns a machine with the state of the disk.
func (g goldenDisk) build(snapshot []byte, records [][]byte) (diskMachine, error) {
	cfg, self := goldenSettings(g.number, g.discovered), goldenMember(g.role, g.number, g.discovered)
	return newMachine(g.role, cfg, self, snapshot, records)
}

// newMachine returns a machine of a role.
func newMachine(
	role string, cfg settings.Settings, self message.Member, snapshot []byte, records [][]byte,
) (diskMachine, error) {
	if role == message.RoleRegistry {
		return registry.New(cfg, self, snapshot, records)
	}
	return configstore.New(cfg, self, snapshot, records)
}

// goldenAddress returns the address of one of the three processes.
func goldenAddress(number int) string { return fmt.Sprintf("10.0.0.%s:7000", goldenVoters[number]) }

// goldenSettings returns the settings of one of the three processes.
func goldenSettings(number int, discovered bool) settings.Settings {
	cfg := settings.Default()
	cfg.Node = "node-" + goldenVoters[number]
	cfg.Zone = goldenZones[0]
	cfg.Zones = goldenZones
	cfg.Address = goldenAddress(number)
	cfg.Voters = goldenVoters
	cfg.ConfigNames = goldenConfigNames
	cfg.PreferredHolders = map[string]string{"east": "1", "west": "2", settings.UsageLease: "3", settings.ConfigLogLease: "1"}
	for other := range goldenVoters {
		cfg.Seeds = append(cfg.Seeds, goldenAddress(other))
	}
	if discovered {
		cfg.VoterCount = int64(len(goldenVoters))
		cfg.Bootstrap = true
	} else {
		cfg.Voter = goldenVoters[number]
	}
	return cfg
}

// goldenMember returns the member entry of one of the three processes.
func goldenMember(role string, number int, discovered bool) message.Member {
	cfg := goldenSettings(number, discovered)
	return message.Member{
		Name:      role + "/" + cfg.Node,
		Role:      role,
		Voter:     cfg.Voter,
		Zone:      cfg.Zone,
		Address:   cfg.Address,
		StartTime: goldenProxyStartTime,
	}
}

// typesOf returns the distinct types of encoded records, sorted.
func typesOf(c *qt.C, records [][]byte) []string {
	types := map[string]bool{}
	for _, record := range records {
		types[fmt.Sprintf("%T", decode(c, record))] = true
	}
	return slices.Sorted(maps.Keys(types))
}

// decode returns the message in an encoded record or snapshot.
func decode(c *qt.C, body []byte) any {
	decoded, err := message.Decode(body)
	c.Assert(err, qt.IsNil)
	return decoded
}

// expectedState returns the state on a golden disk.
func expectedState(c *qt.C, golden goldenDisk) any {
	if state, found := expectedRegistries()[golden.name]; found {
		return state
	}
	state, found := expectedConfigStores()[golden.name]
	c.Assert(found, qt.IsTrue)
	return state
}

// stateOnDisk opens a directory and returns the complete state of the machine that is built from it.
func (g goldenDisk) stateOnDisk(c *qt.C, directory storage.Directory) any {
	_, snapshot, records, err := storage.Open(directory)
	c.Assert(err, qt.IsNil)
	machine, err := g.build(snapshot, records)
	c.Assert(err, qt.IsNil)
	return decode(c, machine.Snapshot())
}

// forEachDisk runs a test over each golden disk.
func forEachDisk(t *testing.T, check func(c *qt.C, golden goldenDisk)) {
	t.Helper()
	for _, golden := range goldenDisks {
		t.Run(golden.name, func(t *testing.T) { check(qt.New(t), golden) })
	}
}

// Each golden disk contains both slots and a log, and each log that is not of a settled disk contains every
// type of record.
func TestGoldenDisksContainAllRecordTypes(t *testing.T) {
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		if *update {
			golden.generateIfMissing(c)
		}
		for _, name := range diskFiles {
			_, err := os.Stat(filepath.Join(golden.path(), name))
			c.Check(err, qt.IsNil)
		}
		_, snapshot, records, err := storage.Open(golden.copyTo(c))
		c.Assert(err, qt.IsNil)
		expectedSnapshot := any(message.ConfigStoreState{})
		if golden.role == message.RoleRegistry {
			expectedSnapshot = message.RegistryState{}
		}
		c.Check(fmt.Sprintf("%T", decode(c, snapshot)), qt.Equals, fmt.Sprintf("%T", expectedSnapshot))
		if !golden.settled {
			c.Check(typesOf(c, records), qt.DeepEquals, golden.recordTypes())
		}
	})
}

// The state that is restored from a golden disk must not change.
func TestGoldenDisksRestoreExpectedState(t *testing.T) {
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		c.Assert(golden.stateOnDisk(c, golden.copyTo(c)), qt.DeepEquals, expectedState(c, golden))
	})
}

// Opening a disk without a torn frame changes no file.
func TestOpenDoesNotModifyGoldenDisks(t *testing.T) {
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		directory := golden.copyTo(c)
		golden.stateOnDisk(c, directory)
		for _, name := range diskFiles {
			original, err := os.ReadFile(filepath.Join(golden.path(), name))
			c.Assert(err, qt.IsNil)
			content, err := directory.Read(name)
			c.Assert(err, qt.IsNil)
			c.Check(content, qt.DeepEquals, original, qt.Commentf("%s", name))
		}
	})
}

// Recover writes the state as a new snapshot and empties the log; the state stays the same.
func TestRecoverRewritesGoldenDisks(t *testing.T) {
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		directory := golden.copyTo(c)
		_, machine, err := storage.Recover(directory, golden.build)
		c.Assert(err, qt.IsNil)
		c.Check(decode(c, machine.Snapshot()), qt.DeepEquals, expectedState(c, golden))
		_, _, records, err := storage.Open(directory)
		c.Assert(err, qt.IsNil)
		c.Check(records, qt.HasLen, 0)
		c.Check(golden.stateOnDisk(c, directory), qt.DeepEquals, expectedState(c, golden))
	})
}

// expectedStateWithoutLastFrame returns the state on a golden disk whose last frame was removed.
func expectedStateWithoutLastFrame(c *qt.C, golden goldenDisk) any {
	switch golden.name {
	case "configstore-discovered":
		state := expectedConfigStores()[golden.name]
		state.Voter.MemberList["1"] = discoveredFirst
		return state
	case "configstore-named":
		state := expectedConfigStores()[golden.name]
		state.Voter.MemberList["1"] = namedFirst
		state.Voter.ReplacedIdentities = []string{}
		return state
	case "configstore-settled":
		state := expectedConfigStores()[golden.name]
		state.Seq = 1
		state.Configurations = state.Configurations[:len(state.Configurations)-1]
		state.History = state.History[:len(state.History)-1]
		return state
	case "registry-discovered":
		state := expectedRegistries()[golden.name]
		state.Votes[0] = message.Vote{LeaseName: "east", Epoch: 1, Holder: "1", Identity: discoveredFirst}
		return state
	case "registry-named":
		state := expectedRegistries()[golden.name]
		state.Votes[0] = message.Vote{LeaseName: "east", Epoch: 1, Holder: "1", Identity: namedFirst}
		return state
	case "registry-settled":
		state := expectedRegistries()[golden.name]
		state.LastReportedWindow = 200_003
		return state
	}
	c.Fatalf("no expected state for golden disk %q", golden.name)
	return nil
}

// If the last frame is torn, Open removes it and returns the records before it.
func TestGoldenDisksWithTornLastFrame(t *testing.T) {
	const tornBytes = 3
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		directory := golden.copyTo(c)
		body, err := directory.Read(logFile)
		c.Assert(err, qt.IsNil)
		c.Assert(directory.Truncate(logFile, int64(len(body)-tornBytes)), qt.IsNil)
		expected := expectedStateWithoutLastFrame(c, golden)
		c.Check(golden.stateOnDisk(c, directory), qt.DeepEquals, expected)
		remaining, err := directory.Read(logFile)
		c.Assert(err, qt.IsNil)
		c.Check(len(remaining) < len(body)-tornBytes, qt.IsTrue)
		c.Check(remaining, qt.DeepEquals, body[:len(remaining)])
		c.Check(golden.stateOnDisk(c, directory), qt.DeepEquals, expected)
	})
}

// A forced recovery leaves only the own voter on the member list, adds the identities of the others to the
// replaced ones, and raises the epochs of all leases.
func TestForceRecoverOfGoldenDisks(t *testing.T) {
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		_, snapshot, records, err := storage.Open(golden.copyTo(c))
		c.Assert(err, qt.IsNil)
		machine, err := golden.build(snapshot, records)
		c.Assert(err, qt.IsNil)
		before := machine.VoterState()
		expectedVoter, expectedVotes := voterAndVotes(c, expectedState(c, golden))
		c.Check(before, qt.DeepEquals, expectedVoter)
		expectedMembers, expectedReplaced := map[string]string{}, slices.Clone(expectedVoter.ReplacedIdentities)
		for voter, identity := range expectedVoter.MemberList {
			expectedMembers[voter] = ""
			if identity == expectedVoter.Identity {
				expectedMembers[voter] = identity
			} else {
				expectedReplaced = append(expectedReplaced, identity)
			}
		}
		slices.Sort(expectedReplaced)

		voter, votes := voterAndVotes(c, decode(c, machine.ForceRecover()))
		slices.Sort(voter.ReplacedIdentities)
		c.Check(voter.MemberList, qt.DeepEquals, expectedMembers)
		c.Check(voter.ReplacedIdentities, qt.DeepEquals, expectedReplaced)
		for index := range expectedVotes {
			expectedVotes[index].Epoch += forcedEpochIncrease
		}
		c.Check(votes, qt.DeepEquals, expectedVotes)
	})
}

// voterAndVotes returns the fields that the states of both roles have in common.
func voterAndVotes(c *qt.C, state any) (message.VoterState, []message.Vote) {
	switch decoded := state.(type) {
	case message.RegistryState:
		return decoded.Voter, decoded.Votes
	case message.ConfigStoreState:
		return decoded.Voter, decoded.Votes
	}
	c.Fatalf("expected a RegistryState or a ConfigStoreState, found %T", state)
	return message.VoterState{}, nil
}
