package distribution

import (
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/delta"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// testBody is the configuration body of all simulated parents, in every version.
const testBody = "a configuration"

// testTree runs a proxy's Distribution with simulated registries as parents. The first registry is in
// the proxy's zone, the others are in another zone.
type testTree struct {
	c                *qt.C
	settings         settings.Settings
	distribution     *Distribution
	members          *membership.Membership
	env              *statemachine.Env
	requestedParents []string                        // parents in the order of the requests, without consecutive repetitions
	lastResorts      []string                        // parents that received a last-resort request
	ages             map[string]func() time.Duration // age of each parent's content
	full             map[string]bool                 // parents that refuse all but last-resort requests
	version          map[string]int64                // of the configuration, by parent; 1 if not set
}

// newTestTree returns a proxy whose parents may be the given roots, all of them current at first.
func newTestTree(c *qt.C, seed uint64, roots ...string) *testTree {
	cfg := settings.Default()
	cfg.Zone, cfg.Seeds = "d", []string{"10.0.0.1:1"}
	self := message.Member{Name: "proxy/me", Role: message.RoleProxy, Zone: "d", Address: "me"}
	tree := &testTree{
		c:        c,
		settings: cfg,
		members:  membership.New(cfg, self, nil),
		env:      statemachine.NewEnv(seed),
		ages:     map[string]func() time.Duration{},
		full:     map[string]bool{},
		version:  map[string]int64{},
	}
	for index, root := range roots {
		zone := "d"
		if index > 0 {
			zone = "e"
		}
		tree.addMember(root, message.RoleRegistry, zone)
		tree.ages[root] = func() time.Duration { return 0 }
	}
	tree.distribution = New(cfg, tree.members, func(*statemachine.Env, string) {})
	tree.distribution.Subscribe(ConfigurationTopic("main"))
	return tree
}

// addMember adds a member whose address is its name.
func (tree *testTree) addMember(name, role, zone string) {
	member := message.Member{Name: name, Role: role, Zone: zone, Address: name, StartTime: 1}
	tree.members.Handle(tree.env, "", message.JoinResponse{From: member})
}

// makeStale makes the content of the given roots age from now on.
func (tree *testTree) makeStale(roots ...string) {
	since := tree.env.Now
	for _, root := range roots {
		tree.ages[root] = func() time.Duration { return tree.env.Now - since }
	}
}

// run advances the time and answers every request immediately, until a condition holds or the given
// time has passed. It reports whether the condition was met.
func (tree *testTree) run(length time.Duration, until func() bool) bool {
	for end := tree.env.Now + length; tree.env.Now < end; tree.env.Now += 5 * time.Millisecond {
		tree.distribution.Tick(tree.env)
		for _, effect := range tree.env.Drain() {
			sent, isSend := effect.(statemachine.Send)
			request, isRequest := sent.Message.(message.UpdatesRequest)
			if !isSend || !isRequest {
				continue
			}
			if len(tree.requestedParents) == 0 || tree.requestedParents[len(tree.requestedParents)-1] != sent.To {
				tree.requestedParents = append(tree.requestedParents, sent.To)
			}
			if request.LastResort {
				tree.lastResorts = append(tree.lastResorts, sent.To)
			}
			tree.respond(sent.To, request)
		}
		if until != nil && until() {
			return true
		}
	}
	return until == nil
}

// respond passes a simulated parent's answer to the node.
func (tree *testTree) respond(parent string, request message.UpdatesRequest) {
	if tree.full[parent] && !request.LastResort {
		tree.distribution.Handle(tree.env, parent, message.UpdatesResponse{
			Round: request.Round, Parent: parent, RelayPath: []string{}, Refused: true, Reason: message.RefusedFull,
			Alternatives: []string{},
		})
		return
	}
	item := configurationItem(max(1, tree.version[parent]))
	item.Age = int64(tree.ages[parent]())
	tree.distribution.Handle(tree.env, parent, testResponse(request.Round, []string{parent}, item))
}

// testResponse returns an answer of the last member of a path.
func testResponse(round int64, path []string, items ...message.UpdateItem) message.UpdatesResponse {
	return message.UpdatesResponse{Round: round, Parent: path[len(path)-1], RelayPath: path, Alternatives: []string{}, Items: items}
}

// configurationItem returns a snapshot of a version of the configuration with age zero.
func configurationItem(version int64) message.UpdateItem {
	body := []byte(testBody)
	compressed := delta.Encode(nil, body)
	return message.UpdateItem{
		Position:   configurationPosition(ConfigurationTopic("main"), version, body),
		HasContent: true, Snapshot: true, Body: compressed, SnapshotBytes: int64(len(compressed)),
	}
}

// parent returns the parent, or an empty string if it has not answered yet.
func (tree *testTree) parent() string {
	parent, path, _ := tree.distribution.Parent()
	if len(path) == 0 {
		return ""
	}
	return parent
}

// configurationVersion returns the version of the node's configuration.
func (tree *testTree) configurationVersion() int64 {
	version, _, _ := tree.distribution.Configuration("main")
	return version
}

// waitForRoot runs for a second, asserts that the node's parent is root, and clears the recorded
// requests.
func (tree *testTree) waitForRoot(root string) {
	tree.run(time.Second, nil)
	tree.c.Assert(tree.parent(), qt.Equals, root)
	tree.requestedParents, tree.lastResorts = nil, nil
}
