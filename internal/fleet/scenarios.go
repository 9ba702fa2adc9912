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

// overhead compares in pairs at the deployment's full rate, on one kind of request.
func overhead(f *Fleet, _ time.Duration, outcome *Outcome) {
	chosenKind := f.Deployment.Kinds[1]
	addresses, proxies := []string{}, []string{}
	for _, upstream := range f.Upstreams {
		if upstream.Announcement.Service == chosenKind.Service {
			addresses = append(addresses, upstream.Announcement.Address)
		}
	}
	for _, process := range f.Of(message.RoleProxy) {
		proxies = append(proxies, process.Outside)
	}
	run := func(targets []string, seed uint64) loadgen.Summary {
		return loadgen.Summarise(loadgen.Run(f.Group.Context, f.Group, loadgen.Plan{Proxies: targets, Kinds: []loadgen.Kind{chosenKind}, Tenants: f.Deployment.Tenants(),
			Rate: 500, Length: 3 * time.Second, Limit: requestLimit, Seed: seed, Base: f.Base}))
	}
	for number := range uint64(5) {
		straight, mesh := run(addresses, 1000+number), run(proxies, 2000+number)
		outcome.Pairs = append(outcome.Pairs, Pair{straight.P50, mesh.P50, straight.P99, mesh.P99, mesh.P50 - straight.P50, mesh.P99 - straight.P99})
	}
}

// scenarios are what is done to a fleet under load, by name; length is the load's.
var scenarios = map[string]func(f *Fleet, length time.Duration, outcome *Outcome){
	"overhead": overhead,
	"calm":     func(*Fleet, time.Duration, *Outcome) {},
	"holder": func(f *Fleet, length time.Duration, _ *Outcome) {
		f.after(length / 4)
		if holder := f.Holder(f.Deployment.Zones[0]); holder != nil {
			f.Kill(holder)
			f.after(length / 4)
			f.Start(holder)
		}
	},
	"voter": func(f *Fleet, length time.Duration, _ *Outcome) {
		f.after(length / 4)
		for _, process := range f.Processes {
			if process.Node == workload.Voters[0] {
				f.Kill(process)
			}
		}
		f.after(length / 8)
		f.Write(2, f.Deployment.Tenants(), 10)
		f.after(length / 4)
		for _, process := range f.Processes {
			if process.Node == workload.Voters[0] {
				f.Start(process)
			}
		}
	},
	"proxies": func(f *Fleet, length time.Duration, _ *Outcome) {
		proxies := f.Of(message.RoleProxy)
		for index, process := range proxies[:min(3, len(proxies))] {
			f.after(length / 8)
			if index%2 == 0 {
				f.Kill(process)
			} else {
				f.Signal(process, syscall.SIGTERM)
				<-process.ended
			}
			f.after(length / 16)
			f.Start(process)
		}
	},
	"freeze": func(f *Fleet, length time.Duration, _ *Outcome) {
		f.after(length / 4)
		if holder := f.Holder(f.Deployment.Zones[0]); holder != nil {
			f.Signal(holder, syscall.SIGSTOP)
			f.after(length / 4)
			f.Signal(holder, syscall.SIGCONT)
		}
	},
	"configurations": func(f *Fleet, length time.Duration, _ *Outcome) {
		for version := int64(2); version < 8; version++ {
			f.after(length / 8)
			f.Write(version, f.Deployment.Tenants(), int(version)*100)
		}
	},
	"withdraw": func(f *Fleet, length time.Duration, _ *Outcome) {
		// A key is withdrawn while one proxy is frozen; it wakes into a changed world.
		proxies := f.Of(message.RoleProxy)
		f.after(length / 4)
		f.Signal(proxies[0], syscall.SIGSTOP)
		f.after(length / 16)
		f.Write(2, f.Deployment.Tenants()[1:], 0)
		f.after(length / 3)
		f.Signal(proxies[0], syscall.SIGCONT)
	},
	"huge": func(f *Fleet, length time.Duration, _ *Outcome) {
		f.after(length / 4)
		f.Write(2, f.Deployment.Tenants(), 19000)
		f.after(length / 4)
		f.Write(3, f.Deployment.Tenants(), 18000)
	},
	"uploads": func(f *Fleet, length time.Duration, outcome *Outcome) {
		// Contact lists of nearly the largest body, many at once, beside the load.
		kind := f.Deployment.Kinds[0]
		for _, other := range f.Deployment.Kinds {
			if other.Body > kind.Body {
				kind = other
			}
		}
		kind.Body = int(settings.Default().Limits.Body) - 1024
		f.after(length / 4)
		proxies := []string{}
		for _, process := range f.Of(message.RoleProxy) {
			proxies = append(proxies, process.Outside)
		}
		f.uploads = loadgen.Run(f.Group.Context, f.Group, loadgen.Plan{Proxies: proxies, Kinds: []loadgen.Kind{kind}, Tenants: f.Deployment.Tenants(),
			Rate: 30, Length: length / 3, Limit: requestLimit, Seed: 9000, Base: f.Base})
		summary := loadgen.Summarise(f.uploads)
		outcome.Uploads = &summary
	},
	"drain": func(f *Fleet, length time.Duration, _ *Outcome) {
		f.after(length / 4)
		f.Leave(f.Upstreams[0])
		f.after(length / 8)
		f.Upstreams[0].SignOff()
		f.End(f.Upstreams[0])
		f.End(f.Upstreams[1])
	},
	"garbage": func(f *Fleet, length time.Duration, _ *Outcome) {
		for _, upstream := range f.Upstreams[:2] {
			upstream.SetFaults(stubserver.Faults{Lose: 0.05, Garbage: 0.05, Truncate: 0.05, Excess: 0.05, Slow: 0.05})
		}
	},
	"restart": func(f *Fleet, length time.Duration, outcome *Outcome) {
		f.after(length / 4)
		for _, process := range f.Processes {
			f.Kill(process)
		}
		for _, process := range f.Processes {
			f.Start(process)
		}
		begin := time.Now()
		f.Until(30*time.Second, f.Ready)
		outcome.RestoreMS = time.Since(begin).Milliseconds()
	},
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

// after waits.
func (f *Fleet) after(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	<-timer.C
}
