package distribution

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// testChain simulates a configstore, a registry below it and proxies below the registry. Its transport
// counts the bytes of updates per receiver.
type testChain struct {
	c       *qt.C
	env     *statemachine.Env
	nodes   map[string]*Distribution       // by member name
	order   []string                       // node names from the root downwards, the order of ticks
	bytes   map[string]int                 // encoded size of the responses, by receiver
	blocked map[string]bool                // nodes whose links currently drop all messages
	corrupt func(item *message.UpdateItem) // modifies each item in transit; may be nil
}

// newTestChain returns a chain with the given proxies, in which every node knows all others.
func newTestChain(c *qt.C, proxies ...string) *testChain {
	chain := &testChain{
		c:       c,
		env:     statemachine.NewEnv(1),
		nodes:   map[string]*Distribution{},
		bytes:   map[string]int{},
		blocked: map[string]bool{},
	}
	members := []message.Member{
		{Name: "store", Role: message.RoleConfigStore, Zone: "z", Address: "store", StartTime: 1},
		{Name: "registry", Role: message.RoleRegistry, Zone: "z", Address: "registry", StartTime: 1},
	}
	for _, name := range proxies {
		members = append(members, message.Member{Name: name, Role: message.RoleProxy, Zone: "z", Address: name, StartTime: 1})
	}
	for _, self := range members {
		cfg := settings.Default()
		cfg.Zone, cfg.Seeds, cfg.Limits.Fanout = "z", []string{"10.0.0.1:1"}, 16
		nodeMembership := membership.New(cfg, self, nil)
		for _, otherMember := range members {
			nodeMembership.Handle(chain.env, "", message.JoinResponse{From: otherMember})
		}
		chain.nodes[self.Name] = New(cfg, nodeMembership, func(*statemachine.Env, string) {})
		chain.nodes[self.Name].Subscribe(ConfigurationTopic("main"))
		chain.order = append(chain.order, self.Name)
	}
	chain.env.Drain()
	return chain
}

// run advances the time. During it the configstore's content is current.
func (chain *testChain) run(length time.Duration) {
	for end := chain.env.Now + length; chain.env.Now < end; chain.env.Now += 25 * time.Millisecond {
		chain.nodes["store"].SetFreshAt(ConfigurationTopic("main"), chain.env.Now)
		for _, name := range chain.order {
			chain.nodes[name].Tick(chain.env)
			chain.deliver(name)
		}
	}
}

// deliver delivers the messages that a node has sent and, recursively, the messages sent in response.
func (chain *testChain) deliver(from string) {
	for _, effect := range chain.env.Drain() {
		sent, isSend := effect.(statemachine.Send)
		if !isSend || chain.blocked[sent.To] || chain.blocked[from] {
			continue
		}
		response, isResponse := sent.Message.(message.UpdatesResponse)
		if isResponse {
			frame, err := message.Encode(response)
			chain.c.Assert(err, qt.IsNil)
			chain.bytes[sent.To] += len(frame)
			for index := range response.Items {
				if chain.corrupt != nil {
					chain.corrupt(&response.Items[index])
				}
			}
		}
		chain.nodes[sent.To].Handle(chain.env, from, sent.Message)
		chain.deliver(sent.To)
	}
}

// write stores a version of the configuration at the configstore and delivers the pushes.
func (chain *testChain) write(version int64, body []byte) {
	chain.nodes["store"].WriteConfiguration(chain.env, "main", version, body)
	chain.deliver("store")
}

// assertConfiguration asserts the version and the body of a node's configuration.
func (chain *testChain) assertConfiguration(name string, version int64, body []byte) {
	chain.c.Helper()
	actualVersion, actualBody, known := chain.nodes[name].Configuration("main")
	chain.c.Assert(known, qt.IsTrue)
	chain.c.Assert(actualVersion, qt.Equals, version)
	chain.c.Assert(bytes.Equal(actualBody, body), qt.IsTrue)
}

// routeFormat is the JSON of one route, including the trailing comma.
const routeFormat = `{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","kind":"repeatable","timeout_ms":%d,` +
	`"aim_ms":800,"service":"s","attempts":2},`

// configurationBody returns a configuration with the given number of routes. The route at index changed
// has a timeout of its own.
func configurationBody(version int64, count, changed int, timeout int) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"version":%d,"routes":[`, version)
	for number := range count {
		routeTimeout := 1000
		if number == changed {
			routeTimeout = timeout
		}
		fmt.Fprintf(&body, routeFormat, number*7919, number*104729, number*1299709, routeTimeout)
	}
	body.WriteString(`{}],"services":["s"]}`)
	return body.Bytes()
}

// Five changes of one route among 1,700, half a second apart, are sent as differences. Over a link of
// 287 KB/s, five complete configurations alone would take seconds.
func TestSmallChangesTravelAsDifferences(t *testing.T) {
	c := qt.New(t)
	chain := newTestChain(c, "a", "b")
	chain.write(1, configurationBody(1, 1700, 0, 900))
	chain.run(2 * time.Second)
	snapshotBytes := len(configurationBody(1, 1700, 0, 900))
	chain.bytes = map[string]int{}
	for version := int64(2); version <= 6; version++ {
		chain.write(version, configurationBody(version, 1700, int(version)*100, 1500))
		chain.run(500 * time.Millisecond)
	}
	for _, name := range []string{"a", "b"} {
		chain.assertConfiguration(name, 6, configurationBody(6, 1700, 600, 1500))
		sent := chain.bytes[name]
		c.Assert(sent < snapshotBytes/10, qt.IsTrue,
			qt.Commentf("%s received %d bytes, the configuration has %d", name, sent, snapshotBytes))
	}
}

// A node that received nothing while several versions were written receives consecutive differences.
func TestANodeThatIsBehindFollowsInARow(t *testing.T) {
	c := qt.New(t)
	chain := newTestChain(c, "a", "b")
	chain.write(1, configurationBody(1, 300, 0, 900))
	chain.run(2 * time.Second)
	chain.blocked["a"] = true
	for version := int64(2); version <= 5; version++ {
		chain.write(version, configurationBody(version, 300, int(version), 1500))
		chain.run(25 * time.Millisecond)
	}
	chain.blocked["a"] = false
	chain.bytes = map[string]int{}
	chain.run(time.Second)
	chain.assertConfiguration("a", 5, configurationBody(5, 300, 5, 1500))
	c.Assert(chain.bytes["a"] < len(configurationBody(5, 300, 5, 1500))/10, qt.IsTrue, qt.Commentf("%d bytes", chain.bytes["a"]))
}

// A node without content, or with a version that its parent never had, receives a compressed snapshot.
func TestSnapshotsAreCompressed(t *testing.T) {
	c := qt.New(t)
	chain := newTestChain(c, "a", "b")
	chain.nodes["a"].WriteConfiguration(chain.env, "main", 1, []byte("a version that the others never had"))
	chain.write(9, configurationBody(9, 1700, 0, 900))
	chain.run(2 * time.Second)
	for _, name := range []string{"a", "b"} {
		chain.assertConfiguration(name, 9, configurationBody(9, 1700, 0, 900))
		sent := chain.bytes[name]
		c.Assert(sent < len(configurationBody(9, 1700, 0, 900))/3, qt.IsTrue, qt.Commentf("%s received %d bytes", name, sent))
	}
}

// A difference that does not produce the version that it names is not applied, and the node receives a
// snapshot instead.
func TestCorruptDifferenceIsReplacedBySnapshot(t *testing.T) {
	c := qt.New(t)
	chain := newTestChain(c, "a")
	chain.write(1, configurationBody(1, 300, 0, 900))
	chain.run(2 * time.Second)
	chain.corrupt = func(item *message.UpdateItem) {
		for index := range item.Patches {
			item.Patches[index].Difference = []byte("corrupt")
		}
	}
	chain.write(2, configurationBody(2, 300, 2, 1500))
	chain.assertConfiguration("a", 1, configurationBody(1, 300, 0, 900))
	chain.run(time.Second)
	chain.assertConfiguration("a", 2, configurationBody(2, 300, 2, 1500))
}

// The number and the total size of the differences in a history are limited.
func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	state := &topicState{}
	for version := int64(1); version < 200; version++ {
		body := configurationBody(version, 20+int(version)%2*200, 0, int(version))
		state.setConfiguration(configurationPosition("configuration:main", version, body), body)
		c.Assert(len(state.history.patches) <= maxPatches, qt.IsTrue)
		c.Assert(patchBytes(state.history.patches) <= maxPatchBytes, qt.IsTrue)
	}
	c.Assert(len(state.history.patches) > 1, qt.IsTrue)
}
