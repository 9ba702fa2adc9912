package simulation

// This file carries the steps of a plan out.

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/storage"
	"beaconvane/internal/stubserver"
)

// heirMark ends the name of a machine that was put beside the one it replaces.
const heirMark = "-heir"

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
		if !w.doAnswers(step) && !w.doCutoff(step) && !w.doSameVersion(step) && !w.doSecondLoss(step) && !w.doHundreds(step) && !w.doOverlap(step) {
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
