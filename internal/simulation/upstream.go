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

// Upstream is a simulated upstream process: it announces itself to proxies and runs requests.
type Upstream struct {
	world                *World
	key                  string
	announcement         backend.Announcement
	servingProxies       []*Node
	workTime             time.Duration
	up                   bool
	incarnation          int
	running              int // requests in progress
	maxRunning           int
	slots                int
	executions           []checker.Execution
	crashCallbacks       []func() // called at a crash, one for each request
	faults               stubserver.Faults
	firstProxy           int
	warmUntil            time.Duration
	silentUntil          time.Duration // sends no announcements before this time
	removed              bool          // doesn't start again
	vanishedIncarnations map[int]bool  // incarnations whose machine vanished without closing connections
	serviceSpec          workload.Service
}

// addUpstream adds an upstream that isn't running yet, with three proxies that it may announce itself to.
func (w *World) addUpstream(service workload.Service, index, number int) *Upstream {
	proxies := w.nodesByRole(message.RoleProxy)
	key := fmt.Sprintf("%s/%s-%d", service.Name, service.Name, index+1)
	u := &Upstream{
		world:                w,
		key:                  key,
		workTime:             service.Work,
		slots:                int(service.Slots),
		firstProxy:           number % len(proxies),
		serviceSpec:          service,
		vanishedIncarnations: map[int]bool{},
		announcement: backend.Announcement{Service: service.Name, Instance: fmt.Sprintf("%s-%d", service.Name, index+1),
			Address: fmt.Sprintf("10.3.0.%d:9000", number+1), Slots: service.Slots},
	}
	for offset := range 3 {
		u.servingProxies = append(u.servingProxies, proxies[(number+offset*3)%len(proxies)])
	}
	u.announcement.Zone = u.servingProxies[0].settings.Zone
	w.upstreams[key] = u
	w.upstreamOrder = append(w.upstreamOrder, key)
	return u
}

// start starts a new incarnation, which is warming for the given time. It does nothing if the upstream is
// running or has been removed.
func (u *Upstream) start(warm time.Duration) {
	if u.up || u.removed {
		return
	}
	u.up = true
	u.incarnation++
	u.running = 0
	u.announcement.Incarnation = int64(epoch+u.world.now) + 1
	u.announcement.Draining = false
	u.warmUntil = u.world.now + warm
	u.world.upstreamByAddress[u.announcement.Address] = u
	u.world.traceEvent("upstream %s up at %s", u.key, u.announcement.Address)
	u.scheduleAnnouncement(u.incarnation, 0)
}

// kill crashes the process: its connections close and its running requests are lost.
func (u *Upstream) kill() {
	if !u.up {
		return
	}
	u.up = false
	u.world.traceEvent("upstream %s killed", u.key)
	u.world.record.Crashes = append(u.world.record.Crashes, checker.Span{Name: u.announcement.Instance, From: u.world.now, To: u.world.now})
	if u.world.upstreamByAddress[u.announcement.Address] == u {
		delete(u.world.upstreamByAddress, u.announcement.Address)
	}
	callbacks := u.crashCallbacks
	u.crashCallbacks = nil
	for _, callback := range callbacks {
		callback()
	}
}

// vanish ends the upstream's machine: no connection is closed and no message is sent.
func (u *Upstream) vanish() {
	if !u.up {
		return
	}
	u.up = false
	u.vanishedIncarnations[u.incarnation] = true
	u.world.traceEvent("upstream %s vanished", u.key)
	u.world.record.Crashes = append(u.world.record.Crashes, checker.Span{Name: u.announcement.Instance, From: u.world.now, To: u.world.now})
	if u.world.upstreamByAddress[u.announcement.Address] == u {
		delete(u.world.upstreamByAddress, u.announcement.Address)
	}
	u.crashCallbacks = nil
}

// scheduleAnnouncement announces the upstream after a wait and then every second, until the incarnation ends.
func (u *Upstream) scheduleAnnouncement(incarnation int, wait time.Duration) {
	u.world.after(wait, func() {
		if !u.up || u.incarnation != incarnation {
			return
		}
		if w := u.world; w.now >= u.silentUntil {
			u.announce()
		}
		u.scheduleAnnouncement(incarnation, time.Second)
	})
}

// announce sends the announcement to the first of its proxies that is running.
func (u *Upstream) announce() {
	announcement := u.announcement
	announcement.Warming = u.world.now < u.warmUntil
	if u.serviceSpec.Load {
		announcement.Load = float64(u.running) / float64(u.slots)
	}
	incarnation := u.incarnation
	for _, servingProxy := range u.servingProxies {
		if !servingProxy.up || servingProxy.frozen {
			continue
		}
		chosenServingProxy, proxyIncarnation := servingProxy, servingProxy.incarnation
		u.world.after(200*time.Microsecond, func() {
			if u.incarnation != incarnation || !u.up {
				return
			}
			chosenServingProxy.run(proxyIncarnation, func() {
				if chosenServingProxy.dispatcher.Announce(announcement) {
					chosenServingProxy.openGuardConnection(announcement)
				}
			})
		})
		return
	}
}

// startDraining announces that the upstream drains and accepts no new requests.
func (u *Upstream) startDraining() {
	u.announcement.Draining = true
	u.world.record.DrainStarts = append(u.world.record.DrainStarts, checker.DrainStart{
		Service:     u.announcement.Service,
		Instance:    u.announcement.Instance,
		Incarnation: u.announcement.Incarnation,
		At:          u.world.now,
	})
	u.announce()
}

// deregister deregisters the upstream at the first of its proxies that is running.
func (u *Upstream) deregister() {
	announcement := u.announcement
	for _, servingProxy := range u.servingProxies {
		if servingProxy.up && !servingProxy.frozen {
			chosenServingProxy, incarnation := servingProxy, servingProxy.incarnation
			u.world.after(200*time.Microsecond, func() {
				chosenServingProxy.run(incarnation, func() {
					chosenServingProxy.dispatcher.Deregister(announcement.Service, announcement.Instance, announcement.Incarnation)
				})
			})
			return
		}
	}
}

// execute runs a request. It calls end with the outcome as the serving proxy reads it, or lose if the
// connection breaks before a response; neither if the machine vanishes.
func (u *Upstream) execute(servingProxy *Node, decision backend.Decision, stream *upstreamStream,
	end func(outcome message.Outcome, broken bool), lose func()) {
	w := u.world
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	id, keySeen := u.readHeaders(decision)
	index := len(u.executions)
	u.recordExecution(servingProxy, decision, id, keySeen)
	w.traceEvent("%s runs %s", u.key, id)
	answer := fmt.Sprintf("%s by %s run %d", id, u.announcement.Instance, index)
	work := u.workTime + time.Duration(w.random.Int64N(int64(u.workTime)))
	if w.random.Float64() < u.faults.Slow {
		work *= 10
	}
	incarnation, finished := u.incarnation, false
	u.crashCallbacks = append(u.crashCallbacks, func() {
		if !finished {
			finished = true
			lose()
		}
	})
	finish := func() {
		if finished || !u.up || u.incarnation != incarnation {
			return
		}
		finished = true
		u.running--
		chance := w.random.Float64()
		switch f := u.faults; {
		case chance < f.Lose:
			lose()
		case chance < f.Lose+f.Garbage+f.Truncate+f.Excess:
			w.after(w.randomTransitDelay()/2, func() {
				end(message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.AnswerMalformed)}, false)
			})
		default:
			read := u.answerRequest(decision, stream, index, answer)
			w.after(w.randomTransitDelay()/2, func() { end(read, false) })
		}
	}
	kind, _ := w.options.Deployment.Kind(decision.Forward.Route)
	calledKind, calls := w.options.Deployment.Kind(kind.Calls)
	if calls = calls && w.random.Float64() < workload.CallShare; !calls {
		w.after(work, finish)
	} else {
		w.after(work/2, func() {
			if !finished && u.up && u.incarnation == incarnation {
				w.sendNestedRequest(servingProxy, decision, u.announcement.Service, calledKind,
					fmt.Sprintf("%s~%s~%d", id, u.announcement.Instance, index),
					func() { w.after(work/2, finish) })
			}
		})
	}
	if len(u.crashCallbacks) > 512 {
		u.crashCallbacks = u.crashCallbacks[256:]
	}
}

// readHeaders returns the request's ID, and whether any header contains a tenant's API key.
func (u *Upstream) readHeaders(decision backend.Decision) (id string, keySeen bool) {
	for _, header := range decision.Forward.Headers {
		if header.Name == stubserver.IDHeader {
			id = header.Value
		}
		for _, tenant := range u.world.options.Deployment.Tenants() {
			keySeen = keySeen || strings.Contains(strings.ToLower(header.Value), tenant.Key)
		}
	}
	return id, keySeen
}

// recordExecution records that the upstream has started to run a request.
func (u *Upstream) recordExecution(servingProxy *Node, decision backend.Decision, id string, keySeen bool) {
	u.executions = append(u.executions, checker.Execution{
		ID:           id,
		Service:      u.announcement.Service,
		Instance:     u.announcement.Instance,
		Address:      u.announcement.Address,
		Path:         decision.Forward.Path,
		Tenant:       decision.Forward.Tenant,
		Caller:       decision.Forward.Caller,
		KeySeen:      keySeen,
		At:           u.world.now,
		Incarnation:  u.announcement.Incarnation,
		ServingProxy: servingProxy.machine,
	})
}

// answerRequest writes the upstream's response to the stream and returns the outcome that the proxy
// reads. Some responses are the upstream's own refusals and failures, and one in ten carries an error
// code of the mesh in its headers, which the proxy must ignore.
func (u *Upstream) answerRequest(decision backend.Decision, stream *upstreamStream, index int, answer string) message.Outcome {
	w := u.world
	status := stubserver.Status(w.random.Float64, stubserver.UsualOtherShare)
	headers := []message.HeaderLine{{Name: stubserver.ResponseMarkHeader, Value: answer}}
	if w.random.IntN(10) == 0 {
		headers = append(headers, message.HeaderLine{Name: frontend.CodeHeader, Value: "3101"})
		w.dangers["answers that claim a code of the mesh's"]++
	}
	read, complete := stream.respond(w, w.now < w.strayResponsesUntil, decision,
		message.Outcome{Status: int64(status), Headers: headers, Body: []byte(answer)})
	if complete {
		execution := &u.executions[index]
		execution.ResponseSent, execution.Answer, execution.Status, execution.ResponseMark = w.now, answer, status, answer
	}
	return read
}
