package fleet

import (
	"fmt"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/message"
	"beaconvane/internal/stubserver"
	"beaconvane/internal/workload"
)

// StartAll starts every process and the upstreams.
func (f *Fleet) StartAll() error {
	for _, process := range f.Processes {
		if err := f.Start(process); err != nil {
			return err
		}
	}
	for _, service := range f.Deployment.Services {
		for index := range service.Count {
			upstream := f.newUpstream(service, index)
			if err := upstream.Start(f.Group); err != nil {
				return err
			}
			f.Upstreams = append(f.Upstreams, upstream)
		}
	}
	return nil
}

// newUpstream returns the next upstream. It announces itself to one proxy, and to another one of the
// same zone if the first doesn't answer.
func (f *Fleet) newUpstream(service workload.Service, index int) *stubserver.StubServer {
	number := len(f.Upstreams)
	proxies := f.Of(message.RoleProxy)
	servingProxy := proxies[number%len(proxies)]
	fallback := proxies[(number+len(f.Deployment.Zones))%len(proxies)]
	announcement := backend.Announcement{
		Service:     service.Name,
		Instance:    fmt.Sprintf("%s-%d", service.Name, index+1),
		Incarnation: time.Now().UnixNano(),
		Address:     fmt.Sprintf("127.77.4.%d:0", number+1),
		Zone:        f.Deployment.Zones[number%len(proxies)%len(f.Deployment.Zones)],
		Slots:       service.Slots,
	}
	if service.Load {
		announcement.Load = 0.1
	}
	return &stubserver.StubServer{
		Announcement: announcement,
		Proxies:      []string{servingProxy.HTTPAddress, fallback.HTTPAddress},
		Work:         service.Work,
		Keys:         f.keys(),
		Base:         f.Base,
		Calls:        f.callsOf(service),
		Share:        workload.CallShare,
		OtherShare:   stubserver.UsualOtherShare,
	}
}

// keys returns the tenants' keys, which no upstream may receive.
func (f *Fleet) keys() []string {
	keys := []string{}
	for _, tenant := range f.Deployment.Tenants() {
		keys = append(keys, tenant.Key)
	}
	return keys
}

// callsOf returns the requests that the runs of a service make to other upstreams, by the path of the
// incoming request.
func (f *Fleet) callsOf(service workload.Service) map[string]stubserver.Call {
	calls := map[string]stubserver.Call{}
	for _, kind := range f.Deployment.Kinds {
		called, callsUpstream := f.Deployment.Kind(kind.Calls)
		if callsUpstream && kind.Service == service.Name {
			calls[kind.Path] = stubserver.Call{
				Route:   called.Route,
				Service: called.Service,
				Method:  called.Method,
				Path:    called.Path,
				Once:    called.Once,
			}
		}
	}
	return calls
}

// DrainUpstream makes an upstream announce that it is draining, and records when.
func (f *Fleet) DrainUpstream(upstream *stubserver.StubServer) {
	upstream.Change(func(announcement *backend.Announcement) { announcement.Draining = true })
	f.lock.Lock()
	defer f.lock.Unlock()
	f.drainStarts = append(f.drainStarts, checker.DrainStart{
		Service:     upstream.Announcement.Service,
		Instance:    upstream.Announcement.Instance,
		Incarnation: upstream.Announcement.Incarnation,
		At:          f.sinceStart(),
	})
}

// KillUpstream kills an upstream and records the time.
func (f *Fleet) KillUpstream(upstream *stubserver.StubServer) {
	f.lock.Lock()
	f.killed = append(f.killed, checker.Span{Name: upstream.Announcement.Instance, From: f.sinceStart(), To: f.sinceStart()})
	f.lock.Unlock()
	upstream.Kill()
}
