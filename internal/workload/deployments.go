package workload

import (
	"net/http"
	"time"

	"beaconvane/internal/loadgen"
	"beaconvane/internal/settings"
)

// Umuyoboro is the deployment that sends patient messages in Kigali.
func Umuyoboro() Deployment {
	return Deployment{
		Name:      "umuyoboro",
		Zones:     []string{"gasabo", "kicukiro", "nyarugenge"},
		Proxies:   10,
		Rate:      540,
		DiskDelay: 2 * time.Millisecond,
		Services: []Service{
			{Name: "dispatch", Count: 7, Slots: 24, Work: 25 * time.Millisecond},
			{Name: "registry", Count: 3, Slots: 32, Work: 10 * time.Millisecond, Closes: true},
		},
		Kinds: []loadgen.Kind{
			{
				Route: "send", Service: "dispatch", Method: http.MethodPost, Path: "/messages", Caller: "clinic",
				Once: true, Body: 400, Weight: 5, Calls: "contacts",
			},
			{
				Route: "sent", Service: "dispatch", Method: http.MethodGet, Path: "/messages/state", Caller: "nurse",
				Weight: 3, Calls: "templates",
			},
			{
				Route: "contacts", Service: "registry", Method: http.MethodPost, Path: "/contacts", Caller: "clinic",
				Once: true, Body: 4000, Weight: 1,
			},
			{
				Route: "templates", Service: "registry", Method: http.MethodGet, Path: "/templates/list", Caller: "clinic",
				Weight: 1,
			},
		},
	}
}

// Jendela is the deployment that prices windows in the Klang Valley.
func Jendela() Deployment {
	return Deployment{
		Name:               "jendela",
		Zones:              []string{"klang", "petaling", "shah-alam"},
		Proxies:            11,
		Rate:               510,
		KeyWithdrawalBound: true,
		DiskDelay:          20 * time.Millisecond,
		Services: []Service{
			{Name: "quoting", Count: 5, Slots: 24, Work: 20 * time.Millisecond, Load: true},
			{Name: "booking", Count: 3, Slots: 24, Work: 25 * time.Millisecond, Load: true, Closes: true},
			{Name: "factory", Count: 3, Slots: 24, Work: 30 * time.Millisecond, Load: true},
		},
		Kinds: []loadgen.Kind{
			{
				Route: "quote", Service: "quoting", Method: http.MethodGet, Path: "/quotes/window", Caller: "showroom",
				Weight: 5, Calls: "catalogue",
			},
			{
				Route: "deposit", Service: "booking", Method: http.MethodPost, Path: "/deposits", Caller: "showroom",
				Once: true, Body: 300, Weight: 2, Calls: "order",
			},
			{
				Route: "order", Service: "factory", Method: http.MethodPost, Path: "/orders", Caller: "showroom",
				Once: true, Body: 600, Weight: 1,
			},
			{
				Route: "catalogue", Service: "factory", Method: http.MethodGet, Path: "/catalogue/frames", Caller: "showroom",
				Weight: 2,
			},
		},
	}
}

// Named returns a deployment by name:
//
//   - "umuyoboro" and "jendela" are the deployments of the two users;
//   - "umuyoboro-platform" and "jendela-platform" are the same with the settings of the users' platform,
//     and "jendela-narrow" is "jendela-platform" with the slow links of that user's larger site;
//   - "small" is Umuyoboro with few machines, for quick runs;
//   - "voters-3" and "voters-5" are small deployments whose core processes discover their voters;
//     "voters-3-4" has four core machines for three voters, and "voters-zones" has two core machines in
//     each zone for three voters, which keep a majority if a zone is lost.
func Named(name string) (Deployment, bool) {
	switch name {
	case "umuyoboro":
		return Umuyoboro(), true
	case "jendela":
		return Jendela(), true
	case "umuyoboro-platform":
		return onPlatform(Umuyoboro(), 3), true
	case "jendela-platform":
		return onPlatform(Jendela(), 5), true
	case "jendela-narrow":
		narrow := onPlatform(Jendela(), 5)
		narrow.Name, narrow.CoreLink, narrow.ProxyLink = name, narrowCoreLink, narrowProxyLink
		return narrow, true
	case "small":
		return small(), true
	case "voters-3":
		return withVoterDiscovery(name, 3, 3), true
	case "voters-5":
		return withVoterDiscovery(name, 5, 5), true
	case "voters-3-4":
		return withVoterDiscovery(name, 4, 3), true
	case "voters-zones":
		return withTwoCoresPerZone(withVoterDiscovery(name, 6, 3)), true
	}
	return Deployment{}, false
}

// Bandwidths of the links at the larger site of Jendela, in bytes a second: 86 and 2.3 Mbit/s.
const (
	narrowCoreLink  = 86e6 / 8
	narrowProxyLink = 2.3e6 / 8
)

// small returns Umuyoboro with few machines.
func small() Deployment {
	d := Umuyoboro()
	d.Name, d.Proxies, d.Rate = "small", 3, 120
	d.Services[0].Count, d.Services[1].Count = 3, 2
	return d
}

// withVoterDiscovery returns a small deployment whose core processes discover their voters.
func withVoterDiscovery(name string, cores int, voters int64) Deployment {
	d := small()
	d.Name, d.Cores, d.VoterCount = name, cores, voters
	return d
}

// withTwoCoresPerZone returns a deployment with two core machines in each zone, and with the setting
// that the placement of the voters must tolerate the loss of a zone.
func withTwoCoresPerZone(d Deployment) Deployment {
	d.Tolerated = settings.Tolerated{Zones: 1}
	for _, zone := range d.Zones {
		d.CoreZones = append(d.CoreZones, zone, zone)
	}
	return d
}

// onPlatform returns a deployment with the settings of the users' platform: the core processes discover
// their voters, and among competing writes of a configuration the highest version wins.
func onPlatform(d Deployment, voters int) Deployment {
	d.Name += "-platform"
	d.Cores, d.VoterCount, d.Writes = voters, int64(voters), settings.WritesHighest
	return d
}
