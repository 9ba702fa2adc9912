// Disks of the registry and the configstore, as the build wrote them that these tests came with.
// Later builds have to open them, and to find the same state in them.
package storage_test

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

// update writes golden disks that are missing. It never changes one.
var update = flag.Bool("update", false, "write the golden disks that are missing in testdata/disks")

const (
	// goldenBirth is the start of the proxy's life, in nanoseconds since 1970.
	goldenBirth = 1_234_567
	logFile     = "log"
	// epochsSkipped is how far a forced recovery raises the epochs of all leases.
	epochsSkipped = 1 << 20
)

var (
	goldenVoters      = []string{"1", "2", "3"}
	goldenZones       = []string{"east", "west"}
	goldenConfigNames = []string{"main", "other"}
	diskFiles         = []string{logFile, "slot.0", "slot.1"}
)

// diskMachine is a machine whose state is on disk.
type diskMachine interface {
	statemachine.Machine
	storage.Restorable
	ForceRecover() []byte
	VoterState() message.VoterState
}

// goldenDisk is the disk of one of three processes of a role.
type goldenDisk struct {
	name       string // of its folder
	role       string
	discovered bool // the settings count the voters, and don't name them
	number     int  // of the process
	settled    bool // played until the slots hold much, rather than until the log holds everything
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

// recordTypes returns the types of records that a program of the disk's role writes.
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

// copyTo copies the disk into a folder of the test, which may be written to.
func (g goldenDisk) copyTo(c *qt.C) storage.OSDirectory {
	path := filepath.Join(c.TempDir(), "disk")
	c.Assert(os.CopyFS(path, os.DirFS(g.path())), qt.IsNil)
	folder, err := storage.NewOSDirectory(path)
	c.Assert(err, qt.IsNil)
	return folder
}

// build makes the machine of what the disk held.
func (g goldenDisk) build(snapshot []byte, records [][]byte) (diskMachine, error) {
	cfg, self := goldenSettings(g.number, g.discovered), goldenMember(g.role, g.number, g.discovered)
	return newMachine(g.role, cfg, self, snapshot, records)
}

func newMachine(
	role string, cfg settings.Settings, self message.Member, snapshot []byte, records [][]byte,
) (diskMachine, error) {
	if role == message.RoleRegistry {
		return registry.New(cfg, self, snapshot, records)
	}
	return configstore.New(cfg, self, snapshot, records)
}

func goldenAddress(number int) string { return fmt.Sprintf("10.0.0.%s:7000", goldenVoters[number]) }

// goldenSettings are the settings of one of the three processes.
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

// goldenMember is one of the three processes as the others know it.
func goldenMember(role string, number int, discovered bool) message.Member {
	cfg := goldenSettings(number, discovered)
	return message.Member{
		Name:      role + "/" + cfg.Node,
		Role:      role,
		Voter:     cfg.Voter,
		Zone:      cfg.Zone,
		Address:   cfg.Address,
		StartTime: goldenBirth,
	}
}

// typesOf returns the types of encoded records, sorted and each once.
func typesOf(c *qt.C, records [][]byte) []string {
	types := map[string]bool{}
	for _, record := range records {
		types[fmt.Sprintf("%T", decode(c, record))] = true
	}
	return slices.Sorted(maps.Keys(types))
}

func decode(c *qt.C, body []byte) any {
	decoded, err := message.Decode(body)
	c.Assert(err, qt.IsNil)
	return decoded
}

// expectedState returns what stands on a golden disk.
func expectedState(c *qt.C, golden goldenDisk) any {
	if state, found := expectedRegistries()[golden.name]; found {
		return state
	}
	state, found := expectedConfigStores()[golden.name]
	c.Assert(found, qt.IsTrue)
	return state
}

// stateOnDisk opens a folder and returns the whole state of the machine that is built from it.
func (g goldenDisk) stateOnDisk(c *qt.C, folder storage.Directory) any {
	_, snapshot, records, err := storage.Open(folder)
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

// The folders hold what they are there for: both slots, a log, and every type of record.
func TestGoldenDisksHoldEveryTypeOfRecord(t *testing.T) {
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		if *update {
			golden.writeMissing(c)
		}
		for _, name := range diskFiles {
			_, err := os.Stat(filepath.Join(golden.path(), name))
			c.Check(err, qt.IsNil)
		}
		_, snapshot, records, err := storage.Open(golden.copyTo(c))
		c.Assert(err, qt.IsNil)
		wantSnapshot := any(message.ConfigStoreState{})
		if golden.role == message.RoleRegistry {
			wantSnapshot = message.RegistryState{}
		}
		c.Check(fmt.Sprintf("%T", decode(c, snapshot)), qt.Equals, fmt.Sprintf("%T", wantSnapshot))
		if !golden.settled {
			c.Check(typesOf(c, records), qt.DeepEquals, golden.recordTypes())
		}
	})
}

func TestGoldenDisksAreRead(t *testing.T) {
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		c.Assert(golden.stateOnDisk(c, golden.copyTo(c)), qt.DeepEquals, expectedState(c, golden))
	})
}

// Reading changes no file, since nothing is torn.
func TestReadingLeavesGoldenDisksAsTheyAre(t *testing.T) {
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		folder := golden.copyTo(c)
		golden.stateOnDisk(c, folder)
		for _, name := range diskFiles {
			want, err := os.ReadFile(filepath.Join(golden.path(), name))
			c.Assert(err, qt.IsNil)
			got, err := folder.Read(name)
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.DeepEquals, want, qt.Commentf("%s", name))
		}
	})
}

// A disk that is written anew from what was read holds the same state.
func TestGoldenDisksAreWrittenAnew(t *testing.T) {
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		folder := golden.copyTo(c)
		_, machine, err := storage.Recover(folder, golden.build)
		c.Assert(err, qt.IsNil)
		c.Check(decode(c, machine.Snapshot()), qt.DeepEquals, expectedState(c, golden))
		_, _, records, err := storage.Open(folder)
		c.Assert(err, qt.IsNil)
		c.Check(records, qt.HasLen, 0)
		c.Check(golden.stateOnDisk(c, folder), qt.DeepEquals, expectedState(c, golden))
	})
}

// withoutLastFrame returns what stands on a golden disk whose last frame is lost.
func withoutLastFrame(c *qt.C, golden goldenDisk) any {
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
	c.Fatalf("nothing is expected of %s", golden.name)
	return nil
}

// A last frame that a crash has torn is cut off, and all before it is kept.
func TestGoldenDisksWithATornFrameAreRead(t *testing.T) {
	const tornBytes = 3
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		folder := golden.copyTo(c)
		body, err := folder.Read(logFile)
		c.Assert(err, qt.IsNil)
		c.Assert(folder.Truncate(logFile, int64(len(body)-tornBytes)), qt.IsNil)
		want := withoutLastFrame(c, golden)
		c.Check(golden.stateOnDisk(c, folder), qt.DeepEquals, want)
		kept, err := folder.Read(logFile)
		c.Assert(err, qt.IsNil)
		c.Check(len(kept) < len(body)-tornBytes, qt.IsTrue)
		c.Check(kept, qt.DeepEquals, body[:len(kept)])
		c.Check(golden.stateOnDisk(c, folder), qt.DeepEquals, want)
	})
}

// An operator who gives the other voters up finds only this one on the member list, the others
// among the former ones, and every lease's epoch raised.
func TestForceRecoverOfGoldenDisks(t *testing.T) {
	forEachDisk(t, func(c *qt.C, golden goldenDisk) {
		_, snapshot, records, err := storage.Open(golden.copyTo(c))
		c.Assert(err, qt.IsNil)
		machine, err := golden.build(snapshot, records)
		c.Assert(err, qt.IsNil)
		before := machine.VoterState()
		voterBefore, votesBefore := voterAndVotes(c, expectedState(c, golden))
		c.Check(before, qt.DeepEquals, voterBefore)
		wantMembers, wantFormer := map[string]string{}, slices.Clone(voterBefore.ReplacedIdentities)
		for voter, identity := range voterBefore.MemberList {
			wantMembers[voter] = ""
			if identity == voterBefore.Identity {
				wantMembers[voter] = identity
			} else {
				wantFormer = append(wantFormer, identity)
			}
		}
		slices.Sort(wantFormer)

		voter, votes := voterAndVotes(c, decode(c, machine.ForceRecover()))
		slices.Sort(voter.ReplacedIdentities)
		c.Check(voter.MemberList, qt.DeepEquals, wantMembers)
		c.Check(voter.ReplacedIdentities, qt.DeepEquals, wantFormer)
		for index := range votesBefore {
			votesBefore[index].Epoch += epochsSkipped
		}
		c.Check(votes, qt.DeepEquals, votesBefore)
	})
}

// voterAndVotes returns what the states of both roles have in common.
func voterAndVotes(c *qt.C, state any) (message.VoterState, []message.Vote) {
	switch held := state.(type) {
	case message.RegistryState:
		return held.Voter, held.Votes
	case message.ConfigStoreState:
		return held.Voter, held.Votes
	}
	c.Fatalf("a disk holds a %T", state)
	return message.VoterState{}, nil
}
