// Configurations on their way over narrow links: what a change costs in bytes.
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

// chain is a configstore, a registry below it and proxies below that, with a transport
// that counts the bytes of updates by receiver.
type chain struct {
	c     *qt.C
	env   *statemachine.Env
	nodes map[string]*Distribution
	order []string
	bytes map[string]int
	held  map[string]bool // receivers whose links carry nothing at the moment
	spoil func(item *message.UpdateItem)
}

func newChain(c *qt.C, proxies ...string) *chain {
	n := &chain{c: c, env: statemachine.NewEnv(1), nodes: map[string]*Distribution{}, bytes: map[string]int{}, held: map[string]bool{}}
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
			known.Handle(n.env, "", message.JoinResponse{From: other})
		}
		n.nodes[self.Name] = New(cfg, known, func(*statemachine.Env, string) {})
		n.nodes[self.Name].Subscribe(ConfigurationTopic("main"))
		n.order = append(n.order, self.Name)
	}
	n.env.Drain()
	return n
}

// play lets time pass; the configstore knows its content current all the while.
func (n *chain) play(length time.Duration) {
	for end := n.env.Now + length; n.env.Now < end; n.env.Now += 25 * time.Millisecond {
		n.nodes["store"].SetFreshAt(ConfigurationTopic("main"), n.env.Now)
		for _, name := range n.order {
			n.nodes[name].Tick(n.env)
			n.deliver(name)
		}
	}
}

// deliver carries what a node has left on the environment, and what that leads to.
func (n *chain) deliver(from string) {
	for _, effect := range n.env.Drain() {
		sent, isSend := effect.(statemachine.Send)
		if !isSend || n.held[sent.To] || n.held[from] {
			continue
		}
		response, isResponse := sent.Message.(message.UpdatesResponse)
		if isResponse {
			frame, err := message.Encode(response)
			n.c.Assert(err, qt.IsNil)
			n.bytes[sent.To] += len(frame)
			for index := range response.Items {
				if n.spoil != nil {
					n.spoil(&response.Items[index])
				}
			}
		}
		n.nodes[sent.To].Handle(n.env, from, sent.Message)
		n.deliver(sent.To)
	}
}

func (n *chain) write(version int64, body []byte) {
	n.nodes["store"].WriteConfiguration(n.env, "main", version, body)
	n.deliver("store")
}

func (n *chain) holds(name string, version int64, body []byte) {
	n.c.Helper()
	held, have, known := n.nodes[name].Configuration("main")
	n.c.Assert(known, qt.IsTrue)
	n.c.Assert(held, qt.Equals, version)
	n.c.Assert(bytes.Equal(have, body), qt.IsTrue)
}

// routes makes a configuration of so many routes, one of them with a timeout of its own.
func routes(version int64, count, changed int, timeout int) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"version":%d,"routes":[`, version)
	for number := range count {
		wait := 1000
		if number == changed {
			wait = timeout
		}
		fmt.Fprintf(&body, `{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","kind":"repeatable","timeout_ms":%d,"aim_ms":800,"service":"s","attempts":2},`, number*7919, number*104729, number*1299709, wait)
	}
	body.WriteString(`{}],"services":["s"]}`)
	return body.Bytes()
}

// Five changes of one route among 1,700, half a second apart: over a link of 287 KB/s
// five whole configurations alone would take seconds.
func TestSmallChangesTravelAsDifferences(t *testing.T) {
	c := qt.New(t)
	n := newChain(c, "a", "b")
	n.write(1, routes(1, 1700, 0, 900))
	n.play(2 * time.Second)
	whole := len(routes(1, 1700, 0, 900))
	n.bytes = map[string]int{}
	for version := int64(2); version <= 6; version++ {
		n.write(version, routes(version, 1700, int(version)*100, 1500))
		n.play(500 * time.Millisecond)
	}
	for _, name := range []string{"a", "b"} {
		n.holds(name, 6, routes(6, 1700, 600, 1500))
		c.Assert(n.bytes[name] < whole/10, qt.IsTrue, qt.Commentf("%s was sent %d bytes, the configuration has %d", name, n.bytes[name], whole))
	}
}

// A node that hears nothing while versions change is sent the differences in a row.
func TestANodeThatIsBehindFollowsInARow(t *testing.T) {
	c := qt.New(t)
	n := newChain(c, "a", "b")
	n.write(1, routes(1, 300, 0, 900))
	n.play(2 * time.Second)
	n.held["a"] = true
	for version := int64(2); version <= 5; version++ {
		n.write(version, routes(version, 300, int(version), 1500))
		n.play(25 * time.Millisecond)
	}
	n.held["a"] = false
	n.bytes = map[string]int{}
	n.play(time.Second)
	n.holds("a", 5, routes(5, 300, 5, 1500))
	c.Assert(n.bytes["a"] < len(routes(5, 300, 5, 1500))/10, qt.IsTrue, qt.Commentf("%d bytes", n.bytes["a"]))
}

// A node that knows nothing, or a version that its parent never had, gets the whole
// configuration, compressed.
func TestWholeConfigurationsAreCompressed(t *testing.T) {
	c := qt.New(t)
	n := newChain(c, "a", "b")
	n.nodes["a"].WriteConfiguration(n.env, "main", 1, []byte("a version that the others never had"))
	n.write(9, routes(9, 1700, 0, 900))
	n.play(2 * time.Second)
	for _, name := range []string{"a", "b"} {
		n.holds(name, 9, routes(9, 1700, 0, 900))
		c.Assert(n.bytes[name] < len(routes(9, 1700, 0, 900))/3, qt.IsTrue, qt.Commentf("%s was sent %d bytes", name, n.bytes[name]))
	}
}

// A difference that does not give what it names is not in force; the whole comes instead.
func TestASpoiltDifferenceIsReplacedByTheWhole(t *testing.T) {
	c := qt.New(t)
	n := newChain(c, "a")
	n.write(1, routes(1, 300, 0, 900))
	n.play(2 * time.Second)
	n.spoil = func(item *message.UpdateItem) {
		for index := range item.Patches {
			item.Patches[index].Difference = []byte("spoilt")
		}
	}
	n.write(2, routes(2, 300, 2, 1500))
	n.holds("a", 1, routes(1, 300, 0, 900))
	n.play(time.Second)
	n.holds("a", 2, routes(2, 300, 2, 1500))
}

// The chain of differences is bounded in number and in bytes.
func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	held := &topicState{}
	for version := int64(1); version < 200; version++ {
		body := routes(version, 20+int(version)%2*200, 0, int(version))
		held.moveTo(configurationMark("configuration:main", version, body), body)
		c.Assert(len(held.history.patches) <= patchesKept, qt.IsTrue)
		c.Assert(patchBytes(held.history.patches) <= patchBytesKept, qt.IsTrue)
	}
	c.Assert(len(held.history.patches) > 1, qt.IsTrue)
}
