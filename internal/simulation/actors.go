// This file is who is around the mesh: upstreams that announce and run, callers that
// ask at a rate, operators that put configurations, and the collector of usage reports.

package simulation

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/loadgen"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/stubserver"
	"beaconvane/internal/workload"
)

// Upstream is a simulated one.
type Upstream struct {
	world          *World
	key            string
	response       backend.Announcement
	servingProxies []*Node
	work           time.Duration
	up             bool
	life           int
	running        int
	most           int
	slots          int
	runs           []checker.Ran
	ended          []func()
	faults         stubserver.Faults
	firstProxy     int
	warmUntil      time.Duration
	quiet          time.Duration // announces nothing before this time
	gone           bool
	vanished       map[int]bool // lives whose machine went without a word
	serviceSpec    workload.Service
}

func (w *World) addUpstream(service workload.Service, index, number int) *Upstream {
	proxies := w.of(message.RoleProxy)
	key := fmt.Sprintf("%s/%s-%d", service.Name, service.Name, index+1)
	u := &Upstream{
		world:       w,
		key:         key,
		work:        service.Work,
		slots:       int(service.Slots),
		firstProxy:  number % len(proxies),
		serviceSpec: service,
		vanished:    map[int]bool{},
		response: backend.Announcement{Service: service.Name, Instance: fmt.Sprintf("%s-%d", service.Name, index+1),
			Address: fmt.Sprintf("10.3.0.%d:9000", number+1), Slots: service.Slots},
	}
	for offset := range 3 {
		u.servingProxies = append(u.servingProxies, proxies[(number+offset*3)%len(proxies)])
	}
	u.response.Zone = u.servingProxies[0].settings.Zone
	w.upstreams[key] = u
	w.upOrder = append(w.upOrder, key)
	return u
}

// start brings an upstream up with a new incarnation.
func (u *Upstream) start(warm time.Duration) {
	if u.up || u.gone {
		return
	}
	u.up = true
	u.life++
	u.running = 0
	u.response.Incarnation = int64(epoch+u.world.now) + 1
	u.response.Leaving = false
	u.warmUntil = u.world.now + warm
	u.world.addresses[u.response.Address] = u
	u.world.mark("upstream %s up at %s", u.key, u.response.Address)
	u.announceSoon(u.life, 0)
}

// kill ends it hard.
func (u *Upstream) kill() {
	if !u.up {
		return
	}
	u.up = false
	u.world.mark("upstream %s killed", u.key)
	u.world.record.Hurt = append(u.world.record.Hurt, checker.Span{Name: u.response.Instance, From: u.world.now, To: u.world.now})
	if u.world.addresses[u.response.Address] == u {
		delete(u.world.addresses, u.response.Address)
	}
	ended := u.ended
	u.ended = nil
	for _, end := range ended {
		end()
	}
}

// vanish is the end of its machine: nothing is closed, nothing is said.
func (u *Upstream) vanish() {
	if !u.up {
		return
	}
	u.up = false
	u.vanished[u.life] = true
	u.world.mark("upstream %s vanished", u.key)
	u.world.record.Hurt = append(u.world.record.Hurt, checker.Span{Name: u.response.Instance, From: u.world.now, To: u.world.now})
	if u.world.addresses[u.response.Address] == u {
		delete(u.world.addresses, u.response.Address)
	}
	u.ended = nil
}

func (u *Upstream) announceSoon(life int, wait time.Duration) {
	u.world.after(wait, func() {
		if !u.up || u.life != life {
			return
		}
		if w := u.world; w.now >= u.quiet {
			u.announce()
		}
		u.announceSoon(life, time.Second)
	})
}

// announce tells the first of its proxies that takes it.
func (u *Upstream) announce() {
	response := u.response
	response.Warming = u.world.now < u.warmUntil
	if u.serviceSpec.Load {
		response.Load = float64(u.running) / float64(u.slots)
	}
	life := u.life
	for _, servingProxy := range u.servingProxies {
		if !servingProxy.up || servingProxy.frozen {
			continue
		}
		chosenServingProxy, servingProxyLife := servingProxy, servingProxy.life
		u.world.after(200*time.Microsecond, func() {
			if u.life != life || !u.up {
				return
			}
			chosenServingProxy.run(servingProxyLife, func() {
				if chosenServingProxy.tracker.Announce(response) {
					chosenServingProxy.guard(response)
				}
			})
		})
		return
	}
}

// upConnection is a connection to an upstream's process, idle or as a guard. It ends when that
// process ends; of one whose machine vanished nothing is heard.
type upConnection struct {
	owner  *Upstream
	life   int
	stream *upstreamStream
}

func (u upConnection) there() bool { return u.owner.up && u.owner.life == u.life }

// quiet: nothing has come on it, as its serving proxy sees it.
func (u upConnection) quiet() bool {
	return (u.there() || u.owner.vanished[u.life]) && u.stream.quiet()
}

// guard opens the guard connection of an announced upstream and some to be kept ready, as
// calling.go does.
func (n *Node) guard(response backend.Announcement) {
	target := backend.Target{Key: response.Service + "/" + response.Instance, Address: response.Address, Incarnation: response.Incarnation}
	life := n.life
	n.world.after(n.world.transit(), func() {
		n.run(life, func() {
			owner := n.world.addresses[target.Address]
			if owner == nil || !owner.up {
				n.serving.MarkBroken(n.Now(), target)
				return
			}
			n.guards[target] = upConnection{owner: owner, life: owner.life}
			n.fill(target)
		})
	})
}

func (n *Node) fill(target backend.Target) {
	owner := n.world.addresses[target.Address]
	for owner != nil && owner.up && len(n.pools[target]) < n.serving.WarmConnections(target) && n.serving.Dialable(n.Now(), target) {
		n.pools[target] = append(n.pools[target], upConnection{owner: owner, life: owner.life})
	}
}

// idle takes a connection that was kept.
func (n *Node) idle(target backend.Target) (upConnection, bool) {
	for list := n.pools[target]; len(list) > 0; list = n.pools[target] {
		connection := list[len(list)-1]
		n.pools[target] = list[:len(list)-1]
		if connection.quiet() {
			return connection, true
		}
	}
	return upConnection{}, false
}

// leave says that it leaves.
func (u *Upstream) leave() {
	u.response.Leaving = true
	u.world.record.Leaving = append(u.world.record.Leaving, checker.Leaving{
		Service:  u.response.Service,
		Instance: u.response.Instance,
		Life:     u.response.Incarnation,
		At:       u.world.now,
	})
	u.announce()
}

// signOff is the last word.
func (u *Upstream) signOff() {
	response := u.response
	for _, servingProxy := range u.servingProxies {
		if servingProxy.up && !servingProxy.frozen {
			chosenServingProxy, life := servingProxy, servingProxy.life
			u.world.after(200*time.Microsecond, func() {
				chosenServingProxy.run(life, func() {
					chosenServingProxy.tracker.Deregister(response.Service, response.Instance, response.Incarnation)
				})
			})
			return
		}
	}
}

// call is the serving proxy's exchange with an upstream, as calling.go does it on sockets.
func (n *Node) call(life int, order backend.Decision) {
	w := n.world
	target := order.Target
	target.DelegationToken = ""
	refuse := func(code errcode.Code) {
		n.run(life, func() { n.tracker.Complete(order, message.Outcome{Kind: message.NotStarted, Code: int64(code)}) })
	}
	if connection, kept := n.idle(target); kept {
		n.exchange(life, order, connection)
		return
	}
	guarded := func() bool {
		guard, known := n.guards[target]
		if known && !guard.quiet() {
			n.serving.MarkBroken(n.Now(), target)
		}
		return known && guard.quiet()
	}
	if !n.serving.ConnectionsUsable(n.Now(), target) || !guarded() {
		refuse(errcode.BusyUpstreamGone)
		return
	}
	if !n.serving.Dialable(n.Now(), target) {
		if owner := w.addresses[target.Address]; owner != nil && owner.response.Incarnation != target.Incarnation {
			w.dangers["dials barred at an address that has another owner"]++
		}
		refuse(errcode.BusyUnproven)
		return
	}
	w.after(w.transit(), func() {
		n.run(life, func() {
			owner := w.addresses[target.Address]
			switch {
			case owner == nil || !owner.up:
				n.serving.MarkBroken(n.Now(), target)
				refuse(errcode.BusyUpstreamGone)
			case !n.serving.Dialable(n.Now(), target) || !guarded():
				refuse(errcode.BusyUnproven)
			default:
				n.exchange(life, order, upConnection{owner: owner, life: owner.life})
			}
		})
	})
}

// exchange sends a request on a connection, once.
func (n *Node) exchange(life int, order backend.Decision, connection upConnection) {
	w, target := n.world, order.Target
	target.DelegationToken = ""
	limit := time.Duration(order.Forward.Remaining)
	if connection.stream == nil {
		connection.stream = &upstreamStream{}
	}
	over := false
	end := func(outcome message.Outcome, broke bool) {
		if over {
			return
		}
		over = true
		n.run(life, func() {
			if broke {
				n.serving.MarkDoubtful(target)
			} else if outcome.Kind == message.Completed {
				n.serving.MarkAlive(n.Now(), target)
				if connection.owner.serviceSpec.Closes || !connection.stream.kept {
					n.fill(target)
				} else if n.serving.ConnectionsUsable(n.Now(), target) {
					n.pools[target] = append(n.pools[target], connection)
				}
			}
			n.tracker.Complete(order, outcome)
		})
	}
	w.after(n.trueWait(limit-limit/20), func() {
		end(message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownTimeout)}, false)
	})
	w.after(w.transit()/2, func() {
		lost := func() {
			w.after(w.transit()/2, func() {
				end(message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}, true)
			})
		}
		switch {
		case connection.there():
			connection.stream.sent(w)
			connection.owner.run(n, order, connection.stream, end, lost)
		case !connection.owner.vanished[connection.life]:
			lost()
		case w.addresses[target.Address] != nil:
			// Whoever has the address now knows nothing of that connection and resets it.
			w.dangers["connections reset by an address's new owner"]++
			lost()
		}
	})
}

// run is the work at the upstream.
func (u *Upstream) run(servingProxy *Node, order backend.Decision, stream *upstreamStream,
	end func(outcome message.Outcome, broke bool), lost func()) {
	w := u.world
	u.running++
	u.most = max(u.most, u.running)
	id, keySeen := u.readHeaders(order)
	index := len(u.runs)
	u.recordRun(servingProxy, order, id, keySeen)
	w.mark("%s runs %s", u.key, id)
	answer := fmt.Sprintf("%s by %s run %d", id, u.response.Instance, index)
	work := u.work + time.Duration(w.random.Int64N(int64(u.work)))
	if w.random.Float64() < u.faults.Slow {
		work *= 10
	}
	life, over := u.life, false
	u.ended = append(u.ended, func() {
		if !over {
			over = true
			lost()
		}
	})
	finish := func() {
		if over || !u.up || u.life != life {
			return
		}
		over = true
		u.running--
		chance := w.random.Float64()
		switch f := u.faults; {
		case chance < f.Lose:
			lost()
		case chance < f.Lose+f.Garbage+f.Truncate+f.Excess:
			w.after(w.transit()/2, func() {
				end(message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.AnswerMalformed)}, false)
			})
		default:
			read := u.answerRequest(order, stream, index, answer)
			w.after(w.transit()/2, func() { end(read, false) })
		}
	}
	kind, _ := w.options.Deployment.Kind(order.Forward.Route)
	called, calls := w.options.Deployment.Kind(kind.Calls)
	if calls = calls && w.random.Float64() < workload.CallShare; !calls {
		w.after(work, finish)
	} else {
		w.after(work/2, func() {
			if !over && u.up && u.life == life {
				w.callOn(servingProxy, order, u.response.Service, called, fmt.Sprintf("%s~%s~%d", id, u.response.Instance, index),
					func() { w.after(work/2, finish) })
			}
		})
	}
	if len(u.ended) > 512 {
		u.ended = u.ended[256:]
	}
}

// readHeaders returns the request's ID and whether any header shows a tenant's key.
func (u *Upstream) readHeaders(order backend.Decision) (id string, keySeen bool) {
	for _, line := range order.Forward.Headers {
		if line.Name == stubserver.IDHeader {
			id = line.Value
		}
		for _, tenant := range u.world.options.Deployment.Tenants() {
			keySeen = keySeen || strings.Contains(strings.ToLower(line.Value), tenant.Key)
		}
	}
	return id, keySeen
}

// recordRun notes for the checker that the upstream began to run a request.
func (u *Upstream) recordRun(servingProxy *Node, order backend.Decision, id string, keySeen bool) {
	u.runs = append(u.runs, checker.Ran{
		ID:           id,
		Service:      u.response.Service,
		Instance:     u.response.Instance,
		Address:      u.response.Address,
		Path:         order.Forward.Path,
		Tenant:       order.Forward.Tenant,
		Caller:       order.Forward.Caller,
		KeySeen:      keySeen,
		At:           u.world.now,
		Life:         u.response.Incarnation,
		ServingProxy: servingProxy.machine,
	})
}

// answerRequest writes the upstream's own whole answer to the stream and returns what the proxy
// reads of it. Refusals and failures of the upstream are whole answers too, and a code of the mesh
// that an upstream sets in its headers must be ignored.
func (u *Upstream) answerRequest(order backend.Decision, stream *upstreamStream, index int, answer string) message.Outcome {
	w := u.world
	status := stubserver.Status(w.random.Float64, stubserver.UsualOtherShare)
	headers := []message.HeaderLine{{Name: stubserver.MarkHeader, Value: answer}}
	if w.random.IntN(10) == 0 {
		headers = append(headers, message.HeaderLine{Name: frontend.CodeHeader, Value: "3101"})
		w.dangers["answers that claim a code of the mesh's"]++
	}
	read, whole := stream.say(w, w.now < w.strayUntil, order,
		message.Outcome{Status: int64(status), Headers: headers, Body: []byte(answer)})
	if whole {
		run := &u.runs[index]
		run.Whole, run.Answer, run.Status, run.Mark = w.now, answer, status, answer
	}
	return read
}

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
	proxies := w.of(message.RoleProxy)
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
		checker.Asked{ID: id, Tenant: tenant.Name, Key: tenant.Key, Caller: kind.Caller}, func() {})
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
	w.sendRequest(servingProxy, header, kind, checker.Asked{ID: id, Tenant: order.Forward.Tenant, Key: key, Caller: from}, once)
}

func (w *World) sendRequest(chosenProxy *Node, header http.Header, kind loadgen.Kind, response checker.Asked, then func()) {
	asked := &response
	asked.Proxy = chosenProxy.machine
	asked.Route, asked.Service, asked.Once = kind.Route, kind.Service, kind.Once
	asked.Intended, asked.Sent = w.now, w.now
	asked.Connection = true
	w.asked = append(w.asked, asked)
	if !chosenProxy.up || chosenProxy.deaf {
		asked.Done = w.now
		then()
		return
	}
	life := chosenProxy.life
	chosenProxy.run(life, func() {
		header.Set(stubserver.IDHeader, asked.ID)
		request := &frontend.Request{
			ID:       asked.ID + "@" + chosenProxy.machine,
			Method:   kind.Method,
			RawPath:  kind.Path,
			Header:   header,
			Body:     []byte{},
			Deadline: chosenProxy.Now() + chosenProxy.settings.RequestLimit(),
		}
		sentLife := life
		chosenProxy.inside++
		going := chosenProxy.tracker.Submit(request, func(time.Duration) {}, func(final *frontend.Response) {
			w.after(100*time.Microsecond, func() {
				if !chosenProxy.up || chosenProxy.life != sentLife {
					return
				}
				chosenProxy.inside--
				asked.Connection, asked.Done, asked.Status, asked.Body = false, w.now, final.Status, string(final.Body)
				asked.Code, asked.Retry = int(final.Code), final.RetryAfter > 0
				for _, line := range final.Headers {
					switch line.Name {
					case stubserver.MarkHeader:
						asked.Mark = line.Value
					case frontend.CodeHeader:
						asked.Code, _ = strconv.Atoi(line.Value)
					}
				}
				w.refusedAfterReady(chosenProxy, errcode.Code(asked.Code), request.Attempts)
				if asked.Code == int(errcode.BusyNotReady) && !w.vouched(chosenProxy) {
					w.unvouched[asked.ID] = true
				}
				if asked.Code != 0 && w.able(chosenProxy, kind.Service) {
					w.couldServe[asked.ID] = true
				}
				then()
			})
		})
		w.after(chosenProxy.trueWait(chosenProxy.settings.RequestLimit()), func() {
			chosenProxy.run(life, func() { chosenProxy.tracker.Abandon(going) })
		})
	})
}

// write has an operator send a configuration to a registry, once.
func (w *World) write(version int64, tenants []loadgen.Tenant, body []byte, committed func(code errcode.Code)) {
	boards := w.alive(message.RoleRegistry)
	if len(boards) == 0 {
		return
	}
	chosenBoard := boards[w.random.IntN(len(boards))]
	w.mark("put %d at %s", version, chosenBoard.name)
	digest := checker.Digest(body)
	operation := &configLogOperation{
		request: configLogRequest{write: true, version: version, entry: fmt.Sprintf("%d:%s", version, digest)},
		from:    w.now,
	}
	if tenants != nil {
		w.operations = append(w.operations, operation)
		w.contents[digest] = version
	}
	chosenBoard.request(registry.WriteConfiguration{
		ConfigName: "main",
		Version:    version,
		Body:       body,
		Check:      registry.CheckConfiguration(chosenBoard.settings, body),
	}, func(answer any) {
		given := mustBe[registry.Answer](answer)
		code := given.Code
		operation.answer, operation.to, operation.answered = configLogAnswer{code: code}, w.now, true
		w.mark("put %d answered %s", version, code)
		if code == errcode.OK && gjson.GetBytes(given.Body, "version").Int() == version {
			w.acknowledged(version, digest, tenants)
		}
		if committed != nil {
			committed(code)
		}
	})
}

// writeUntil repeats a put, as an operator would, until it is settled or refused.
func (w *World) writeUntil(version int64, tenants []loadgen.Tenant, more int) {
	body := w.options.Deployment.Configuration(tenants, more)
	committed := false
	var try func()
	try = func() {
		if committed {
			return
		}
		w.write(version, tenants, body, func(code errcode.Code) {
			if code == errcode.OK || code == errcode.ConfigurationConflict {
				committed = true
			}
		})
		w.after(time.Second, try)
	}
	try()
}

// collect takes a usage report; the reporter hears of it unless it died meanwhile.
func (w *World) collect(from *Node, life int, report registry.UsageReport) {
	if w.now < w.collectorDown {
		return
	}
	length := from.settings.UsageWindow()
	w.mark("report %d from %s %v", report.Window, from.machine, len(report.Counts))
	w.record.Reported = append(w.record.Reported, checker.Reported{
		Window: report.Window,
		From:   from.machine,
		Counts: report.Counts,
		At:     w.now,
		End:    time.Duration(report.Window+1)*length - epoch,
	})
	wait := w.transit()
	if w.now < w.collectorOdd {
		w.dangers["reports taken and not answered rightly"]++
		if w.random.IntN(3) > 0 {
			return
		}
		wait += time.Duration(w.random.Int64N(int64(2 * time.Second)))
	}
	w.after(wait, func() {
		from.run(life, func() { from.apply(statemachine.Asked{Question: registry.UsageDelivered{Window: report.Window}}) })
	})
}
