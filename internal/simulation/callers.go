package simulation

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/loadgen"
	"beaconvane/internal/message"
	"beaconvane/internal/stubserver"
)

// scheduleRequest schedules the request with this number and, after it, the next one, until the load
// ends. The loop is open: send times don't depend on responses.
func (w *World) scheduleRequest(number int, begin time.Duration) {
	sendAt := begin + time.Duration(float64(number)/w.options.Rate*float64(time.Second))
	if sendAt > begin+w.options.Load {
		return
	}
	w.at(sendAt, func() {
		w.sendRandomRequest(number)
		w.scheduleRequest(number+1, begin)
	})
}

// sendRandomRequest sends a request of a random kind, drawn by weight, from a random tenant.
func (w *World) sendRandomRequest(number int) {
	d := w.options.Deployment
	total := 0.0
	for _, kind := range d.Kinds {
		total += kind.Weight
	}
	chance, chosenKind := w.random.Float64()*total, d.Kinds[0]
	for _, kind := range d.Kinds {
		if chance -= kind.Weight; chance < 0 {
			chosenKind = kind
			break
		}
	}
	tenants := d.Tenants()
	w.sendToRandomProxy(fmt.Sprintf("q%d", number), chosenKind, tenants[w.random.IntN(len(tenants))])
}

// sendToRandomProxy sends a caller's request to a random proxy. One in eight carries forged identity
// headers and API keys in a cookie.
func (w *World) sendToRandomProxy(id string, kind loadgen.Kind, tenant loadgen.Tenant) {
	proxies := w.nodesByRole(message.RoleProxy)
	header := http.Header{}
	header.Set(frontend.APIKeyHeader, tenant.Key)
	header.Set(backend.CallerHeader, kind.Caller)
	if w.random.IntN(8) == 0 {
		// The proxy must ignore the forged identity and must not pass the keys on.
		header.Set(backend.TenantHeader, "tenant-0")
		header.Set("X_Calling_Service", "dispatch")
		header.Set("Cookie", "session="+strings.ToUpper(tenant.Key)+"; other="+w.options.Deployment.Tenants()[0].Key)
		w.dangers["requests with forged names and keys in cookies"]++
	}
	w.sendRequest(proxies[w.random.IntN(len(proxies))], header, kind,
		checker.CallerRequest{ID: id, Tenant: tenant.Name, Key: tenant.Key, Caller: kind.Caller}, func() {})
}

// sendNestedRequest sends the request that an upstream makes, with the delegation token, while it runs
// another one. It calls done once: at the response, or after two seconds.
func (w *World) sendNestedRequest(servingProxy *Node, decision backend.Decision, caller string, kind loadgen.Kind, id string, done func()) {
	header := http.Header{}
	header.Set(backend.DelegationHeader, decision.Target.DelegationToken)
	header.Set(backend.CallerHeader, "somebody")
	key := ""
	for _, tenant := range w.options.Deployment.Tenants() {
		if tenant.Name == decision.Forward.Tenant {
			key = tenant.Key
		}
	}
	finished := false
	finish := func() {
		if !finished {
			finished = true
			done()
		}
	}
	// The upstream waits at most this long for the nested response.
	w.after(2*time.Second, finish)
	w.dangers["further calls"]++
	w.sendRequest(servingProxy, header, kind,
		checker.CallerRequest{ID: id, Tenant: decision.Forward.Tenant, Key: key, Caller: caller}, finish)
}

// sendRequest submits a caller's request to a proxy, adds it to the record and calls done at the
// response. done is not called if the proxy ends before it responds.
func (w *World) sendRequest(chosenProxy *Node, header http.Header, kind loadgen.Kind, initial checker.CallerRequest, done func()) {
	request := &initial
	request.Proxy = chosenProxy.machine
	request.Route, request.Service, request.Once = kind.Route, kind.Service, kind.Once
	request.Intended, request.Sent = w.now, w.now
	request.Connection = true
	w.callerRequests = append(w.callerRequests, request)
	if !chosenProxy.up || chosenProxy.listenerClosed {
		request.Done = w.now
		done()
		return
	}
	incarnation := chosenProxy.incarnation
	chosenProxy.run(incarnation, func() {
		header.Set(stubserver.IDHeader, request.ID)
		proxyRequest := &frontend.Request{
			ID:       request.ID + "@" + chosenProxy.machine,
			Method:   kind.Method,
			RawPath:  kind.Path,
			Header:   header,
			Body:     []byte{},
			Deadline: chosenProxy.Now() + chosenProxy.settings.RequestTimeout(),
		}
		submittedIncarnation := incarnation
		chosenProxy.inFlight++
		pending := chosenProxy.dispatcher.Submit(proxyRequest, func(time.Duration) {}, func(final *frontend.Response) {
			w.after(100*time.Microsecond, func() {
				if !chosenProxy.up || chosenProxy.incarnation != submittedIncarnation {
					return
				}
				chosenProxy.inFlight--
				request.Connection, request.Done, request.Status, request.Body = false, w.now, final.Status, string(final.Body)
				request.Code, request.Retry = int(final.Code), final.RetryAfter > 0
				for _, responseHeader := range final.Headers {
					switch responseHeader.Name {
					case stubserver.ResponseMarkHeader:
						request.ResponseMark = responseHeader.Value
					case frontend.CodeHeader:
						request.Code, _ = strconv.Atoi(responseHeader.Value)
					}
				}
				w.checkRefusalAfterReady(chosenProxy, errcode.Code(request.Code), proxyRequest.Attempts)
				if request.Code == int(errcode.BusyNotReady) && !w.configKnownCurrent(chosenProxy) {
					w.refusedConfigAgeUnknown[request.ID] = true
				}
				if request.Code != 0 && w.upstreamAvailable(chosenProxy, kind.Service) {
					w.refusedThoughServable[request.ID] = true
				}
				done()
			})
		})
		w.after(chosenProxy.trueWait(chosenProxy.settings.RequestTimeout()), func() {
			chosenProxy.run(incarnation, func() { chosenProxy.dispatcher.Abandon(pending) })
		})
	})
}
