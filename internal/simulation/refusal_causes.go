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
	maxRefusedShare   = 0.01 // limit of their share of a run's requests
)

// propagationTime is how long the other nodes may take to learn of a machine or upstream that has started.
const propagationTime = 2 * time.Second

// upstreamAvailable reports whether some upstream of the service has been ready for propagationTime and
// has a free slot, and its serving proxy has been up for as long and is reachable from the given proxy.
func (w *World) upstreamAvailable(from *Node, service string) bool {
	for _, key := range w.upstreamOrder {
		upstream := w.upstreams[key]
		if upstream.announcement.Service != service || !upstream.up || upstream.announcement.Draining ||
			w.now < upstream.warmUntil+propagationTime || upstream.running >= upstream.slots {
			continue
		}
		for _, servingProxy := range upstream.servingProxies {
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

// configKnownCurrent reports whether some registry that a proxy can reach knows that its
// configuration is current. A proxy may not start with any other.
func (w *World) configKnownCurrent(from *Node) bool {
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

// unansweredCause returns why a request was not answered. The causes separate unavoidable failures from
// requests that the mesh refused although it could have served them.
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
		// Another attempt would have exceeded the bound on retries.
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
