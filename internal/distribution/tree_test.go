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

// testBody is the configuration that test parents have, whatever its version.
const testBody = "a configuration"

// testTree is a proxy's Distribution among registries, one of them in its own zone, whose answers
// the test makes.
type testTree struct {
	c            *qt.C
	settings     settings.Settings
	distribution *Distribution
	members      *membership.Membership
	env          *statemachine.Env
	asked        []string // parents in the order in which they were asked, without repetitions in a row
	lastResorts  []string // those that were told that they are the last resort
	ages         map[string]func() time.Duration
	full         map[string]bool
	version      map[string]int64 // of the configuration that a parent has; 1 where it is not told
}

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

// addMember makes a member known, which has its name as its address.
func (tree *testTree) addMember(name, role, zone string) {
	member := message.Member{Name: name, Role: role, Zone: zone, Address: name, StartTime: 1}
	tree.members.Handle(tree.env, "", message.JoinResponse{From: member})
}

// makeStale lets what registries know be as old as the time since this moment.
func (tree *testTree) makeStale(roots ...string) {
	since := tree.env.Now
	for _, root := range roots {
		tree.ages[root] = func() time.Duration { return tree.env.Now - since }
	}
}

// play answers every request at once, as its parent would, for some time or until a condition holds;
// it reports whether that was met.
func (tree *testTree) play(length time.Duration, until func() bool) bool {
	for end := tree.env.Now + length; tree.env.Now < end; tree.env.Now += 5 * time.Millisecond {
		tree.distribution.Tick(tree.env)
		for _, effect := range tree.env.Drain() {
			sent, isSend := effect.(statemachine.Send)
			request, isRequest := sent.Message.(message.UpdatesRequest)
			if !isSend || !isRequest {
				continue
			}
			if len(tree.asked) == 0 || tree.asked[len(tree.asked)-1] != sent.To {
				tree.asked = append(tree.asked, sent.To)
			}
			if request.LastResort {
				tree.lastResorts = append(tree.lastResorts, sent.To)
			}
			tree.answer(sent.To, request)
		}
		if until != nil && until() {
			return true
		}
	}
	return until == nil
}

// answer hands the answer of a parent to the node.
func (tree *testTree) answer(parent string, request message.UpdatesRequest) {
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

// testResponse is an answer of the last member of a path.
func testResponse(round int64, path []string, items ...message.UpdateItem) message.UpdatesResponse {
	return message.UpdatesResponse{Round: round, Parent: path[len(path)-1], RelayPath: path, Alternatives: []string{}, Items: items}
}

// configurationItem is a version of the configuration as a snapshot that is known current.
func configurationItem(version int64) message.UpdateItem {
	body := []byte(testBody)
	packed := delta.Encode(nil, body)
	return message.UpdateItem{
		Position:   configurationPosition(ConfigurationTopic("main"), version, body),
		HasContent: true, Snapshot: true, Body: packed, SnapshotBytes: int64(len(packed)),
	}
}

// parent returns the parent once it has answered.
func (tree *testTree) parent() string {
	parent, path, _ := tree.distribution.Parent()
	if len(path) == 0 {
		return ""
	}
	return parent
}

// configurationVersion returns the version of the configuration that the node has.
func (tree *testTree) configurationVersion() int64 {
	version, _, _ := tree.distribution.Configuration("main")
	return version
}

// settle plays until the node is below a root that is current.
func (tree *testTree) settle(root string) {
	tree.play(time.Second, nil)
	tree.c.Assert(tree.parent(), qt.Equals, root)
	tree.asked, tree.lastResorts = nil, nil
}
