// This file is who is around the mesh: upstreams that announce and run, callers that
// ask at a rate, operators that put sheets, and the collector of usage reports.
package rehearsal

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/callboard"
	"beaconvane/internal/claque"
	"beaconvane/internal/critic"
	"beaconvane/internal/cue"
	"beaconvane/internal/foyer"
	"beaconvane/internal/greenroom"
	"beaconvane/internal/notice"
	"beaconvane/internal/repertoire"
	"beaconvane/internal/script"
	"beaconvane/internal/understudy"
)

// Upstream is a simulated one.
type Upstream struct {
	world       *World
	key         string
	told        greenroom.Announcement
	homes       []*Node
	work        time.Duration
	up          bool
	life        int
	running     int
	most        int
	slots       int
	runs        []critic.Ran
	ended       []func()
	faults      understudy.Faults
	firstUsher  int
	warmUntil   time.Duration
	quiet       time.Duration // announces nothing before this time
	gone        bool
	vanished    map[int]bool // lives whose machine went without a word
	serviceSpec repertoire.Service
}

func (w *World) addUpstream(service repertoire.Service, index, number int) *Upstream {
	ushers := w.of(script.RoleUsher)
	key := fmt.Sprintf("%s/%s-%d", service.Name, service.Name, index+1)
	u := &Upstream{world: w, key: key, work: service.Work, slots: int(service.Slots), firstUsher: number % len(ushers), serviceSpec: service,
		vanished: map[int]bool{},
		told: greenroom.Announcement{Service: service.Name, Instance: fmt.Sprintf("%s-%d", service.Name, index+1),
			Address: fmt.Sprintf("10.3.0.%d:9000", number+1), Slots: service.Slots}}
	for offset := range 3 {
		u.homes = append(u.homes, ushers[(number+offset*3)%len(ushers)])
	}
	u.told.District = u.homes[0].config.District
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
	u.told.Incarnation = int64(epoch+u.world.now) + 1
	u.told.Leaving = false
	u.warmUntil = u.world.now + warm
	u.world.addresses[u.told.Address] = u
	u.world.mark("upstream %s up at %s", u.key, u.told.Address)
	u.announceSoon(u.life, 0)
}

// kill ends it hard.
func (u *Upstream) kill() {
	if !u.up {
		return
	}
	u.up = false
	u.world.mark("upstream %s killed", u.key)
	u.world.record.Hurt = append(u.world.record.Hurt, critic.Span{Name: u.told.Instance, From: u.world.now, To: u.world.now})
	if u.world.addresses[u.told.Address] == u {
		delete(u.world.addresses, u.told.Address)
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
	u.world.record.Hurt = append(u.world.record.Hurt, critic.Span{Name: u.told.Instance, From: u.world.now, To: u.world.now})
	if u.world.addresses[u.told.Address] == u {
		delete(u.world.addresses, u.told.Address)
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

// announce tells the first of its ushers that takes it.
func (u *Upstream) announce() {
	told := u.told
	told.Warming = u.world.now < u.warmUntil
	if u.serviceSpec.Load {
		told.Load = float64(u.running) / float64(u.slots)
	}
	life := u.life
	for _, home := range u.homes {
		if !home.up || home.frozen {
			continue
		}
		chosenHome, homeLife := home, home.life
		u.world.after(200*time.Microsecond, func() {
			if u.life != life || !u.up {
				return
			}
			chosenHome.run(homeLife, func() {
				if chosenHome.desk.Announce(told) {
					chosenHome.guard(told)
				}
			})
		})
		return
	}
}

// upWire is a wire to an upstream's process, idle or as a guard. It ends when that
// process ends; of one whose machine vanished nothing is heard.
type upWire struct {
	owner *Upstream
	life  int
}

func (u upWire) there() bool { return u.owner.up && u.owner.life == u.life }

// quiet: nothing has come on it, as its home sees it.
func (u upWire) quiet() bool { return u.there() || u.owner.vanished[u.life] }

// guard opens the guard wire of an announced upstream and some to be kept ready, as
// calling.go does.
func (n *Node) guard(told greenroom.Announcement) {
	target := greenroom.Target{Key: told.Service + "/" + told.Instance, Address: told.Address, Incarnation: told.Incarnation}
	life := n.life
	n.world.after(n.world.transit(), func() {
		n.run(life, func() {
			owner := n.world.addresses[target.Address]
			if owner == nil || !owner.up {
				n.room.Broke(n.Now(), target)
				return
			}
			n.guards[target] = upWire{owner, owner.life}
			n.fill(target)
		})
	})
}

func (n *Node) fill(target greenroom.Target) {
	owner := n.world.addresses[target.Address]
	for owner != nil && owner.up && len(n.pools[target]) < n.room.WiresReady(target) && n.room.Dialable(n.Now(), target) {
		n.pools[target] = append(n.pools[target], upWire{owner, owner.life})
	}
}

// idle takes a wire that was kept.
func (n *Node) idle(target greenroom.Target) (upWire, bool) {
	for list := n.pools[target]; len(list) > 0; list = n.pools[target] {
		wire := list[len(list)-1]
		n.pools[target] = list[:len(list)-1]
		if wire.quiet() {
			return wire, true
		}
	}
	return upWire{}, false
}

// leave says that it leaves.
func (u *Upstream) leave() {
	u.told.Leaving = true
	u.world.record.Leaving = append(u.world.record.Leaving, critic.Leaving{Service: u.told.Service, Instance: u.told.Instance, Life: u.told.Incarnation, At: u.world.now})
	u.announce()
}

// signOff is the last word.
func (u *Upstream) signOff() {
	told := u.told
	for _, home := range u.homes {
		if home.up && !home.frozen {
			chosenHome, life := home, home.life
			u.world.after(200*time.Microsecond, func() {
				chosenHome.run(life, func() { chosenHome.desk.SignOff(told.Service, told.Instance, told.Incarnation) })
			})
			return
		}
	}
}

// call is the home's exchange with an upstream, as calling.go does it on sockets.
func (n *Node) call(life int, order greenroom.Order) {
	w := n.world
	target := order.Target
	target.Pass = ""
	refuse := func(code notice.Code) {
		n.run(life, func() { n.desk.Conclude(order, script.Verdict{Kind: script.NotStarted, Code: int64(code)}) })
	}
	if wire, kept := n.idle(target); kept {
		n.exchange(life, order, wire)
		return
	}
	guarded := func() bool {
		guard, known := n.guards[target]
		if known && !guard.quiet() {
			n.room.Broke(n.Now(), target)
		}
		return known && guard.quiet()
	}
	if !n.room.Usable(n.Now(), target) || !guarded() {
		refuse(notice.BusyUpstreamGone)
		return
	}
	if !n.room.Dialable(n.Now(), target) {
		if owner := w.addresses[target.Address]; owner != nil && owner.told.Incarnation != target.Incarnation {
			w.dangers["dials barred at an address that has another owner"]++
		}
		refuse(notice.BusyUnproven)
		return
	}
	w.after(w.transit(), func() {
		n.run(life, func() {
			owner := w.addresses[target.Address]
			switch {
			case owner == nil || !owner.up:
				n.room.Broke(n.Now(), target)
				refuse(notice.BusyUpstreamGone)
			case !n.room.Dialable(n.Now(), target) || !guarded():
				refuse(notice.BusyUnproven)
			default:
				n.exchange(life, order, upWire{owner, owner.life})
			}
		})
	})
}

// exchange sends a query on a wire, once.
func (n *Node) exchange(life int, order greenroom.Order, wire upWire) {
	w, target := n.world, order.Target
	target.Pass = ""
	limit := time.Duration(order.Carry.Remaining)
	over := false
	end := func(verdict script.Verdict, broke bool) {
		if over {
			return
		}
		over = true
		n.run(life, func() {
			if broke {
				n.room.Doubt(target)
			} else if verdict.Kind == script.StartedWhole {
				n.room.Alive(n.Now(), target)
				if wire.owner.serviceSpec.Closes {
					n.fill(target)
				} else if n.room.Usable(n.Now(), target) {
					n.pools[target] = append(n.pools[target], wire)
				}
			}
			n.desk.Conclude(order, verdict)
		})
	}
	w.after(n.trueWait(limit-limit/20), func() {
		end(script.Verdict{Kind: script.StartedNoWhole, Code: int64(notice.UnknownTimeout)}, false)
	})
	w.after(w.transit()/2, func() {
		lost := func() {
			w.after(w.transit()/2, func() {
				end(script.Verdict{Kind: script.StartedNoWhole, Code: int64(notice.UnknownOutcome)}, true)
			})
		}
		switch {
		case wire.there():
			wire.owner.run(n, order, end, lost)
		case !wire.owner.vanished[wire.life]:
			lost()
		case w.addresses[target.Address] != nil:
			// Whoever has the address now knows nothing of that wire and resets it.
			w.dangers["wires reset by an address's new owner"]++
			lost()
		}
	})
}

// run is the work at the upstream.
func (u *Upstream) run(home *Node, order greenroom.Order, end func(verdict script.Verdict, broke bool), lost func()) {
	w := u.world
	u.running++
	u.most = max(u.most, u.running)
	id := ""
	keySeen := false
	for _, line := range order.Carry.Headers {
		if line.Name == understudy.IDHeader {
			id = line.Value
		}
		for _, tenant := range w.options.Deployment.Tenants() {
			keySeen = keySeen || strings.Contains(strings.ToLower(line.Value), tenant.Key)
		}
	}
	index := len(u.runs)
	u.runs = append(u.runs, critic.Ran{ID: id, Service: u.told.Service, Instance: u.told.Instance, Address: u.told.Address, Path: order.Carry.Path,
		Tenant: order.Carry.Tenant, Caller: order.Carry.Caller, KeySeen: keySeen, At: w.now, Life: u.told.Incarnation, Home: home.machine})
	w.mark("%s runs %s", u.key, id)
	answer := fmt.Sprintf("%s by %s run %d", id, u.told.Instance, index)
	work := u.work + time.Duration(w.dice.Int64N(int64(u.work)))
	if w.dice.Float64() < u.faults.Slow {
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
		roll := w.dice.Float64()
		switch f := u.faults; {
		case roll < f.Lose:
			lost()
		case roll < f.Lose+f.Garbage+f.Truncate+f.Excess:
			w.after(w.transit()/2, func() {
				end(script.Verdict{Kind: script.StartedNoWhole, Code: int64(notice.AnswerMalformed)}, false)
			})
		default:
			// Its own refusals and failures are its own whole answers too, and what it
			// says in the mesh's name is nobody's word.
			status := understudy.OwnStatus[min(len(understudy.OwnStatus)-1, w.dice.IntN(10*len(understudy.OwnStatus)))]
			headers := []script.HeaderLine{{Name: understudy.MarkHeader, Value: answer}}
			if w.dice.IntN(10) == 0 {
				headers = append(headers, script.HeaderLine{Name: foyer.CodeHeader, Value: "3101"})
				w.dangers["answers that claim a code of the mesh's"]++
			}
			u.runs[index].Whole, u.runs[index].Answer, u.runs[index].Status, u.runs[index].Mark = w.now, answer, status, answer
			w.after(w.transit()/2, func() {
				end(script.Verdict{Kind: script.StartedWhole, Status: int64(status), Headers: headers, Body: []byte(answer)}, false)
			})
		}
	}
	kind, _ := w.options.Deployment.Kind(order.Carry.Route)
	called, calls := w.options.Deployment.Kind(kind.Calls)
	if calls = calls && w.dice.Float64() < repertoire.CallShare; !calls {
		w.after(work, finish)
	} else {
		w.after(work/2, func() {
			if !over && u.up && u.life == life {
				w.callOn(home, order, u.told.Service, called, fmt.Sprintf("%s~%s~%d", id, u.told.Instance, index), func() { w.after(work/2, finish) })
			}
		})
	}
	if len(u.ended) > 512 {
		u.ended = u.ended[256:]
	}
}

// askSoon is the callers' open loop.
func (w *World) askSoon(number int, begin time.Duration) {
	when := begin + time.Duration(float64(number)/w.options.Rate*float64(time.Second))
	if when > begin+w.options.Load {
		return
	}
	w.at(when, func() {
		w.askOne(number)
		w.askSoon(number+1, begin)
	})
}

func (w *World) askOne(number int) {
	d := w.options.Deployment
	total := 0.0
	for _, kind := range d.Kinds {
		total += kind.Weight
	}
	roll, chosenKind := w.dice.Float64()*total, d.Kinds[0]
	for _, kind := range d.Kinds {
		if roll -= kind.Weight; roll < 0 {
			chosenKind = kind
			break
		}
	}
	tenants := d.Tenants()
	w.askWith(fmt.Sprintf("q%d", number), chosenKind, tenants[w.dice.IntN(len(tenants))])
}

func (w *World) askWith(id string, kind claque.Kind, tenant claque.Tenant) {
	ushers := w.of(script.RoleUsher)
	header := http.Header{}
	header.Set(foyer.KeyHeader, tenant.Key)
	header.Set(greenroom.CallerHeader, kind.Caller)
	if w.dice.IntN(8) == 0 {
		// Some callers claim to be others, and show their key in more places.
		header.Set(greenroom.TenantHeader, "tenant-0")
		header.Set("X_Calling_Service", "dispatch")
		header.Set("Cookie", "session="+strings.ToUpper(tenant.Key)+"; other="+w.options.Deployment.Tenants()[0].Key)
		w.dangers["queries with forged names and keys in cookies"]++
	}
	w.sendQuery(ushers[w.dice.IntN(len(ushers))], header, kind, critic.Asked{ID: id, Tenant: tenant.Name, Key: tenant.Key, Caller: kind.Caller}, func() {})
}

// callOn is an upstream's further call, with the pass of the query that it runs.
func (w *World) callOn(home *Node, order greenroom.Order, from string, kind claque.Kind, id string, then func()) {
	header := http.Header{}
	header.Set(greenroom.PassHeader, order.Target.Pass)
	header.Set(greenroom.CallerHeader, "somebody")
	key := ""
	for _, tenant := range w.options.Deployment.Tenants() {
		if tenant.Name == order.Carry.Tenant {
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
	w.sendQuery(home, header, kind, critic.Asked{ID: id, Tenant: order.Carry.Tenant, Key: key, Caller: from}, once)
}

func (w *World) sendQuery(chosenUsher *Node, header http.Header, kind claque.Kind, told critic.Asked, then func()) {
	asked := &told
	asked.Usher, asked.Route, asked.Service, asked.Once, asked.Intended, asked.Sent, asked.Wire = chosenUsher.machine, kind.Route, kind.Service, kind.Once, w.now, w.now, true
	w.asked = append(w.asked, asked)
	if !chosenUsher.up || chosenUsher.deaf {
		asked.Done = w.now
		then()
		return
	}
	life := chosenUsher.life
	chosenUsher.run(life, func() {
		header.Set(understudy.IDHeader, asked.ID)
		query := &foyer.Query{ID: asked.ID + "@" + chosenUsher.machine, Method: kind.Method, RawPath: kind.Path, Header: header, Body: []byte{},
			Deadline: chosenUsher.Now() + chosenUsher.config.QueryLimit()}
		sentLife := life
		chosenUsher.inside++
		going := chosenUsher.desk.Arrive(query, func(time.Duration) {}, func(final *foyer.Final) {
			w.after(100*time.Microsecond, func() {
				if !chosenUsher.up || chosenUsher.life != sentLife {
					return
				}
				chosenUsher.inside--
				asked.Wire, asked.Done, asked.Status, asked.Body = false, w.now, final.Status, string(final.Body)
				asked.Code, asked.Retry = int(final.Code), final.RetryAfter > 0
				for _, line := range final.Headers {
					switch line.Name {
					case understudy.MarkHeader:
						asked.Mark = line.Value
					case foyer.CodeHeader:
						asked.Code, _ = strconv.Atoi(line.Value)
					}
				}
				w.refusedAfterReady(chosenUsher, notice.Code(asked.Code), query.Attempts)
				if asked.Code == int(notice.BusyNotReady) && !w.vouched(chosenUsher) {
					w.unvouched[asked.ID] = true
				}
				if asked.Code != 0 && w.able(chosenUsher, kind.Service) {
					w.couldServe[asked.ID] = true
				}
				then()
			})
		})
		w.after(chosenUsher.trueWait(chosenUsher.config.QueryLimit()), func() {
			chosenUsher.run(life, func() { chosenUsher.desk.Abandon(going) })
		})
	})
}

// put has an operator put a sheet at a callboard.
func (w *World) put(version int64, tenants []claque.Tenant, body []byte, settled func(code notice.Code)) {
	boards := w.alive(script.RoleCallboard)
	if len(boards) == 0 {
		return
	}
	chosenBoard := boards[w.dice.IntN(len(boards))]
	w.mark("put %d at %s", version, chosenBoard.name)
	operation := &bookOperation{ask: bookAsk{put: true, version: version, entry: fmt.Sprintf("%d:%s", version, critic.Digest(body))}, from: w.now}
	if tenants != nil {
		w.operations = append(w.operations, operation)
	}
	chosenBoard.ask(callboard.PutLayout{Sheet: "main", Version: version, Body: body}, func(answer any) {
		code := answer.(callboard.Answer).Code
		operation.answer, operation.to, operation.answered = bookAnswer{code: code}, w.now, true
		w.mark("put %d answered %s", version, code)
		if code == notice.OK {
			put := critic.Put{Sheet: "main", Version: version, At: w.now, Services: map[string]string{}, Keys: map[string]string{}, Digest: critic.Digest(body)}
			for _, kind := range w.options.Deployment.Kinds {
				put.Services[kind.Route] = kind.Service
			}
			for _, tenant := range tenants {
				put.Keys[tenant.Key] = tenant.Name
			}
			w.record.Puts = append(w.record.Puts, put)
		}
		if settled != nil {
			settled(code)
		}
	})
}

// putUntil repeats a put, as an operator would, until it is settled or refused.
func (w *World) putUntil(version int64, tenants []claque.Tenant, more int) {
	body := w.options.Deployment.Sheet(tenants, more)
	settled := false
	var try func()
	try = func() {
		if settled {
			return
		}
		w.put(version, tenants, body, func(code notice.Code) {
			if code == notice.OK || code == notice.LayoutConflict {
				settled = true
			}
		})
		w.after(time.Second, try)
	}
	try()
}

// collect takes a usage report; the reporter hears of it unless it died meanwhile.
func (w *World) collect(from *Node, life int, report callboard.Report) {
	if w.now < w.collectorDown {
		return
	}
	length := from.config.UsageWindow()
	w.mark("report %d from %s %v", report.Window, from.machine, len(report.Counts))
	w.record.Reported = append(w.record.Reported, critic.Reported{Window: report.Window, From: from.machine, Counts: report.Counts, At: w.now,
		End: time.Duration(report.Window+1)*length - epoch})
	wait := w.transit()
	if w.now < w.collectorOdd {
		w.dangers["reports taken and not answered rightly"]++
		if w.dice.IntN(3) > 0 {
			return
		}
		wait += time.Duration(w.dice.Int64N(int64(2 * time.Second)))
	}
	w.after(wait, func() {
		from.run(life, func() { from.apply(cue.Asked{Question: callboard.Reported{Window: report.Window}}) })
	})
}
