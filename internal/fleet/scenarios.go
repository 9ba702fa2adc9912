package fleet

import (
	"sort"
	"strings"
	"syscall"
	"time"

	"beaconvane/internal/loadgen"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/stubserver"
	"beaconvane/internal/workload"
)

// scenario is what is done to a fleet under load; length is the load's. Writes may be refused
// meanwhile: how each was answered stands in the outcome. It fails where a process does not start.
type scenario func(f *Fleet, length time.Duration, outcome *Outcome) error

// overhead compares the latency of requests straight to the upstreams with that through the mesh, in
// pairs, on one kind of request.
func overhead(f *Fleet, _ time.Duration, outcome *Outcome) error {
	chosenKind := f.Deployment.Kinds[1]
	addresses, proxies := []string{}, f.proxyAddresses()
	for _, upstream := range f.Upstreams {
		if upstream.Announcement.Service == chosenKind.Service {
			addresses = append(addresses, upstream.Announcement.Address)
		}
	}
	run := func(targets []string, seed uint64) loadgen.Summary {
		return loadgen.Summarise(f.runLoad(targets, []loadgen.Kind{chosenKind}, 500, 3*time.Second, seed))
	}
	for number := range uint64(5) {
		straight, mesh := run(addresses, 1000+number), run(proxies, 2000+number)
		outcome.Pairs = append(outcome.Pairs, Pair{
			StraightP50: straight.P50,
			MeshP50:     mesh.P50,
			StraightP99: straight.P99,
			MeshP99:     mesh.P99,
			ExtraP50:    mesh.P50 - straight.P50,
			ExtraP99:    mesh.P99 - straight.P99,
		})
	}
	return nil
}

// killHolder kills the holder of a zone's lease, and starts it again.
func killHolder(f *Fleet, length time.Duration, _ *Outcome) error {
	f.pause(length / 4)
	holder := f.Holder(f.Deployment.Zones[0])
	if holder == nil {
		return nil
	}
	f.Kill(holder)
	f.pause(length / 4)
	return f.Start(holder)
}

// killVoter kills both processes of a voter, writes without it, and starts them again.
func killVoter(f *Fleet, length time.Duration, _ *Outcome) error {
	f.pause(length / 4)
	for _, process := range f.Processes {
		if process.Node == workload.Voters[0] {
			f.Kill(process)
		}
	}
	f.pause(length / 8)
	f.tryWrite(2, f.Deployment.Tenants(), 10)
	f.pause(length / 4)
	for _, process := range f.Processes {
		if process.Node != workload.Voters[0] {
			continue
		}
		if err := f.Start(process); err != nil {
			return err
		}
	}
	return nil
}

// restartProxies stops some proxies one after the other, by kill and politely in turn, and starts
// each again.
func restartProxies(f *Fleet, length time.Duration, _ *Outcome) error {
	proxies := f.Of(message.RoleProxy)
	for index, process := range proxies[:min(3, len(proxies))] {
		f.pause(length / 8)
		if index%2 == 0 {
			f.Kill(process)
		} else {
			f.Signal(process, syscall.SIGTERM)
			<-process.ended
		}
		f.pause(length / 16)
		if err := f.Start(process); err != nil {
			return err
		}
	}
	return nil
}

// freezeHolder stops the holder of a zone's lease for a while.
func freezeHolder(f *Fleet, length time.Duration, _ *Outcome) error {
	f.pause(length / 4)
	if holder := f.Holder(f.Deployment.Zones[0]); holder != nil {
		f.Signal(holder, syscall.SIGSTOP)
		f.pause(length / 4)
		f.Signal(holder, syscall.SIGCONT)
	}
	return nil
}

// writeOften writes versions that grow.
func writeOften(f *Fleet, length time.Duration, _ *Outcome) error {
	for version := int64(2); version < 8; version++ {
		f.pause(length / 8)
		f.tryWrite(version, f.Deployment.Tenants(), int(version)*100)
	}
	return nil
}

// withdrawKey withdraws a key while one proxy is frozen, which must not honor it afterwards.
func withdrawKey(f *Fleet, length time.Duration, _ *Outcome) error {
	proxies := f.Of(message.RoleProxy)
	f.pause(length / 4)
	f.Signal(proxies[0], syscall.SIGSTOP)
	f.pause(length / 16)
	f.tryWrite(2, f.Deployment.Tenants()[1:], 0)
	f.pause(length / 3)
	f.Signal(proxies[0], syscall.SIGCONT)
	return nil
}

// writeHuge writes two versions of nearly the largest size.
func writeHuge(f *Fleet, length time.Duration, _ *Outcome) error {
	f.pause(length / 4)
	f.tryWrite(2, f.Deployment.Tenants(), 19000)
	f.pause(length / 4)
	f.tryWrite(3, f.Deployment.Tenants(), 18000)
	return nil
}

// uploadMany sends bodies of nearly the largest size, many at once, beside the load.
func uploadMany(f *Fleet, length time.Duration, outcome *Outcome) error {
	kind := f.Deployment.Kinds[0]
	for _, other := range f.Deployment.Kinds {
		if other.Body > kind.Body {
			kind = other
		}
	}
	kind.Body = int(settings.Default().Limits.Body) - 1024
	f.pause(length / 4)
	f.uploads = f.runLoad(f.proxyAddresses(), []loadgen.Kind{kind}, 30, length/3, 9000)
	summary := loadgen.Summarise(f.uploads)
	outcome.Uploads = &summary
	return nil
}

// drainUpstream lets one upstream leave in order, and ends another at once.
func drainUpstream(f *Fleet, length time.Duration, _ *Outcome) error {
	f.pause(length / 4)
	f.Leave(f.Upstreams[0])
	f.pause(length / 8)
	f.Upstreams[0].SignOff()
	f.End(f.Upstreams[0])
	f.End(f.Upstreams[1])
	return nil
}

// garbleAnswers makes two upstreams lose and spoil some answers.
func garbleAnswers(f *Fleet, _ time.Duration, _ *Outcome) error {
	for _, upstream := range f.Upstreams[:2] {
		upstream.SetFaults(stubserver.Faults{Lose: 0.05, Garbage: 0.05, Truncate: 0.05, Excess: 0.05, Slow: 0.05})
	}
	return nil
}

// restartAll kills all processes, starts them again, and measures until every proxy is ready.
func restartAll(f *Fleet, length time.Duration, outcome *Outcome) error {
	f.pause(length / 4)
	for _, process := range f.Processes {
		f.Kill(process)
	}
	for _, process := range f.Processes {
		if err := f.Start(process); err != nil {
			return err
		}
	}
	begin := time.Now()
	f.Until(readyLimit, f.Ready)
	outcome.RestoreMS = time.Since(begin).Milliseconds()
	return nil
}

// scenarios are the scenarios by name.
var scenarios = map[string]scenario{
	"overhead":       overhead,
	"calm":           func(*Fleet, time.Duration, *Outcome) error { return nil },
	"holder":         killHolder,
	"voter":          killVoter,
	"proxies":        restartProxies,
	"freeze":         freezeHolder,
	"configurations": writeOften,
	"withdraw":       withdrawKey,
	"huge":           writeHuge,
	"uploads":        uploadMany,
	"drain":          drainUpstream,
	"garbage":        garbleAnswers,
	"restart":        restartAll,
}

// ScenarioNames returns the names of the scenarios, with commas.
func ScenarioNames() string {
	names := []string{}
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// tryWrite writes a version that the fleet may refuse or lose; how it was answered is counted.
func (f *Fleet) tryWrite(version int64, tenants []loadgen.Tenant, more int) {
	_, _ = f.Write(version, tenants, more)
}

// pause waits.
func (f *Fleet) pause(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	<-timer.C
}
