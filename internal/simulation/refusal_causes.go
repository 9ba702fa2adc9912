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
	maxRefusedShare   = 0.01 // of a run's requests
)

// settle is how long a machine or upstream that came up may take to be known.
const propagationTime = 2 * time.Second

// able says that some upstream of the service stood ready with a free slot, beside a serving proxy that
// this proxy could reach, and both had been so for a while.
func (w *World) upstreamAvailable(from *Node, service string) bool {
	for _, key := range w.upstreamOrder {
		u := w.upstreams[key]
		if u.announcement.Service != service || !u.up || u.announcement.Draining || w.now < u.warmUntil+propagationTime || u.running >= u.slots {
			continue
		}
		for _, servingProxy := range u.servingProxies {
			if !servingProxy.up || servingProxy.frozen {
				continue
			}
			if w.now-servingProxy.startedAt > propagationTime && w.reachable(from, servingProxy) && w.reachable(servingProxy, from) {
				return true
			}
			break
		}
	}
	return false
}

// knownCurrent says that some registry that this proxy could reach knew the configuration to be current;
// a proxy may start with no other.
func (w *World) configurationKnownCurrent(from *Node) bool {
	known := false
	for _, registryNode := range w.runningNodes(message.RoleRegistry) {
		if w.reachable(from, registryNode) && w.reachable(registryNode, from) {
			registryNode.request(registry.ReadConfigurationStatus{ConfigName: "main"}, func(answer any) {
				age := gjson.GetBytes(mustCast[registry.OperatorResponse](answer).Body, "age_ms")
				known = known || age.Exists() && age.Int() <= from.settings.ReparentAfter().Milliseconds()
			})
		}
	}
	return known
}

// causeOf names the cause of a request that was not answered, so that what could not be helped is
// told apart from what the mesh refused although it could have served.
func (w *World) unansweredCause(request checker.CallerRequest) string {
	recent := request.Sent - propagationTime
	done := max(request.Done, request.Sent)
	switch {
	case request.Connection && request.Done == request.Sent:
		return "its proxy was down"
	case checker.Within(w.record.Crashes, request.Proxy, request.Sent, done+propagationTime) && request.Connection:
		return "its proxy ended"
	case request.Code == int(errcode.RequestKeyUnknown):
		return "key withdrawn"
	case request.Code == int(errcode.RequestPassInvalid), request.Code == int(errcode.RequestCallerRefused):
		return "the request it came from had ended"
	case checker.Within(w.record.Disconnected, request.Proxy, recent, done):
		return "its proxy was frozen or cut off"
	case request.Code == int(errcode.BusyStale), request.Code == int(errcode.BusyNotReady) && w.refusedConfigAgeUnknown[request.ID]:
		return "nobody could vouch for its updates"
	case request.Code == int(errcode.BusyBudget):
		// The next try would have broken another promise.
		return "the retry budget was spent"
	case request.Code/100 == 32:
		return "outcome unknown"
	case checker.Within(w.record.Crashes, request.Proxy, recent, done):
		return "its proxy had just started"
	case w.refusedThoughServable[request.ID]:
		return refusedThoughAble
	}
	return "nobody could serve"
}
