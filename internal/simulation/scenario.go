// This file has the scenarios as data: a plan is a list of steps, each a fault or an
// operator's deed at a time. Named scenarios make their plans from the seed; "any"
// draws steps at random. A failing plan is made smaller by leaving steps out.

package simulation

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/storage"
	"beaconvane/internal/stubserver"
	"beaconvane/internal/workload"
)

// Step is one thing done to the world.
type Step struct {
	At     time.Duration `json:"at"`
	Do     string        `json:"do"`
	Target string        `json:"target"`
	For    time.Duration `json:"for"`
}

func (s Step) String() string { return fmt.Sprintf("%s %s %s for %s", s.At, s.Do, s.Target, s.For) }

// heirMark ends the name of a machine that was put beside the one it replaces.
const heirMark = "-heir"

const loadBegins = 8 * time.Second

// machineNodes lists the processes of a machine, or the one named.
func (w *World) machineNodes(target string) []*Node {
	list := []*Node{}
	for _, name := range w.order {
		if w.nodes[name].machine == target || name == target {
			list = append(list, w.nodes[name])
		}
	}
	return list
}

// holder finds the machine whose process acts for a tag now.
func (w *World) holder(tag string) string {
	newest := checker.Keeping{}
	for _, keeping := range w.record.Keeping {
		if keeping.Tag == tag && keeping.Epoch >= newest.Epoch {
			newest = keeping
		}
	}
	return newest.Voter
}

func (w *World) restart(nodes []*Node, loseDisk bool, down time.Duration) {
	for _, nodeName := range nodes {
		nodeName.kill(true, loseDisk)
	}
	w.after(down, func() {
		for _, nodeName := range nodes {
			nodeName.boot()
		}
	})
}

func (w *World) cutBetween(left, right []string, both bool, length time.Duration) {
	set := func(by int) {
		for _, one := range left {
			for _, other := range right {
				w.cut(one, other, by)
				if both {
					w.cut(other, one, by)
				}
			}
		}
	}
	set(1)
	for _, machine := range left {
		// A frame under way comes again some time after the cut is mended.
		w.record.Held = append(w.record.Held, checker.Span{Name: machine, From: w.now, To: w.now + length + time.Second})
	}
	w.breakSpans(left, right)
	w.after(length, func() {
		set(-1)
		w.breakSpans(left, right)
	})
}

// breakSpans: a node cut off is not held to the bounds for connected ones.
func (w *World) breakSpans(left, right []string) {
	small := left
	if len(right) < len(left) {
		small = right
	}
	for _, machine := range small {
		for _, nodeName := range w.machineNodes(machine) {
			nodeName.closeSpan()
			if nodeName.up && !nodeName.frozen {
				nodeName.openSpan()
			}
		}
	}
}

// cores lists the core machines, replaced ones aside.
func (w *World) cores() []string {
	list := []string{}
	for _, nodeName := range w.of(message.RoleRegistry) {
		if !nodeName.retired && !strings.HasSuffix(nodeName.machine, heirMark) {
			list = append(list, nodeName.machine)
		}
	}
	return list
}

func (w *World) machines() []string {
	list := append([]string{}, w.cores()...)
	for _, nodeName := range w.of(message.RoleProxy) {
		list = append(list, nodeName.machine)
	}
	return list
}

func without(list []string, dropped string) []string {
	kept := []string{}
	for _, item := range list {
		if item != dropped {
			kept = append(kept, item)
		}
	}
	return kept
}

// do carries out one step.
func (w *World) do(step Step) {
	w.mark("STEP %s", step)
	nodes := w.machineNodes(step.Target)
	switch step.Do {
	case "kill":
		w.restart(nodes, false, step.For)
	case "stop":
		for _, nodeName := range nodes {
			nodeName.stop(step.For)
		}
	case "kill-disk":
		w.restart(nodes, true, step.For)
	case "kill-holder":
		if machine := w.holder(step.Target); machine != "" {
			w.restart(w.machineNodes(machine), false, step.For)
		}
	case "freeze-holder":
		if machine := w.holder(step.Target); machine != "" {
			w.freeze(w.machineNodes(machine), step.For)
		}
	case "freeze":
		w.freeze(nodes, step.For)
	case "isolate":
		w.cutBetween([]string{step.Target}, without(w.machines(), step.Target), true, step.For)
	case "isolate-out":
		w.cutBetween([]string{step.Target}, without(w.machines(), step.Target), false, step.For)
	case "cut-core":
		w.cutBetween([]string{step.Target}, without(w.cores(), step.Target), true, step.For)
	case "cut-core-one-way":
		w.cutBetween([]string{step.Target}, without(w.cores(), step.Target), false, step.For)
	case "halve":
		left, right := []string{step.Target}, without(w.cores(), step.Target)
		for index, nodeName := range w.of(message.RoleProxy) {
			if index%3 == 0 {
				left = append(left, nodeName.machine)
			} else {
				right = append(right, nodeName.machine)
			}
		}
		w.cutBetween(left, right, true, step.For)
	case "slow-disk":
		for _, nodeName := range nodes {
			slowNode, usual := nodeName, w.options.Deployment.DiskDelay
			slowNode.slow = usual * 10
			slowNode.slowUntil = max(slowNode.slowUntil, w.now+step.For)
			w.after(step.For, func() {
				if w.now >= slowNode.slowUntil {
					slowNode.slow = usual
				}
			})
		}
	case "disk-full":
		w.fillDisks(nodes, step.For)
	case "disk-fails":
		// Every sync fails until the machine is restarted with a disk that works.
		for _, nodeName := range nodes {
			nodeName.disk.fail = true
		}
		w.after(step.For, func() {
			for _, nodeName := range nodes {
				nodeName.disk.fail = false
			}
			w.restart(nodes, false, 500*time.Millisecond)
		})
	case "collector-odd":
		// It takes reports, but its answer is lost, an error, or late, in turn.
		w.collectorOdd = w.now + step.For
	case "end":
		// The day ends here: callers ask nothing more.
	case "collector-down":
		w.collectorDown = w.now + step.For
	case "herd":
		for index, nodeName := range w.of(message.RoleProxy) {
			if index%2 == 0 {
				w.restart([]*Node{nodeName}, false, step.For)
			}
		}
	case "kill-core":
		for _, voter := range w.cores() {
			w.restart(w.machineNodes(voter), false, step.For)
		}
	case "kill-all":
		for _, machine := range w.machines() {
			w.restart(w.machineNodes(machine), false, step.For)
		}
	case "replace-voter":
		w.replaceVoter(step.Target, step.For)
	case "replace-core":
		w.replaceCore(step.Target, step.For)
	case "usurp":
		w.usurp(step.Target, step.For)
	case "force-recover":
		w.forceRecover(step.Target)
	case "put", "put-huge", "withdraw", "restore-keys", "put-race", "put-bad", "put-and-kill", "put-and-kill-disk":
		w.operate(step)
	default:
		if !w.doAnswers(step) && !w.doCutoff(step) && !w.doSameVersion(step) && !w.doSecondLoss(step) && !w.doHundreds(step) {
			w.doUpstream(step)
		}
	}
}

func (w *World) freeze(nodes []*Node, length time.Duration) {
	for _, nodeName := range nodes {
		nodeName.freeze()
		frozenNode, life := nodeName, nodeName.life
		w.after(length, func() {
			if frozenNode.life == life {
				frozenNode.wake()
			}
		})
	}
}

// replaceVoter puts an empty machine in a voter's place, at a new address.
func (w *World) replaceVoter(machine string, down time.Duration) {
	nodes := w.machineNodes(machine)
	for _, nodeName := range nodes {
		nodeName.kill(true, true)
	}
	w.after(down, func() {
		for _, nodeName := range nodes {
			old := nodeName.settings.Address
			parts := strings.SplitN(old, ":", 2)
			fresh := parts[0] + "9:" + parts[1]
			if _, taken := w.byAddress[fresh]; taken {
				fresh = parts[0] + "8:" + parts[1]
			}
			delete(w.byAddress, old)
			nodeName.settings.Address, nodeName.settings.Outside = fresh, fresh
			w.byAddress[fresh] = nodeName
		}
		// The newcomer's settings name the seeds of now; all others keep their old ones.
		seeds := []string{}
		for _, board := range w.of(message.RoleRegistry) {
			seeds = append(seeds, board.address())
		}
		for _, nodeName := range nodes {
			nodeName.settings.Seeds = seeds
			nodeName.boot()
		}
	})
}

// replaceCore ends a core machine for good and adds an empty one of another name at
// another address; its settings name three core machines of now.
func (w *World) replaceCore(machine string, down time.Duration) {
	for _, old := range w.machineNodes(machine) {
		old.kill(true, true)
		old.retired = true
		w.serial++
		host, port, _ := strings.Cut(old.settings.Address, ":")
		heir := w.addNode(old.role, fmt.Sprintf("%s-after", machine), "", old.settings.Zone, fmt.Sprintf("%s.%s:%s", strings.Join(strings.Split(host, ".")[:3], "."), strconv.Itoa(100+w.serial), port), old.settings.Seeds)
		heir.settings.Found = false
		w.after(down, func() {
			heir.settings.Seeds = []string{}
			for _, board := range w.of(message.RoleRegistry) {
				if board != heir && !board.retired && len(heir.settings.Seeds) < 3 {
					heir.settings.Seeds = append(heir.settings.Seeds, board.address())
				}
			}
			heir.boot()
		})
	}
}

// usurp freezes a core machine, puts an empty one at a new address in its voter, and
// lets the old one wake later.
func (w *World) usurp(machine string, frozen time.Duration) {
	for index, old := range w.machineNodes(machine) {
		host := fmt.Sprintf("10.1.9.%d:7%d00", len(w.order)+1, 4+index)
		heir := w.addNode(old.role, machine+heirMark, old.settings.Voter, old.settings.Zone, host, old.settings.Seeds)
		heir.name, heir.settings.Node = old.role+"/"+machine+heirMark, old.settings.Node
		w.after(500*time.Millisecond, heir.boot)
	}
	w.freeze(w.machineNodes(machine), frozen)
}

// force-recover is the operator's deed on the survivor of two lost disks.
func (w *World) forceRecover(machine string) {
	for _, nodeName := range w.machineNodes(machine) {
		nodeName.kill(true, false)
		survivor := nodeName
		w.after(200*time.Millisecond, func() {
			store, snapshot, records, err := storage.Open(survivor.disk)
			if err != nil || snapshot == nil {
				w.fail("%s has nothing to force-recover: %v", survivor.name, err)
				return
			}
			self := message.Member{Name: survivor.name, Role: survivor.role, Voter: survivor.settings.Voter, Address: survivor.settings.Address}
			var machine interface{ ForceRecover() []byte }
			if survivor.role == message.RoleRegistry {
				machine, err = registry.New(survivor.settings, self, snapshot, records)
			} else {
				machine, err = configstore.New(survivor.settings, self, snapshot, records)
			}
			if err == nil {
				err = store.Compact(machine.ForceRecover())
			}
			if err != nil {
				w.fail("%s: %v", survivor.name, err)
			}
			survivor.boot()
		})
	}
}

func (w *World) operate(step Step) {
	tenants := w.options.Deployment.Tenants()
	w.versions++
	version := w.versions
	switch step.Do {
	case "put":
		w.writeUntil(version, tenants[:w.tenants], int(version))
	case "put-huge":
		w.writeUntil(version, tenants[:w.tenants], 5000)
	case "withdraw":
		w.tenants = max(1, w.tenants-1)
		w.writeUntil(version, tenants[:w.tenants], 0)
	case "restore-keys":
		w.tenants = len(tenants)
		w.writeUntil(version, tenants, 0)
	case "put-race":
		won := 0
		for index := range 2 {
			body := w.options.Deployment.Configuration(tenants[:w.tenants], 10+index)
			w.write(version, tenants[:w.tenants], body, func(code errcode.Code) {
				if code == errcode.OK {
					won++
					if won == 2 {
						w.fail("both racing puts of %d were acknowledged", version)
					}
				}
			})
		}
	case "put-bad":
		w.versions--
		w.write(version, nil, []byte(`{"services":["x"],"routes":[{"name":"r","service":"y"}]}`), func(code errcode.Code) {
			if code != errcode.ConfigurationBad && code != errcode.ConfigurationNoHolder && code != errcode.ConfigurationUnsure {
				w.fail("a bad configuration was answered %s", code)
			}
		})
	case "put-and-kill", "put-and-kill-disk":
		body := w.options.Deployment.Configuration(tenants[:w.tenants], int(version))
		lose := step.Do == "put-and-kill-disk"
		w.write(version, tenants[:w.tenants], body, func(code errcode.Code) {
			if code == errcode.OK {
				if machine := w.holder(settings.ConfigLogTag); machine != "" {
					w.restart(w.machineNodes(machine), lose, step.For)
				}
			}
		})
	}
}

func (w *World) doUpstream(step Step) {
	u := w.upstreams[step.Target]
	if u == nil {
		w.fail("no target for %s", step)
		return
	}
	switch step.Do {
	case "upstream-kill":
		u.kill()
		w.after(step.For, func() { u.start(500 * time.Millisecond) })
	case "upstream-replace":
		u.leave()
		w.after(step.For, func() {
			u.signOff()
			u.kill()
			w.after(500*time.Millisecond, func() { u.start(time.Second) })
		})
	case "upstream-leave":
		u.leave()
		u.gone = true
		w.after(step.For, func() {
			u.signOff()
			u.kill()
		})
	case "upstream-handover":
		// Ended, and its address handed at once to another service's new instance.
		u.kill()
		u.gone = true
		w.after(step.For/50, func() { w.handOver(u) })
	case "upstream-vanish":
		// Its machine goes without a word, and its address comes to another service.
		u.vanish()
		u.gone = true
		w.after(w.options.Deployment.Vanish()+step.For, func() { w.handOver(u) })
	case "service-kill":
		// Every upstream of its service ends, and comes back.
		for _, key := range w.upOrder {
			if other := w.upstreams[key]; other.response.Service == u.response.Service {
				other.kill()
				w.after(step.For, func() { other.start(500 * time.Millisecond) })
			}
		}
	case "upstream-leave-elsewhere":
		// It says that it leaves, to another proxy than its serving proxy, and to nobody else.
		u.servingProxies = append(append([]*Node{}, u.servingProxies[1:]...), u.servingProxies[0])
		u.leave()
		u.gone = true
		w.after(max(step.For, 4*time.Second), func() {
			u.signOff()
			u.kill()
		})
	case "upstream-faults":
		u.faults = stubserver.Faults{Lose: 0.1, Garbage: 0.05, Truncate: 0.05, Excess: 0.02, Slow: 0.05}
		w.after(step.For, func() { u.faults = stubserver.Faults{} })
	}
}

func (w *World) handOver(old *Upstream) {
	services := w.options.Deployment.Services
	for _, service := range services {
		if service.Name == old.response.Service {
			continue
		}
		key := fmt.Sprintf("%s/%s-heir-%d", service.Name, service.Name, len(w.upOrder))
		heir := &Upstream{world: w, key: key, vanished: map[int]bool{}, work: service.Work, slots: int(service.Slots), serviceSpec: service, servingProxies: old.servingProxies,
			response: backend.Announcement{Service: service.Name, Instance: key[len(service.Name)+1:], Address: old.response.Address, Zone: old.response.Zone, Slots: service.Slots}}
		w.upstreams[key] = heir
		w.upOrder = append(w.upOrder, key)
		// It takes connections at once and announces itself only later, to another proxy.
		heir.servingProxies = append(append([]*Node{}, old.servingProxies[1:]...), old.servingProxies[0])
		heir.quiet = w.now + time.Duration(w.random.Int64N(int64(2*time.Second)))
		heir.start(0)
		return
	}
}

// Result is a run's outcome.
type Result struct {
	Scenario string
	Seed     uint64
	Plan     []Step
	Review   checker.Review
	Trace    uint64
	Steps    int64
	Good     float64 // share of requests to running proxies that were answered
	Last     time.Duration
	Record   checker.Record
}

// Play runs a plan on a deployment.
func Play(options Options) Result {
	w := NewWorld(options)
	for _, name := range w.order {
		nodeName := w.nodes[name]
		w.at(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), nodeName.boot)
	}
	for _, key := range w.upOrder {
		u := w.upstreams[key]
		w.at(time.Duration(w.random.Int64N(int64(500*time.Millisecond))), func() { u.start(500 * time.Millisecond) })
	}
	w.at(time.Second, func() {
		w.versions++
		w.writeUntil(w.versions, w.options.Deployment.Tenants(), 0)
	})
	w.requestSoon(0, loadBegins)
	last := time.Duration(0)
	for _, step := range options.Plan {
		planned := step
		last = max(last, step.At+step.For)
		w.at(step.At, func() { w.do(planned) })
	}
	ends := loadBegins + options.Load
	w.ordersEnd = ends + 10*time.Second
	w.at(time.Second, func() { w.requestReady(ends) })
	w.at(2*time.Second, func() { w.readConfigLog(700*time.Millisecond, ends) })
	w.Run(ends + 14*time.Second)
	w.caughtUp()
	w.closing()
	w.Run(ends + 18*time.Second)
	w.settled()
	w.bounded()
	result := Result{Seed: options.Seed, Plan: options.Plan, Trace: w.trace, Steps: w.steps, Last: last}
	result.Review = w.Finish()
	result.Record = w.record
	w.restored(&result)
	return result
}

// caughtUp: at the end every store that has a vote holds the newest version acknowledged.
func (w *World) caughtUp() {
	for _, store := range w.alive(message.RoleConfigStore) {
		machine, isStore := store.control.(*configstore.Machine)
		if isStore && machine.Voting() && newestOf(store) < w.newestAcked {
			w.fail("%s holds version %d, %d was acknowledged", store.name, newestOf(store), w.newestAcked)
		}
	}
}

// closing reads back, through each voter, every version kept and every window.
func (w *World) closing() {
	for _, nodeName := range w.alive(message.RoleRegistry) {
		board := nodeName
		board.request(registry.GetConfiguration{ConfigName: "main", List: true}, func(answer any) {
			got := answer.(registry.Answer)
			if got.Code != errcode.OK {
				w.fail("%s does not list the versions: %s", board.name, got.Code)
				return
			}
			for _, listed := range gjson.GetBytes(got.Body, "versions").Array() {
				version := listed.Int()
				board.request(registry.GetConfiguration{ConfigName: "main", Version: version}, func(answer any) {
					if got := answer.(registry.Answer); got.Code == errcode.OK {
						w.record.Kept = append(w.record.Kept, checker.Kept{Voter: board.place(), ConfigName: "main", Version: version, Digest: checker.Digest(got.Body)})
					}
				})
			}
		})
		for _, report := range w.record.Reported {
			window := report.Window
			board.request(registry.ReadUsage{Window: window}, func(answer any) {
				if got := answer.(registry.Answer); got.Code == errcode.OK {
					counts := map[string]int64{}
					gjson.GetBytes(got.Body, "counts").ForEach(func(tenant, count gjson.Result) bool {
						counts[tenant.String()] = count.Int()
						return true
					})
					w.record.Reread = append(w.record.Reread, checker.Reported{Window: window, From: board.place(), Counts: counts})
				}
			})
		}
	}
}

// restored: fifteen seconds after the last fault every request is answered.
func (w *World) restored(result *Result) {
	bound := time.Duration(settings.Default().Bounds.Restore) * time.Millisecond
	good, count := 0, 0
	latest := time.Duration(0)
	for _, asked := range w.record.Asked {
		answered := asked.Code == 0 && !asked.Connection
		count++
		if answered {
			good++
		}
		if !answered {
			cause := w.causeOf(asked)
			result.Review.Seen["unanswered: "+cause]++
			if cause == refusedThoughAble {
				result.Review.Seen[fmt.Sprintf("unanswered: %s %s", cause, errcode.Code(asked.Code))]++
			}
		}
		if !answered && asked.Code != int(errcode.RequestKeyUnknown) && asked.Sent > result.Last {
			latest = max(latest, asked.Sent-result.Last)
		}
	}
	if count > 0 {
		result.Good = float64(good) / float64(count)
		result.Review.Worst[refusedThoughAble] = float64(result.Review.Seen["unanswered: "+refusedThoughAble]) / float64(count)
	}
	if share := result.Review.Worst[refusedThoughAble]; share > refusedMost {
		result.Review.Violations = append(result.Review.Violations, checker.Violation{Rule: "refused", Detail: fmt.Sprintf("%.4f of all requests were refused though some upstream could have run them", share)})
	}
	result.Review.Worst["restore-ms"] = float64(latest.Milliseconds())
	if latest > bound {
		result.Review.Violations = append(result.Review.Violations, checker.Violation{Rule: "restore", Detail: fmt.Sprintf("a request %s after the last fault was not answered", latest)})
	}
	if len(w.record.Writes) > 0 && len(w.record.Kept) == 0 {
		result.Review.Violations = append(result.Review.Violations, checker.Violation{Rule: "restore", Detail: "no configuration could be read back at the end"})
	}
	if result.Review.Seen["answered"] == 0 {
		result.Review.Violations = append(result.Review.Violations, checker.Violation{Rule: "empty", Detail: "no request was answered"})
	}
}

// Scenarios make plans from dice for a deployment.
var Scenarios = map[string]func(d workload.Deployment, random *rand.Rand) []Step{
	"calm":         func(workload.Deployment, *rand.Rand) []Step { return nil },
	"cutoff":       cutoffPlan,
	"same-version": sameVersionPlan,
	"second-loss":  secondLossPlan,
	"hundreds":     hundredsPlan,
	"holder-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		tag := allTags(d)
		return []Step{
			{At: span(random, 10, 12), Do: "kill-holder", Target: tag[random.IntN(len(tag))], For: span(random, 1, 6)},
			{At: span(random, 14, 18), Do: "kill-holder", Target: tag[random.IntN(len(tag))], For: span(random, 1, 4)}}
	},
	"edges-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for range 4 {
			plan = append(plan, Step{At: span(random, 9, 20), Do: "kill", Target: edge(d, random), For: span(random, 0.1, 4)})
		}
		return append(plan, Step{At: span(random, 12, 16), Do: "herd", For: span(random, 0.2, 3)})
	},
	"machines-in-turn": func(d workload.Deployment, random *rand.Rand) []Step { return inTurn(d, random, "kill") },
	"stopped-in-turn": func(d workload.Deployment, random *rand.Rand) []Step {
		return append(inTurn(d, random, "stop"), Step{At: span(random, 12, 20), Do: "put"})
	},
	"core-cut": func(d workload.Deployment, random *rand.Rand) []Step {
		kinds := []string{"cut-core", "cut-core-one-way", "halve"}
		return []Step{{At: span(random, 10, 12), Do: kinds[random.IntN(3)], Target: voter(random), For: span(random, 1, 6)}, {At: span(random, 13, 15), Do: "put"},
			{At: span(random, 18, 20), Do: kinds[random.IntN(3)], Target: voter(random), For: span(random, 1, 5)}}
	},
	"isolated": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 10, 12), Do: "isolate", Target: edge(d, random), For: span(random, 1, 8)}, {At: span(random, 10, 14), Do: "isolate", Target: voter(random), For: span(random, 1, 6)},
			{At: span(random, 12, 14), Do: "withdraw"}, {At: span(random, 16, 18), Do: "isolate-out", Target: edge(d, random), For: span(random, 1, 5)}}
	},
	"freeze": func(d workload.Deployment, random *rand.Rand) []Step {
		tags := allTags(d)
		return []Step{{At: span(random, 10, 12), Do: "freeze-holder", Target: tags[random.IntN(len(tags))], For: span(random, 0.3, 8)},
			{At: span(random, 12, 15), Do: "freeze", Target: edge(d, random), For: span(random, 0.3, 8)}, {At: span(random, 13, 14), Do: "withdraw"},
			{At: span(random, 18, 20), Do: "freeze", Target: voter(random), For: span(random, 0.3, 4)}}
	},
	"cut-and-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index := range 5 {
			target, at := edge(d, random), span(random, 9+float64(index)*3, 11+float64(index)*3)
			plan = append(plan, Step{At: at, Do: "isolate", Target: target, For: span(random, 0.6, 1.2)},
				Step{At: at + span(random, 0.05, 0.2), Do: "kill", Target: target, For: span(random, 0.1, 0.3)})
		}
		return plan
	},
	"usurped": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 10, 12), Do: "usurp", Target: voter(random), For: span(random, 1, 9)}, {At: span(random, 12.5, 14), Do: "put"},
			{At: span(random, 14, 17), Do: "kill-holder", Target: settings.ConfigLogTag, For: span(random, 0.5, 2)}, {At: span(random, 22, 24), Do: "put"}}
	},
	"two-disks-lost": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 9, 10), Do: "put"}, {At: span(random, 12, 13), Do: "kill-disk", Target: workload.Voters[0], For: span(random, 0.3, 2)},
			{At: span(random, 12, 13), Do: "kill-disk", Target: workload.Voters[1], For: span(random, 0.3, 2)},
			{At: span(random, 18, 20), Do: "force-recover", Target: workload.Voters[2]}, {At: span(random, 24, 25), Do: "put"}}
	},
	"restarted-behind-cut": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{{At: 10 * time.Second, Do: "halve", Target: voter(random), For: span(random, 5, 9)}, {At: span(random, 11, 12), Do: "put"}}
		for range 5 {
			plan = append(plan, Step{At: span(random, 12, 15), Do: "kill", Target: edge(d, random), For: span(random, 0.2, 1)})
		}
		return plan
	},
	"stale-root": func(d workload.Deployment, random *rand.Rand) []Step {
		chosen := random.IntN(3)
		plan := []Step{{At: 10 * time.Second, Do: "cut-core", Target: workload.Voters[chosen], For: span(random, 7, 9)}, {At: span(random, 11, 12), Do: "withdraw"}}
		for number := chosen; number < d.Proxies; number += 3 {
			plan = append(plan, Step{At: span(random, 14.5, 16), Do: "kill", Target: fmt.Sprintf("edge-%d", number+1), For: span(random, 0.2, 0.6)})
		}
		return plan
	},
	"acked-and-back": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 9, 10), Do: "put-and-kill", For: span(random, 0.25, 0.4)}, {At: span(random, 15, 16), Do: "put-and-kill", For: span(random, 0.25, 0.4)}}
	},
	"acked-and-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 9, 10), Do: "put-and-kill", For: span(random, 0.3, 4)}, {At: span(random, 16, 18), Do: "put-and-kill-disk", For: span(random, 0.3, 4)},
			{At: span(random, 23, 24), Do: "put"}}
	},
	"disks-lost": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 10, 11), Do: "kill-disk", Target: workload.Voters[0], For: span(random, 0.3, 3)}, {At: span(random, 14, 15), Do: "put"},
			{At: span(random, 18, 19), Do: "kill-disk", Target: workload.Voters[1], For: span(random, 0.3, 3)}, {At: span(random, 22, 23), Do: "put"}}
	},
	"voter-replaced": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 10, 12), Do: "replace-voter", Target: voter(random), For: span(random, 0.3, 4)}, {At: span(random, 16, 18), Do: "put"}}
	},
	"core-replaced": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 10, 12), Do: "replace-core", Target: core(d, random), For: span(random, 0.3, 4)}, {At: span(random, 10, 13), Do: "put"}, {At: span(random, 16, 18), Do: "put"}}
	},
	"zones-lost": func(d workload.Deployment, random *rand.Rand) []Step {
		// All core machines of a zone go at once and come back; then those of the next.
		plan := []Step{}
		for number, zone := range d.Zones {
			at := 10 + float64(number)*12
			for index, name := range d.CoreNames() {
				if d.CoreZone(index) == zone {
					plan = append(plan, Step{At: span(random, at, at+0.1), Do: "kill", Target: name, For: span(random, 5.5, 6)})
				}
			}
			plan = append(plan, Step{At: span(random, at+3.5, at+4), Do: "put"})
		}
		return plan
	},
	"cores-replaced": func(d workload.Deployment, random *rand.Rand) []Step {
		// One after another, until all that founded are gone.
		plan := []Step{}
		for index, name := range d.CoreNames() {
			plan = append(plan, Step{At: span(random, 10+float64(index)*9, 11+float64(index)*9), Do: "replace-core", Target: name, For: span(random, 0.3, 2)},
				Step{At: span(random, 12+float64(index)*9, 17+float64(index)*9), Do: "put"})
		}
		return plan
	},
	"acked-and-wiped": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 9, 10), Do: "put-and-kill-disk", For: span(random, 0.2, 2)}, {At: span(random, 18, 19), Do: "put-and-kill-disk", For: span(random, 0.2, 2)},
			{At: span(random, 26, 27), Do: "put"}}
	},
	"core-replaced-one-away": func(d workload.Deployment, random *rand.Rand) []Step {
		chosen := random.Perm(len(d.CoreNames()))
		at := span(random, 10, 12)
		return []Step{{At: at, Do: "replace-core", Target: d.CoreNames()[chosen[0]], For: span(random, 0.3, 3)},
			{At: at + span(random, 0, 6), Do: "kill", Target: d.CoreNames()[chosen[1]], For: span(random, 0.3, 3)},
			{At: at + span(random, 0, 6), Do: []string{"cut-core", "cut-core-one-way", "put"}[random.IntN(3)], Target: d.CoreNames()[chosen[2]], For: span(random, 0.3, 3)}, {At: span(random, 22, 24), Do: "put"}}
	},
	"core-replaced-all-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		at := span(random, 10, 12)
		return []Step{{At: at, Do: "replace-core", Target: core(d, random), For: span(random, 0.3, 3)}, {At: at + span(random, 0.5, 7), Do: "kill-core", For: span(random, 0.2, 1)},
			{At: span(random, 22, 24), Do: "put"}}
	},
	"core-wiped-others-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		name := core(d, random)
		at := span(random, 10, 12)
		return []Step{{At: at, Do: "kill-disk", Target: name, For: span(random, 0.2, 2)}, {At: at + span(random, 0, 3), Do: "kill-core", For: span(random, 0.2, 1)}, {At: span(random, 12, 20), Do: "put"}}
	},
	"seeds-swapped": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index, voter := range workload.Voters {
			plan = append(plan, Step{At: time.Duration(10+index*7) * time.Second, Do: "replace-voter", Target: voter, For: span(random, 0.3, 1.5)})
		}
		return append(plan, Step{At: 29 * time.Second, Do: "put"}, Step{At: 31 * time.Second, Do: "kill", Target: edge(d, random), For: time.Second})
	},
	"away-and-swapped": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{{At: 9 * time.Second, Do: "kill", Target: edge(d, random), For: 85 * time.Second}}
		for index, voter := range workload.Voters {
			plan = append(plan, Step{At: time.Duration(10+index*7) * time.Second, Do: "replace-voter", Target: voter, For: span(random, 0.3, 1.5)})
		}
		return plan
	},
	"seeds-swapped-all-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index, voter := range workload.Voters {
			plan = append(plan, Step{At: time.Duration(10+index*7) * time.Second, Do: "replace-voter", Target: voter, For: span(random, 0.3, 1.5)})
		}
		return append(plan, Step{At: span(random, 31, 32), Do: "kill-all", For: span(random, 0.3, 2)})
	},
	"disks-full-in-turn": disksFullInTurn,
	"disk-fails": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 9, 10), Do: "disk-fails", Target: voter(random), For: span(random, 4, 9)}, {At: span(random, 11, 12), Do: "put"},
			{At: span(random, 13, 14), Do: "withdraw"}, {At: span(random, 21, 22), Do: "put"}}
	},
	"collector-down": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 10, 12), Do: "collector-down", For: span(random, 4, 6)}, {At: span(random, 12, 15), Do: "kill-holder", Target: settings.UsageTag, For: span(random, 0.5, 2)}}
	},
	"two-core-down": func(d workload.Deployment, random *rand.Rand) []Step {
		// Two voters are away together; a configuration is put before, meanwhile and after.
		first := random.IntN(3)
		return []Step{{At: span(random, 9, 10), Do: "put"}, {At: span(random, 11, 12), Do: "kill", Target: workload.Voters[first], For: span(random, 6, 8)},
			{At: span(random, 12, 13), Do: "kill", Target: workload.Voters[(first+1)%3], For: span(random, 3, 8)}, {At: span(random, 13, 15), Do: "put"}, {At: span(random, 24, 25), Do: "put"}}
	},
	"collector-odd": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 9, 10), Do: "collector-odd", For: span(random, 12, 16)}, {At: span(random, 12, 15), Do: "kill-holder", Target: settings.UsageTag, For: span(random, 0.5, 2)},
			{At: span(random, 17, 19), Do: "kill-holder", Target: settings.UsageTag, For: span(random, 0.5, 2)}}
	},
	"last-fault": func(d workload.Deployment, random *rand.Rand) []Step {
		end := span(random, 16, 20)
		last := anyStep(d, random)
		switch random.IntN(4) {
		case 0:
			last = Step{Do: []string{"kill-all", "kill-core", "put-and-kill", "put-and-kill-disk"}[random.IntN(4)], For: span(random, 0.3, 2)}
		case 1:
			last = Step{Do: []string{"kill-disk", "replace-voter", "usurp", "stop"}[random.IntN(4)], Target: voter(random), For: span(random, 0.3, 2)}
		}
		last.At = end - span(random, 0, 0.5)
		return []Step{{At: span(random, 11, 14), Do: "put"}, last, {At: end, Do: "end"}}
	},
	"slow-heir": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: 9 * time.Second, Do: "slow-disk", Target: workload.Voters[1], For: 14 * time.Second},
			{At: span(random, 12, 13), Do: "kill", Target: workload.Voters[0], For: span(random, 4, 6)},
			{At: span(random, 15, 16), Do: "put"}, {At: span(random, 15, 16), Do: "upstream-replace", Target: upstreamName(d, random), For: time.Second}}
	},
	"slow-disks": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 9, 10), Do: "slow-disk", Target: voter(random), For: 12 * time.Second}, {At: span(random, 11, 12), Do: "put"},
			{At: span(random, 13, 14), Do: "put-huge"}, {At: span(random, 15, 16), Do: "kill-holder", Target: settings.ConfigLogTag, For: 2 * time.Second}}
	},
	"configurations": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		kinds := []string{"put", "put-race", "put-bad", "put-huge", "withdraw", "restore-keys", "put"}
		for index := range 10 {
			plan = append(plan, Step{At: span(random, 9+float64(index)*1.5, 10.4+float64(index)*1.5), Do: kinds[random.IntN(len(kinds))]})
		}
		return plan
	},
	"upstreams": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		kinds := []string{"upstream-kill", "upstream-replace", "upstream-faults", "upstream-handover", "upstream-leave"}
		for index := range 8 {
			plan = append(plan, Step{At: span(random, 9+float64(index)*1.5, 10.5+float64(index)*1.5), Do: kinds[index%len(kinds)], Target: upstreamName(d, random), For: span(random, 0.05, 2)})
		}
		return plan
	},
	"vanished": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index := range 3 {
			plan = append(plan, Step{At: span(random, 9+float64(index)*4, 12+float64(index)*4), Do: "upstream-vanish", Target: upstreamName(d, random), For: span(random, 0, 0.5)})
		}
		return plan
	},
	"leaving-elsewhere": func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for index := range 2 {
			at := span(random, 9+float64(index)*6, 11+float64(index)*6)
			plan = append(plan, Step{At: at, Do: "upstream-leave-elsewhere", Target: upstreamName(d, random), For: 4 * time.Second},
				Step{At: at - span(random, 0, 0.5), Do: []string{"isolate", "freeze", "kill", "put"}[random.IntN(4)], Target: edge(d, random), For: span(random, 1, 4)})
		}
		return plan
	},
	"all-killed": func(d workload.Deployment, random *rand.Rand) []Step {
		return []Step{{At: span(random, 12, 14), Do: "kill-all", For: span(random, 0.3, 2)}, {At: span(random, 22, 23), Do: "kill-core", For: span(random, 0.3, 2)}}
	},
	"all-killed-young-window": func(d workload.Deployment, random *rand.Rand) []Step {
		// Windows end at every fifth second: this one is 0.5 to 1.5 s old, and gets no
		// more than that.
		return []Step{{At: span(random, 15.5, 16.5), Do: "kill-all", For: span(random, 3.5, 4.5)}}
	},
	"any":       anyPlan,
	"any-fleet": anyFleetPlan,
}

// inTurn does something to every machine, one after another.
func inTurn(d workload.Deployment, random *rand.Rand, do string) []Step {
	plan := []Step{}
	for index, voter := range workload.Voters {
		plan = append(plan, Step{At: time.Duration(10+index*5) * time.Second, Do: do, Target: voter, For: span(random, 0.3, 2)})
	}
	for number := range d.Proxies {
		plan = append(plan, Step{At: time.Duration(10000+number*1200) * time.Millisecond, Do: do, Target: fmt.Sprintf("edge-%d", number+1), For: span(random, 0.3, 1)})
	}
	return plan
}

// allTags lists the tags of both groups.
func allTags(d workload.Deployment) []string {
	return append(append([]string{}, d.Zones...), settings.UsageTag, settings.ConfigLogTag)
}

// anyFleetPlan draws steps that are not about the operators' side; the fixed seeds are of it.
func anyFleetPlan(d workload.Deployment, random *rand.Rand) []Step {
	plan := []Step{}
	for range 4 + random.IntN(8) {
		plan = append(plan, anyStep(d, random))
	}
	return plan
}

// anyPlan mixes in the operators of the control scenarios.
func anyPlan(d workload.Deployment, random *rand.Rand) []Step {
	return append(anyFleetPlan(d, random), anyControl(d, random)...)
}

func anyStep(d workload.Deployment, random *rand.Rand) Step {
	at, length := span(random, 9, 24), span(random, 0.1, 5)
	tags := allTags(d)
	switch random.IntN(16) {
	case 14:
		return Step{at, "upstream-vanish", upstreamName(d, random), length / 10}
	case 15:
		return Step{at, "upstream-leave-elsewhere", upstreamName(d, random), length}
	case 0:
		return Step{at, "kill", voter(random), length}
	case 1:
		return Step{at, "kill", edge(d, random), length}
	case 2:
		return Step{at, "kill-holder", tags[random.IntN(len(tags))], length}
	case 3:
		return Step{at, "freeze-holder", tags[random.IntN(len(tags))], length}
	case 4:
		return Step{at, "freeze", edge(d, random), length}
	case 5:
		return Step{at, "isolate", edge(d, random), length}
	case 6:
		return Step{at, []string{"cut-core", "cut-core-one-way", "halve", "isolate"}[random.IntN(4)], voter(random), length}
	case 7:
		return Step{at, "slow-disk", voter(random), length}
	case 8:
		return Step{at, "herd", "", length / 2}
	case 9:
		return Step{at, "upstream-kill", upstreamName(d, random), length}
	case 10:
		return Step{at, "upstream-replace", upstreamName(d, random), length}
	case 11:
		return Step{at, "upstream-faults", upstreamName(d, random), length}
	case 12:
		return Step{at, []string{"put-race", "put-bad", "put-and-kill"}[random.IntN(3)], "", length}
	}
	return Step{at, []string{"put", "put", "withdraw", "restore-keys"}[random.IntN(4)], "", 0}
}

func span(random *rand.Rand, least, most float64) time.Duration {
	return time.Duration((least + random.Float64()*(most-least)) * float64(time.Second))
}

func voter(random *rand.Rand) string { return workload.Voters[random.IntN(len(workload.Voters))] }

func core(d workload.Deployment, random *rand.Rand) string {
	return d.CoreNames()[random.IntN(len(d.CoreNames()))]
}

func edge(d workload.Deployment, random *rand.Rand) string {
	return fmt.Sprintf("edge-%d", 1+random.IntN(d.Proxies))
}

func upstreamName(d workload.Deployment, random *rand.Rand) string {
	service := d.Services[random.IntN(len(d.Services))]
	return fmt.Sprintf("%s/%s-%d", service.Name, service.Name, 1+random.IntN(service.Count))
}

// Names lists the scenarios.
func Names() []string {
	names := []string{}
	for name := range Scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run plays a named scenario with a seed.
func Run(d workload.Deployment, scenario string, seed uint64, rate float64, log func(line string)) Result {
	plan := Scenarios[scenario](d, rand.New(rand.NewPCG(seed, 5)))
	result := Play(options(d, seed, rate, plan, log))
	result.Scenario = scenario
	result.dangersReached()
	return result
}

func options(d workload.Deployment, seed uint64, rate float64, plan []Step, log func(line string)) Options {
	last := 12 * time.Second
	for _, step := range plan {
		if step.Do == "end" {
			return Options{Deployment: d, Seed: seed, Rate: rate, Load: step.At - loadBegins, Plan: plan, Log: log}
		}
		last = max(last, step.At+step.For)
	}
	return Options{Deployment: d, Seed: seed, Rate: rate, Load: last - loadBegins + 18*time.Second, Plan: plan, Log: log}
}

// Shrink leaves out steps while the same rule stays broken.
func Shrink(d workload.Deployment, failed Result, rate float64) Result {
	rule := failed.Review.Violations[0].Rule
	smallest := failed
	for again := true; again; {
		again = false
		for index := range smallest.Plan {
			plan := append(append([]Step{}, smallest.Plan[:index]...), smallest.Plan[index+1:]...)
			tried := Play(options(d, failed.Seed, rate, plan, nil))
			for _, violation := range tried.Review.Violations {
				if violation.Rule == rule && !again {
					tried.Scenario = failed.Scenario
					smallest, again = tried, true
				}
			}
			if again {
				break
			}
		}
	}
	return smallest
}
