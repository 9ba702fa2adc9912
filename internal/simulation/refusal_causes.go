package simulation

import (
	"time"

	"github.com/tidwall/gjson"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
)

const (
	refusedThoughAble = "refused though able"
	refusedMost       = 0.01 // of a run's requests
)

// settle is how long a machine or upstream that came up may take to be known.
const commit = 2 * time.Second

// able says that some upstream of the service stood ready with a free slot, beside a serving proxy that
// this proxy could reach, and both had been so for a while.
func (w *World) able(from *Node, service string) bool {
	for _, key := range w.upstreamOrder {
		u := w.upstreams[key]
		if u.response.Service != service || !u.up || u.response.Draining || w.now < u.warmUntil+commit || u.running >= u.slots {
			continue
		}
		for _, servingProxy := range u.servingProxies {
			if !servingProxy.up || servingProxy.frozen {
				continue
			}
			if w.now-servingProxy.born > commit && w.linked(from, servingProxy) && w.linked(servingProxy, from) {
				return true
			}
			break
		}
	}
	return false
}

// knownCurrent says that some registry that this proxy could reach knew the configuration to be current;
// a proxy may start with no other.
func (w *World) knownCurrent(from *Node) bool {
	known := false
	for _, registryNode := range w.alive(message.RoleRegistry) {
		if w.linked(from, registryNode) && w.linked(registryNode, from) {
			registryNode.request(registry.ReadConfigurationStatus{ConfigName: "main"}, func(answer any) {
				age := gjson.GetBytes(mustBe[registry.OperatorResponse](answer).Body, "age_ms")
				known = known || age.Exists() && age.Int() <= from.settings.ReparentAfter().Milliseconds()
			})
		}
	}
	return known
}

// causeOf names the cause of a request that was not answered, so that what could not be helped is
// told apart from what the mesh refused although it could have served.
func (w *World) causeOf(asked checker.CallerRequest) string {
	recent := asked.Sent - commit
	done := max(asked.Done, asked.Sent)
	switch {
	case asked.Connection && asked.Done == asked.Sent:
		return "its proxy was down"
	case checker.Within(w.record.Crashes, asked.Proxy, asked.Sent, done+commit) && asked.Connection:
		return "its proxy ended"
	case asked.Code == int(errcode.RequestKeyUnknown):
		return "key withdrawn"
	case asked.Code == int(errcode.RequestPassInvalid), asked.Code == int(errcode.RequestCallerRefused):
		return "the request it came from had ended"
	case checker.Within(w.record.Disconnected, asked.Proxy, recent, done):
		return "its proxy was frozen or cut off"
	case asked.Code == int(errcode.BusyStale), asked.Code == int(errcode.BusyNotReady) && w.refusedUnknownAge[asked.ID]:
		return "nobody could vouch for its updates"
	case asked.Code == int(errcode.BusyBudget):
		// The next try would have broken another promise.
		return "the retry budget was spent"
	case asked.Code/100 == 32:
		return "outcome unknown"
	case checker.Within(w.record.Crashes, asked.Proxy, recent, done):
		return "its proxy had just started"
	case w.couldServe[asked.ID]:
		return refusedThoughAble
	}
	return "nobody could serve"
}
