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

// scenario injects faults into a fleet, or performs operations on it, while the load runs; length is
// the duration of the load. Writes may be refused: the outcome counts how they were answered. A
// scenario returns an error if a process can't be started.
type scenario func(f *Fleet, length time.Duration, outcome *Outcome) error

// overhead compares the latency of one kind of request, in five pairs of runs: directly to the
// upstreams and through the mesh.
func overhead(f *Fleet, _ time.Duration, outcome *Outcome) error {
	kind := f.Deployment.Kinds[1]
	addresses, proxies := []string{}, f.proxyAddresses()
	for _, upstream := range f.Upstreams {
		if upstream.Announcement.Service == kind.Service {
			addresses = append(addresses, upstream.Announcement.Address)
		}
	}
	run := func(targets []string, seed uint64) loadgen.Summary {
		return loadgen.Summarise(f.runLoad(targets, []loadgen.Kind{kind}, 500, 3*time.Second, seed))
	}
	for number := range uint64(5) {
		direct, mesh := run(addresses, 1000+number), run(proxies, 2000+number)
		outcome.Pairs = append(outcome.Pairs, Pair{
			DirectP50: direct.P50,
			MeshP50:   mesh.P50,
			DirectP99: direct.P99,
			MeshP99:   mesh.P99,
			ExtraP50:  mesh.P50 - direct.P50,
			ExtraP99:  mesh.P99 - direct.P99,
		})
	}
	return nil
}

// killHolder kills the holder of a zone's lease, and restarts it.
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

// killVoter kills both processes of a voter, writes a configuration while they are down, and restarts
// them.
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

// restartProxies restarts up to three proxies one after the other, alternately by SIGKILL and by
// SIGTERM.
func restartProxies(f *Fleet, length time.Duration, _ *Outcome) error {
	proxies := f.Of(message.RoleProxy)
	for index, process := range proxies[:min(3, len(proxies))] {
		f.pause(length / 8)
		if index%2 == 0 {
			f.Kill(process)
		} else {
			f.Signal(process, syscall.SIGTERM)
			<-process.exited
		}
		f.pause(length / 16)
		if err := f.Start(process); err != nil {
			return err
		}
	}
	return nil
}

// freezeHolder freezes the holder of a zone's lease by SIGSTOP for a quarter of the load.
func freezeHolder(f *Fleet, length time.Duration, _ *Outcome) error {
	f.pause(length / 4)
	if holder := f.Holder(f.Deployment.Zones[0]); holder != nil {
		f.Signal(holder, syscall.SIGSTOP)
		f.pause(length / 4)
		f.Signal(holder, syscall.SIGCONT)
	}
	return nil
}

// writeRepeatedly writes several versions, each larger than the one before.
func writeRepeatedly(f *Fleet, length time.Duration, _ *Outcome) error {
	for version := int64(2); version < 8; version++ {
		f.pause(length / 8)
		f.tryWrite(version, f.Deployment.Tenants(), int(version)*100)
	}
	return nil
}

// withdrawKey withdraws a key while one proxy is frozen. The proxy must not accept the key after it
// resumes.
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

// writeLargeConfigurations writes two versions of nearly the maximum size.
func writeLargeConfigurations(f *Fleet, length time.Duration, _ *Outcome) error {
	f.pause(length / 4)
	f.tryWrite(2, f.Deployment.Tenants(), 19000)
	f.pause(length / 4)
	f.tryWrite(3, f.Deployment.Tenants(), 18000)
	return nil
}

// uploadLargeBodies sends requests with bodies of nearly the maximum size concurrently, in addition to
// the load.
func uploadLargeBodies(f *Fleet, length time.Duration, outcome *Outcome) error {
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

// drainUpstream drains, signs off and then stops one upstream, and kills another without notice.
func drainUpstream(f *Fleet, length time.Duration, _ *Outcome) error {
	f.pause(length / 4)
	f.DrainUpstream(f.Upstreams[0])
	f.pause(length / 8)
	f.Upstreams[0].SignOff()
	f.KillUpstream(f.Upstreams[0])
	f.KillUpstream(f.Upstreams[1])
	return nil
}

// corruptAnswers makes two upstreams lose, corrupt or delay some of their answers.
func corruptAnswers(f *Fleet, _ time.Duration, _ *Outcome) error {
	for _, upstream := range f.Upstreams[:2] {
		upstream.SetFaults(stubserver.Faults{Lose: 0.05, Garbage: 0.05, Truncate: 0.05, Excess: 0.05, Slow: 0.05})
	}
	return nil
}

// restartAll kills and restarts all processes, and measures the time until every proxy is ready.
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
	startedAt := time.Now()
	f.WaitUntil(readyTimeout, f.Ready)
	outcome.RestoreMS = time.Since(startedAt).Milliseconds()
	return nil
}

// scenarios maps the names of the scenarios to their functions.
var scenarios = map[string]scenario{
	"overhead":       overhead,
	"calm":           func(*Fleet, time.Duration, *Outcome) error { return nil },
	"holder":         killHolder,
	"voter":          killVoter,
	"proxies":        restartProxies,
	"freeze":         freezeHolder,
	"configurations": writeRepeatedly,
	"withdraw":       withdrawKey,
	"huge":           writeLargeConfigurations,
	"uploads":        uploadLargeBodies,
	"drain":          drainUpstream,
	"garbage":        corruptAnswers,
	"restart":        restartAll,
}

// ScenarioNames returns the sorted names of the scenarios, separated by commas.
func ScenarioNames() string {
	names := []string{}
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// tryWrite writes a version whose write may be refused or fail. Write counts the answer.
func (f *Fleet) tryWrite(version int64, tenants []loadgen.Tenant, fillerRoutes int) {
	_, _ = f.Write(version, tenants, fillerRoutes)
}

// pause blocks for a duration.
func (f *Fleet) pause(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	<-timer.C
}
