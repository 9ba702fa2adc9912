package simulation

// This file carries the steps of a plan out.

import (
	"fmt"
	"maps"
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

// fault carries out one kind of step.
type fault func(w *World, step Step)

// nodeFaults returns the faults of processes, machines and their disks, by the name that plans use.
func nodeFaults() map[string]fault {
	return map[string]fault{
		"kill":          func(w *World, step Step) { w.restart(w.machineNodes(step.Target), false, step.For) },
		"kill-disk":     func(w *World, step Step) { w.restart(w.machineNodes(step.Target), true, step.For) },
		"stop":          (*World).stopNodes,
		"kill-holder":   (*World).killHolder,
		"freeze":        func(w *World, step Step) { w.freeze(w.machineNodes(step.Target), step.For) },
		"freeze-holder": (*World).freezeHolder,
		"slow-disk":     (*World).slowDisks,
		"disk-full":     func(w *World, step Step) { w.fillDisks(w.machineNodes(step.Target), step.For) },
		"disk-fails":    (*World).failDisks,
		"herd":          (*World).restartEverySecondProxy,
		"kill-core":     func(w *World, step Step) { w.restartMachines(w.cores(), step.For) },
		"kill-all":      func(w *World, step Step) { w.restartMachines(w.machines(), step.For) },
		"replace-voter": func(w *World, step Step) { w.replaceVoter(step.Target, step.For) },
		"replace-core":  func(w *World, step Step) { w.replaceCore(step.Target, step.For) },
		"usurp":         func(w *World, step Step) { w.usurp(step.Target, step.For) },
		"force-recover": func(w *World, step Step) { w.forceRecover(step.Target) },
	}
}

// networkFaults returns the faults of the network between machines, by the name that plans use.
func networkFaults() map[string]fault {
	return map[string]fault{
		"isolate":          func(w *World, step Step) { w.isolate(step, w.machines(), true) },
		"isolate-out":      func(w *World, step Step) { w.isolate(step, w.machines(), false) },
		"cut-core":         func(w *World, step Step) { w.isolate(step, w.cores(), true) },
		"cut-core-one-way": func(w *World, step Step) { w.isolate(step, w.cores(), false) },
		"halve":            (*World).halve,
	}
}

// collectorFaults returns the faults of the usage collector, and the end of a plan's load.
func collectorFaults() map[string]fault {
	return map[string]fault{
		// The collector takes reports, but its answer is lost, an error, or late, in turn.
		"collector-odd":  func(w *World, step Step) { w.collectorOdd = w.now + step.For },
		"collector-down": func(w *World, step Step) { w.collectorDown = w.now + step.For },
		// Callers send no requests after this step; the callers look for it in the plan.
		"end": func(*World, Step) {},
	}
}

// operatorSteps returns the orders of operators, by the name that plans use.
func operatorSteps() map[string]fault {
	steps := map[string]fault{}
	for _, name := range []string{
		"put", "put-huge", "withdraw", "restore-keys", "put-race", "put-bad", "put-and-kill", "put-and-kill-disk",
	} {
		steps[name] = (*World).operate
	}
	return steps
}

// allFaults joins the tables of faults.
func allFaults() map[string]fault {
	joined := map[string]fault{}
	for _, table := range []map[string]fault{nodeFaults(), networkFaults(), collectorFaults(), operatorSteps()} {
		maps.Copy(joined, table)
	}
	return joined
}

// do carries out one step. Names that no table has belong to a scenario of its own file, or are
// faults of upstreams.
func (w *World) do(step Step) {
	w.mark("STEP %s", step)
	if apply, found := w.faults[step.Do]; found {
		apply(w, step)
		return
	}
	scenarios := []func(Step) bool{
		w.doAnswers, w.doCutoff, w.doSameVersion, w.doSecondLoss, w.doHundreds, w.doOverlap,
	}
	for _, try := range scenarios {
		if try(step) {
			return
		}
	}
	w.doUpstream(step)
}

func (w *World) stopNodes(step Step) {
	for _, node := range w.machineNodes(step.Target) {
		node.stop(step.For)
	}
}

func (w *World) killHolder(step Step) {
	if machine := w.holder(step.Target); machine != "" {
		w.restart(w.machineNodes(machine), false, step.For)
	}
}

func (w *World) freezeHolder(step Step) {
	if machine := w.holder(step.Target); machine != "" {
		w.freeze(w.machineNodes(machine), step.For)
	}
}

// slowDisks makes writes of the target's processes take ten times as long.
func (w *World) slowDisks(step Step) {
	for _, node := range w.machineNodes(step.Target) {
		usual := w.options.Deployment.DiskDelay
		node.slow = usual * 10
		node.slowUntil = max(node.slowUntil, w.now+step.For)
		w.after(step.For, func() {
			if w.now >= node.slowUntil {
				node.slow = usual
			}
		})
	}
}

// failDisks has every sync fail until the processes are restarted with disks that work.
func (w *World) failDisks(step Step) {
	nodes := w.machineNodes(step.Target)
	for _, node := range nodes {
		node.disk.fail = true
	}
	w.after(step.For, func() {
		for _, node := range nodes {
			node.disk.fail = false
		}
		w.restart(nodes, false, 500*time.Millisecond)
	})
}

func (w *World) restartEverySecondProxy(step Step) {
	for index, node := range w.of(message.RoleProxy) {
		if index%2 == 0 {
			w.restart([]*Node{node}, false, step.For)
		}
	}
}

func (w *World) restartMachines(machines []string, down time.Duration) {
	for _, machine := range machines {
		w.restart(w.machineNodes(machine), false, down)
	}
}

// isolate cuts the target from the other machines, both ways or only what it sends.
func (w *World) isolate(step Step, machines []string, both bool) {
	w.cutBetween([]string{step.Target}, without(machines, step.Target), both, step.For)
}

// halve cuts the target and every third proxy from all other machines.
func (w *World) halve(step Step) {
	left, right := []string{step.Target}, without(w.cores(), step.Target)
	for index, node := range w.of(message.RoleProxy) {
		if index%3 == 0 {
			left = append(left, node.machine)
		} else {
			right = append(right, node.machine)
		}
	}
	w.cutBetween(left, right, true, step.For)
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
		heir := w.addNode(old.role, fmt.Sprintf("%s-after", machine), "", old.settings.Zone,
			fmt.Sprintf("%s.%s:%s", strings.Join(strings.Split(host, ".")[:3], "."), strconv.Itoa(100+w.serial), port), old.settings.Seeds)
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
			self := message.Member{
				Name:    survivor.name,
				Role:    survivor.role,
				Voter:   survivor.settings.Voter,
				Address: survivor.settings.Address,
			}
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
		heir := &Upstream{
			world:          w,
			key:            key,
			vanished:       map[int]bool{},
			work:           service.Work,
			slots:          int(service.Slots),
			serviceSpec:    service,
			servingProxies: old.servingProxies,
			response: backend.Announcement{
				Service:  service.Name,
				Instance: key[len(service.Name)+1:],
				Address:  old.response.Address,
				Zone:     old.response.Zone,
				Slots:    service.Slots,
			},
		}
		w.upstreams[key] = heir
		w.upOrder = append(w.upOrder, key)
		// It takes connections at once and announces itself only later, to another proxy.
		heir.servingProxies = append(append([]*Node{}, old.servingProxies[1:]...), old.servingProxies[0])
		heir.quiet = w.now + time.Duration(w.random.Int64N(int64(2*time.Second)))
		heir.start(0)
		return
	}
}
