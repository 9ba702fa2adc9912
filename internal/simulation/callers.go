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

// requestSoon is the callers' open loop.
func (w *World) requestSoon(number int, begin time.Duration) {
	when := begin + time.Duration(float64(number)/w.options.Rate*float64(time.Second))
	if when > begin+w.options.Load {
		return
	}
	w.at(when, func() {
		w.requestOne(number)
		w.requestSoon(number+1, begin)
	})
}

func (w *World) requestOne(number int) {
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
	w.requestWith(fmt.Sprintf("q%d", number), chosenKind, tenants[w.random.IntN(len(tenants))])
}

func (w *World) requestWith(id string, kind loadgen.Kind, tenant loadgen.Tenant) {
	proxies := w.nodesOf(message.RoleProxy)
	header := http.Header{}
	header.Set(frontend.APIKeyHeader, tenant.Key)
	header.Set(backend.CallerHeader, kind.Caller)
	if w.random.IntN(8) == 0 {
		// Some callers claim to be others, and show their key in more places.
		header.Set(backend.TenantHeader, "tenant-0")
		header.Set("X_Calling_Service", "dispatch")
		header.Set("Cookie", "session="+strings.ToUpper(tenant.Key)+"; other="+w.options.Deployment.Tenants()[0].Key)
		w.dangers["requests with forged names and keys in cookies"]++
	}
	w.sendRequest(proxies[w.random.IntN(len(proxies))], header, kind,
		checker.CallerRequest{ID: id, Tenant: tenant.Name, Key: tenant.Key, Caller: kind.Caller}, func() {})
}

// callOn is an upstream's further call, with the pass of the request that it runs.
func (w *World) callOn(servingProxy *Node, order backend.Decision, from string, kind loadgen.Kind, id string, then func()) {
	header := http.Header{}
	header.Set(backend.DelegationHeader, order.Target.DelegationToken)
	header.Set(backend.CallerHeader, "somebody")
	key := ""
	for _, tenant := range w.options.Deployment.Tenants() {
		if tenant.Name == order.Forward.Tenant {
			key = tenant.Key
		}
	}
	over := false
	once := func() {
		if !over {
			over = true
			then()
		}
	}
	// It waits no longer than this for what it called.
	w.after(2*time.Second, once)
	w.dangers["further calls"]++
	w.sendRequest(servingProxy, header, kind, checker.CallerRequest{ID: id, Tenant: order.Forward.Tenant, Key: key, Caller: from}, once)
}

func (w *World) sendRequest(chosenProxy *Node, header http.Header, kind loadgen.Kind, response checker.CallerRequest, then func()) {
	asked := &response
	asked.Proxy = chosenProxy.machine
	asked.Route, asked.Service, asked.Once = kind.Route, kind.Service, kind.Once
	asked.Intended, asked.Sent = w.now, w.now
	asked.Connection = true
	w.asked = append(w.asked, asked)
	if !chosenProxy.up || chosenProxy.listenerClosed {
		asked.Done = w.now
		then()
		return
	}
	incarnation := chosenProxy.incarnation
	chosenProxy.run(incarnation, func() {
		header.Set(stubserver.IDHeader, asked.ID)
		request := &frontend.Request{
			ID:       asked.ID + "@" + chosenProxy.machine,
			Method:   kind.Method,
			RawPath:  kind.Path,
			Header:   header,
			Body:     []byte{},
			Deadline: chosenProxy.Now() + chosenProxy.settings.RequestTimeout(),
		}
		sentIncarnation := incarnation
		chosenProxy.inFlight++
		going := chosenProxy.tracker.Submit(request, func(time.Duration) {}, func(final *frontend.Response) {
			w.after(100*time.Microsecond, func() {
				if !chosenProxy.up || chosenProxy.incarnation != sentIncarnation {
					return
				}
				chosenProxy.inFlight--
				asked.Connection, asked.Done, asked.Status, asked.Body = false, w.now, final.Status, string(final.Body)
				asked.Code, asked.Retry = int(final.Code), final.RetryAfter > 0
				for _, line := range final.Headers {
					switch line.Name {
					case stubserver.ResponseMarkHeader:
						asked.ResponseMark = line.Value
					case frontend.CodeHeader:
						asked.Code, _ = strconv.Atoi(line.Value)
					}
				}
				w.refusedAfterReady(chosenProxy, errcode.Code(asked.Code), request.Attempts)
				if asked.Code == int(errcode.BusyNotReady) && !w.knownCurrent(chosenProxy) {
					w.refusedUnknownAge[asked.ID] = true
				}
				if asked.Code != 0 && w.able(chosenProxy, kind.Service) {
					w.couldServe[asked.ID] = true
				}
				then()
			})
		})
		w.after(chosenProxy.trueWait(chosenProxy.settings.RequestTimeout()), func() {
			chosenProxy.run(incarnation, func() { chosenProxy.tracker.Abandon(going) })
		})
	})
}
