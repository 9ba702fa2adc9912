package simulation

import (
	"fmt"
	"strings"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/message"
	"beaconvane/internal/stubserver"
	"beaconvane/internal/workload"
)

// Upstream is a simulated upstream process: it registers with proxies, sends heartbeats and runs requests.
type Upstream struct {
	world          *World
	key            string
	response       backend.Announcement
	servingProxies []*Node
	work           time.Duration
	up             bool
	incarnation    int
	running        int
	most           int
	slots          int
	runs           []checker.Execution
	ended          []func()
	faults         stubserver.Faults
	firstProxy     int
	warmUntil      time.Duration
	quiet          time.Duration // announces nothing before this time
	gone           bool
	vanished       map[int]bool // incarnations whose machine vanished without closing connections
	serviceSpec    workload.Service
}

func (w *World) addUpstream(service workload.Service, index, number int) *Upstream {
	proxies := w.nodesOf(message.RoleProxy)
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
	w.upstreamOrder = append(w.upstreamOrder, key)
	return u
}

// start brings an upstream up with a new incarnation.
func (u *Upstream) start(warm time.Duration) {
	if u.up || u.gone {
		return
	}
	u.up = true
	u.incarnation++
	u.running = 0
	u.response.Incarnation = int64(epoch+u.world.now) + 1
	u.response.Draining = false
	u.warmUntil = u.world.now + warm
	u.world.addresses[u.response.Address] = u
	u.world.mark("upstream %s up at %s", u.key, u.response.Address)
	u.announceSoon(u.incarnation, 0)
}

// kill ends it hard.
func (u *Upstream) kill() {
	if !u.up {
		return
	}
	u.up = false
	u.world.mark("upstream %s killed", u.key)
	u.world.record.Crashes = append(u.world.record.Crashes, checker.Span{Name: u.response.Instance, From: u.world.now, To: u.world.now})
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
	u.vanished[u.incarnation] = true
	u.world.mark("upstream %s vanished", u.key)
	u.world.record.Crashes = append(u.world.record.Crashes, checker.Span{Name: u.response.Instance, From: u.world.now, To: u.world.now})
	if u.world.addresses[u.response.Address] == u {
		delete(u.world.addresses, u.response.Address)
	}
	u.ended = nil
}

func (u *Upstream) announceSoon(incarnation int, wait time.Duration) {
	u.world.after(wait, func() {
		if !u.up || u.incarnation != incarnation {
			return
		}
		if w := u.world; w.now >= u.quiet {
			u.announce()
		}
		u.announceSoon(incarnation, time.Second)
	})
}

// announce tells the first of its proxies that takes it.
func (u *Upstream) announce() {
	response := u.response
	response.Warming = u.world.now < u.warmUntil
	if u.serviceSpec.Load {
		response.Load = float64(u.running) / float64(u.slots)
	}
	incarnation := u.incarnation
	for _, servingProxy := range u.servingProxies {
		if !servingProxy.up || servingProxy.frozen {
			continue
		}
		chosenServingProxy, servingProxyLife := servingProxy, servingProxy.incarnation
		u.world.after(200*time.Microsecond, func() {
			if u.incarnation != incarnation || !u.up {
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

// leave says that it leaves.
func (u *Upstream) leave() {
	u.response.Draining = true
	u.world.record.DrainStarts = append(u.world.record.DrainStarts, checker.DrainStart{
		Service:     u.response.Service,
		Instance:    u.response.Instance,
		Incarnation: u.response.Incarnation,
		At:          u.world.now,
	})
	u.announce()
}

// signOff is the last word.
func (u *Upstream) signOff() {
	response := u.response
	for _, servingProxy := range u.servingProxies {
		if servingProxy.up && !servingProxy.frozen {
			chosenServingProxy, incarnation := servingProxy, servingProxy.incarnation
			u.world.after(200*time.Microsecond, func() {
				chosenServingProxy.run(incarnation, func() {
					chosenServingProxy.tracker.Deregister(response.Service, response.Instance, response.Incarnation)
				})
			})
			return
		}
	}
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
	incarnation, over := u.incarnation, false
	u.ended = append(u.ended, func() {
		if !over {
			over = true
			lost()
		}
	})
	finish := func() {
		if over || !u.up || u.incarnation != incarnation {
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
			if !over && u.up && u.incarnation == incarnation {
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
	u.runs = append(u.runs, checker.Execution{
		ID:           id,
		Service:      u.response.Service,
		Instance:     u.response.Instance,
		Address:      u.response.Address,
		Path:         order.Forward.Path,
		Tenant:       order.Forward.Tenant,
		Caller:       order.Forward.Caller,
		KeySeen:      keySeen,
		At:           u.world.now,
		Incarnation:  u.response.Incarnation,
		ServingProxy: servingProxy.machine,
	})
}

// answerRequest writes the upstream's own whole answer to the stream and returns what the proxy
// reads of it. Refusals and failures of the upstream are whole answers too, and a code of the mesh
// that an upstream sets in its headers must be ignored.
func (u *Upstream) answerRequest(order backend.Decision, stream *upstreamStream, index int, answer string) message.Outcome {
	w := u.world
	status := stubserver.Status(w.random.Float64, stubserver.UsualOtherShare)
	headers := []message.HeaderLine{{Name: stubserver.ResponseMarkHeader, Value: answer}}
	if w.random.IntN(10) == 0 {
		headers = append(headers, message.HeaderLine{Name: frontend.CodeHeader, Value: "3101"})
		w.dangers["answers that claim a code of the mesh's"]++
	}
	read, whole := stream.say(w, w.now < w.strayUntil, order,
		message.Outcome{Status: int64(status), Headers: headers, Body: []byte(answer)})
	if whole {
		run := &u.runs[index]
		run.ResponseSent, run.Answer, run.Status, run.ResponseMark = w.now, answer, status, answer
	}
	return read
}
