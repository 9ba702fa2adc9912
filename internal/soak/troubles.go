package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"beaconvane/internal/fleet"
	"beaconvane/internal/message"
)

const (
	maxTroublePause = 1500 * time.Millisecond // between two troubles of a series
	stopTimeout     = 7 * time.Second         // after SIGTERM

	minFreeze      = 500 * time.Millisecond
	maxExtraFreeze = 3500 * time.Millisecond

	herdSpread       = 60 * time.Millisecond // within which the processes of a herd are killed
	minRestart       = 100 * time.Millisecond
	maxExtraRegistry = 200 * time.Millisecond
	maxExtraRestart  = 800 * time.Millisecond
	maxOutlive       = 250 * time.Millisecond // of a registry after the stores of its herd
	maxHerdRestart   = 300 * time.Millisecond
	maxHerdRounds    = 6
	maxHerdPause     = 250 * time.Millisecond // between two rounds
	spareHolderShare = 0.75                   // of the herds: the machine that holds the configuration log stays up
	signOffKillDelay = 60 * time.Millisecond
)

// machine is a process of the fleet. Only one trouble has it at a time.
type machine struct {
	*fleet.Process
	lock sync.Mutex
}

// troubles are series of signals and restarts, drawn from a seed.
type troubles struct {
	seen      *observations
	fleet     *fleet.Fleet
	machines  []*machine
	upstreams []*upstream
}

// trouble is one trouble, from its first signal until its processes are back.
type trouble func(ctx context.Context, random *rand.Rand)

// series returns the troubles that each series draws from. The first one kills only herds, the others draw
// from all kinds.
func (t *troubles) series() [][]trouble {
	mixed := []trouble{t.killHerd, t.killOne, t.freeze, t.freeze, t.stopGracefully, t.reload, t.signOffAndKill}
	return [][]trouble{{t.killHerd}, mixed, mixed, {t.leave}, {t.leave}, {t.leave}}
}

// run plays one series until ctx ends.
func (t *troubles) run(ctx context.Context, random *rand.Rand, kinds []trouble) {
	for ctx.Err() == nil {
		kinds[random.IntN(len(kinds))](ctx, random)
		sleep(ctx, time.Duration(random.Int64N(int64(maxTroublePause))))
	}
}

// take takes the machines that no other trouble has. The caller must release them.
func take(machines []*machine) []*machine {
	taken := []*machine{}
	for _, candidate := range machines {
		if candidate.lock.TryLock() {
			taken = append(taken, candidate)
		}
	}
	return taken
}

// acquire takes machines, and waits for those that are taken. The caller must release them.
func acquire(machines []*machine) {
	for _, wanted := range machines {
		wanted.lock.Lock()
	}
}

func release(machines []*machine) {
	for _, taken := range machines {
		taken.lock.Unlock()
	}
}

// draw takes one machine, or none if another trouble has the one that was drawn.
func (t *troubles) draw(random *rand.Rand) []*machine {
	return take([]*machine{t.machines[random.IntN(len(t.machines))]})
}

// ofNode returns the processes of a node.
func (t *troubles) ofNode(node string) []*machine {
	return slices.DeleteFunc(slices.Clone(t.machines), func(other *machine) bool { return other.Node != node })
}

// ofRole returns the machines of some roles.
func ofRole(machines []*machine, roles ...string) []*machine {
	return slices.DeleteFunc(slices.Clone(machines), func(other *machine) bool { return !slices.Contains(roles, other.Role) })
}

// core returns the processes of the core machines, without those of one node.
func (t *troubles) core(without string) []*machine {
	return slices.DeleteFunc(slices.Clone(t.machines), func(other *machine) bool {
		return other.Role == message.RoleProxy || other.Node == without
	})
}

// kill kills machines within herdSpread.
func (t *troubles) kill(ctx context.Context, random *rand.Rand, machines []*machine) {
	var pending sync.WaitGroup
	for _, target := range machines {
		delay := time.Duration(random.Int64N(int64(herdSpread)))
		pending.Go(func() {
			sleep(ctx, delay)
			t.seen.record("SIGKILL %s %s at %s ", target.Role, target.Node, target.HTTPAddress)
			t.fleet.Kill(target.Process)
			t.seen.addDisruption()
		})
	}
	pending.Wait()
}

// start starts a machine again.
func (t *troubles) start(target *machine) {
	t.seen.record("start %s %s at %s ", target.Role, target.Node, target.HTTPAddress)
	t.seen.addDisruption()
	defer t.seen.addDisruption()
	if err := t.fleet.Start(target.Process); err != nil {
		t.seen.record("start of %s %s failed: %v", target.Role, target.Node, err)
	}
}

// restart starts killed machines, each after minRestart and a random part of maxExtra: registries first.
func (t *troubles) restart(ctx context.Context, random *rand.Rand, machines []*machine, maxExtra time.Duration) {
	var pending sync.WaitGroup
	for _, target := range machines {
		extra := maxExtra
		if target.Role == message.RoleRegistry {
			extra = min(extra, maxExtraRegistry)
		}
		delay := minRestart + time.Duration(random.Int64N(int64(extra)))
		pending.Go(func() {
			sleep(ctx, delay)
			t.start(target)
		})
	}
	pending.Wait()
}

// updatesStatus holds the part of a registry's status that names the configuration store it follows.
type updatesStatus struct {
	Updates struct {
		From string `json:"from"`
	} `json:"updates"`
}

// holderNode returns the core machine whose configuration store the registries follow, or "" if none answers.
func (t *troubles) holderNode() string {
	for _, registry := range t.fleet.Of(message.RoleRegistry) {
		status := updatesStatus{}
		if fleet.Get("http://"+registry.HTTPAddress+"/v1/status", &status) != http.StatusOK {
			continue
		}
		if node, isStore := strings.CutPrefix(status.Updates.From, message.RoleConfigStore+"/"); isStore {
			return node
		}
	}
	return ""
}

// killHerd kills the core machines, mostly all but the holder of the configuration log, a few times in a row,
// and at times some proxies with them.
func (t *troubles) killHerd(ctx context.Context, random *rand.Rand) {
	spared := ""
	if random.Float64() < spareHolderShare {
		spared = t.holderNode()
	}
	herd := t.core(spared)
	for _, proxy := range t.fleet.Of(message.RoleProxy) {
		if random.Float64() < 0.2 {
			herd = append(herd, t.ofNode(proxy.Node)...)
		}
	}
	taken := take(herd)
	defer release(taken)
	for range 1 + random.IntN(maxHerdRounds) {
		// The registries outlive the stores by a moment, in which orders are under way.
		t.kill(ctx, random, ofRole(taken, message.RoleConfigStore))
		sleep(ctx, time.Duration(random.Int64N(int64(maxOutlive))))
		t.kill(ctx, random, ofRole(taken, message.RoleRegistry, message.RoleProxy))
		t.restart(ctx, random, taken, maxHerdRestart)
		sleep(ctx, time.Duration(random.Int64N(int64(maxHerdPause))))
	}
}

// killOne kills one process.
func (t *troubles) killOne(ctx context.Context, random *rand.Rand) {
	taken := t.draw(random)
	defer release(taken)
	t.kill(ctx, random, taken)
	t.restart(ctx, random, taken, maxExtraRestart)
}

// freeze stops the processes of one machine and continues them later.
func (t *troubles) freeze(ctx context.Context, random *rand.Rand) {
	taken := take(t.ofNode(t.machines[random.IntN(len(t.machines))].Node))
	defer release(taken)
	for _, target := range taken {
		t.seen.record("SIGSTOP %s %s at %s ", target.Role, target.Node, target.HTTPAddress)
		t.fleet.Signal(target.Process, syscall.SIGSTOP)
		t.seen.addDisruption()
	}
	sleep(ctx, minFreeze+time.Duration(random.Int64N(int64(maxExtraFreeze))))
	for _, target := range taken {
		t.seen.record("SIGCONT %s %s at %s ", target.Role, target.Node, target.HTTPAddress)
		t.fleet.Signal(target.Process, syscall.SIGCONT)
		t.seen.addDisruption()
	}
}

// stopGracefully stops a process by SIGTERM, by SIGKILL if it takes too long, and starts it again.
func (t *troubles) stopGracefully(ctx context.Context, random *rand.Rand) {
	taken := t.draw(random)
	defer release(taken)
	for _, target := range taken {
		t.seen.record("SIGTERM %s %s at %s ", target.Role, target.Node, target.HTTPAddress)
		t.fleet.Signal(target.Process, syscall.SIGTERM)
		t.seen.addDisruption()
		if !target.WaitExited(stopTimeout) {
			t.kill(ctx, random, []*machine{target})
		}
	}
	t.restart(ctx, random, taken, maxExtraRestart)
}

// reload sends SIGHUP to a few processes.
func (t *troubles) reload(_ context.Context, random *rand.Rand) {
	for range 1 + random.IntN(len(t.machines)) {
		taken := t.draw(random)
		for _, target := range taken {
			t.seen.record("SIGHUP %s %s at %s ", target.Role, target.Node, target.HTTPAddress)
			t.fleet.Signal(target.Process, syscall.SIGHUP)
			t.seen.addDisruption()
		}
		release(taken)
	}
}

// signOffAndKill has an upstream sign off. At times its proxy and all core processes are killed right after
// the acknowledgement.
func (t *troubles) signOffAndKill(ctx context.Context, random *rand.Rand) {
	leaving := t.upstreams[random.IntN(len(t.upstreams))]
	killed, delay := random.Float64() < 0.5, time.Duration(random.Int64N(int64(signOffKillDelay)))
	var pending sync.WaitGroup
	pending.Go(func() {
		leaving.leave(ctx, func() {
			if killed {
				pending.Go(func() { t.killBehind(ctx, random, leaving, delay) })
			}
		})
	})
	pending.Wait()
}

// killBehind kills the proxy beside an upstream and all core processes after a delay, and starts them again.
func (t *troubles) killBehind(ctx context.Context, random *rand.Rand, leaving *upstream, delay time.Duration) {
	targets := t.core("")
	for _, candidate := range t.machines {
		if candidate.HTTPAddress == leaving.proxies[0] {
			targets = append(targets, candidate)
		}
	}
	taken := take(targets)
	defer release(taken)
	sleep(ctx, delay)
	t.kill(ctx, random, taken)
	t.restart(ctx, random, taken, maxExtraRestart)
}
