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

// testChain is a configstore, a registry below it and proxies below that, with a transport
// that counts the bytes of updates by receiver.
type testChain struct {
	c       *qt.C
	env     *statemachine.Env
	nodes   map[string]*Distribution
	order   []string
	bytes   map[string]int
	blocked map[string]bool // nodes whose links carry nothing at the moment
	corrupt func(item *message.UpdateItem)
}

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
		known := membership.New(cfg, self, nil)
		for _, other := range members {
			known.Handle(chain.env, "", message.JoinResponse{From: other})
		}
		chain.nodes[self.Name] = New(cfg, known, func(*statemachine.Env, string) {})
		chain.nodes[self.Name].Subscribe(ConfigurationTopic("main"))
		chain.order = append(chain.order, self.Name)
	}
	chain.env.Drain()
	return chain
}

// play lets time pass; the configstore knows its content current all the while.
func (chain *testChain) play(length time.Duration) {
	for end := chain.env.Now + length; chain.env.Now < end; chain.env.Now += 25 * time.Millisecond {
		chain.nodes["store"].SetFreshAt(ConfigurationTopic("main"), chain.env.Now)
		for _, name := range chain.order {
			chain.nodes[name].Tick(chain.env)
			chain.deliver(name)
		}
	}
}

// deliver carries the messages that a node has sent, and those that they lead to.
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

func (chain *testChain) write(version int64, body []byte) {
	chain.nodes["store"].WriteConfiguration(chain.env, "main", version, body)
	chain.deliver("store")
}

func (chain *testChain) assertHolds(name string, version int64, body []byte) {
	chain.c.Helper()
	held, have, known := chain.nodes[name].Configuration("main")
	chain.c.Assert(known, qt.IsTrue)
	chain.c.Assert(held, qt.Equals, version)
	chain.c.Assert(bytes.Equal(have, body), qt.IsTrue)
}

// routeFormat is a route of a configuration, and the comma behind it.
const routeFormat = `{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","kind":"repeatable","timeout_ms":%d,` +
	`"aim_ms":800,"service":"s","attempts":2},`

// routes makes a configuration of so many routes, one of them with a timeout of its own.
func routes(version int64, count, changed int, timeout int) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"version":%d,"routes":[`, version)
	for number := range count {
		wait := 1000
		if number == changed {
			wait = timeout
		}
		fmt.Fprintf(&body, routeFormat, number*7919, number*104729, number*1299709, wait)
	}
	body.WriteString(`{}],"services":["s"]}`)
	return body.Bytes()
}

// Five changes of one route among 1,700, half a second apart: over a link of 287 KB/s
// five whole configurations alone would take seconds.
func TestSmallChangesTravelAsDifferences(t *testing.T) {
	c := qt.New(t)
	chain := newTestChain(c, "a", "b")
	chain.write(1, routes(1, 1700, 0, 900))
	chain.play(2 * time.Second)
	whole := len(routes(1, 1700, 0, 900))
	chain.bytes = map[string]int{}
	for version := int64(2); version <= 6; version++ {
		chain.write(version, routes(version, 1700, int(version)*100, 1500))
		chain.play(500 * time.Millisecond)
	}
	for _, name := range []string{"a", "b"} {
		chain.assertHolds(name, 6, routes(6, 1700, 600, 1500))
		sent := chain.bytes[name]
		c.Assert(sent < whole/10, qt.IsTrue, qt.Commentf("%s was sent %d bytes, the configuration has %d", name, sent, whole))
	}
}

// A node that hears nothing while versions change is sent the differences in a row.
func TestANodeThatIsBehindFollowsInARow(t *testing.T) {
	c := qt.New(t)
	chain := newTestChain(c, "a", "b")
	chain.write(1, routes(1, 300, 0, 900))
	chain.play(2 * time.Second)
	chain.blocked["a"] = true
	for version := int64(2); version <= 5; version++ {
		chain.write(version, routes(version, 300, int(version), 1500))
		chain.play(25 * time.Millisecond)
	}
	chain.blocked["a"] = false
	chain.bytes = map[string]int{}
	chain.play(time.Second)
	chain.assertHolds("a", 5, routes(5, 300, 5, 1500))
	c.Assert(chain.bytes["a"] < len(routes(5, 300, 5, 1500))/10, qt.IsTrue, qt.Commentf("%d bytes", chain.bytes["a"]))
}

// A node that knows nothing, or a version that its parent never had, gets the whole
// configuration, compressed.
func TestWholeConfigurationsAreCompressed(t *testing.T) {
	c := qt.New(t)
	chain := newTestChain(c, "a", "b")
	chain.nodes["a"].WriteConfiguration(chain.env, "main", 1, []byte("a version that the others never had"))
	chain.write(9, routes(9, 1700, 0, 900))
	chain.play(2 * time.Second)
	for _, name := range []string{"a", "b"} {
		chain.assertHolds(name, 9, routes(9, 1700, 0, 900))
		sent := chain.bytes[name]
		c.Assert(sent < len(routes(9, 1700, 0, 900))/3, qt.IsTrue, qt.Commentf("%s was sent %d bytes", name, sent))
	}
}

// A difference that does not give the version which it names is not applied; the whole configuration
// comes instead.
func TestACorruptDifferenceIsReplacedByTheWhole(t *testing.T) {
	c := qt.New(t)
	chain := newTestChain(c, "a")
	chain.write(1, routes(1, 300, 0, 900))
	chain.play(2 * time.Second)
	chain.corrupt = func(item *message.UpdateItem) {
		for index := range item.Patches {
			item.Patches[index].Difference = []byte("corrupt")
		}
	}
	chain.write(2, routes(2, 300, 2, 1500))
	chain.assertHolds("a", 1, routes(1, 300, 0, 900))
	chain.play(time.Second)
	chain.assertHolds("a", 2, routes(2, 300, 2, 1500))
}

// The chain of differences is bounded in number and in bytes.
func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	state := &topicState{}
	for version := int64(1); version < 200; version++ {
		body := routes(version, 20+int(version)%2*200, 0, int(version))
		state.setConfiguration(configurationPosition("configuration:main", version, body), body)
		c.Assert(len(state.history.patches) <= maxPatches, qt.IsTrue)
		c.Assert(patchBytes(state.history.patches) <= maxPatchBytes, qt.IsTrue)
	}
	c.Assert(len(state.history.patches) > 1, qt.IsTrue)
}
