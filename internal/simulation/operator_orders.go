package simulation

import (
	"fmt"
	"time"

	"github.com/tidwall/gjson"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/loadgen"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
)

// An operator sends an order to one registry, goes on to another after a lost answer, a failure or
// a second of silence, and sends the same bytes until the answer is final. Every answer, also a lost
// one, is held against earlier answers: one content for a version, and no refusal of what was accepted.
const (
	orderSilence  = time.Second            // after which an operator tries another registry
	orderPause    = 50 * time.Millisecond  // before the second try; it grows with each
	orderPauseMax = 500 * time.Millisecond // and no further
)

// order is a content that an operator wants under a number.
type order struct {
	version      int64
	tenants      []loadgen.Tenant
	body         []byte
	digest       string
	registryNode *Node // asked last
	tries        int
	ended        bool // the operator was told yes or no
	rivalled     bool // another content was sent under the same version
	code         errcode.Code
	endedAt      time.Duration
	operation    *configLogOperation
	then         func(code errcode.Code)
}

func (w *World) newOrder(version int64, tenants []loadgen.Tenant, body []byte, then func(code errcode.Code)) *order {
	o := &order{version: version, tenants: tenants, body: body, digest: checker.Digest(body), then: then}
	o.operation = &configLogOperation{
		request: configLogRequest{write: true, version: version, entry: fmt.Sprintf("%d:%s", version, o.digest)},
		from:    w.now,
	}
	w.operations = append(w.operations, o.operation)
	w.orders = append(w.orders, o)
	w.contents[o.digest] = version
	return o
}

// persist sends an order until the operator is told.
func (w *World) persist(o *order) {
	if o.ended || w.now > w.ordersEnd {
		return
	}
	registries := w.alive(message.RoleRegistry)
	if len(registries) == 0 {
		w.after(orderPauseMax, func() { w.persist(o) })
		return
	}
	chosen := registries[w.random.IntN(len(registries))]
	if chosen == o.registryNode {
		chosen = registries[(w.random.IntN(len(registries)))]
	}
	w.sendOrder(o, chosen)
}

// sendOrder sends an order to a registry, and again elsewhere when it is not told.
func (w *World) sendOrder(o *order, registryNode *Node) {
	o.tries++
	o.registryNode = registryNode
	if o.tries > 1 && w.taken[o.version] == o.digest {
		w.dangers["orders sent again that had been taken"]++
		w.countOldOrder(o)
	}
	w.mark("order %d %s at %s", o.version, o.digest, registryNode.name)
	told := false
	w.askRegistry(registryNode, registry.WriteConfiguration{
		ConfigName: "main",
		Version:    o.version,
		Body:       o.body,
		Check:      registry.CheckConfiguration(registryNode.settings, o.body),
	}, func(answer registry.OperatorResponse) {
		told = true
		if w.orderAnswered(o, answer) {
			w.after(min(orderPause*time.Duration(o.tries), orderPauseMax), func() { w.persist(o) })
		}
	})
	w.after(registryNode.settings.OperatorTimeout(len(o.body))+orderSilence/5, func() {
		if !told {
			w.persist(o)
		}
	})
}

// countOldOrder counts orders that are older than every body that a store may keep.
func (w *World) countOldOrder(o *order) {
	newer := 0
	for version := range w.taken {
		if version > o.version {
			newer++
		}
	}
	if newer >= w.record.RetainedVersions {
		w.dangers["orders sent again that are older than what is kept"]++
	}
}

// orderAnswered checks an answer; true when the operator has to send the order again.
func (w *World) orderAnswered(o *order, answer registry.OperatorResponse) bool {
	w.mark("order %d %s answered %s", o.version, o.digest, answer.Code)
	told := gjson.GetBytes(answer.Body, "version").Int()
	w.compareOrder(o, answer.Code, told)
	if w.now < w.answersLost && w.random.Float64() < w.lostShare {
		w.dangers["answers to operators that were lost"]++
		return true
	}
	switch answer.Code {
	case errcode.ConfigurationNoHolder, errcode.ConfigurationBehind, errcode.ConfigurationUnsure:
		return true
	}
	if !o.ended {
		w.endOrder(o, answer.Code)
	}
	return false
}

// compareOrder holds an answer against the truth so far.
func (w *World) compareOrder(o *order, code errcode.Code, told int64) {
	taken, known := w.taken[o.version]
	switch {
	case code == errcode.OK && known && taken != o.digest:
		w.fail("two contents were confirmed under %d", o.version)
	case code == errcode.OK && (told == o.version || w.options.Deployment.Writes != settings.WritesHighest):
		w.taken[o.version] = o.digest
	case code/1000 == 4 && code.Status() < 500 && known && taken == o.digest:
		w.fail("order %d, which was taken, was refused with %s", o.version, code)
	}
}

func (w *World) endOrder(o *order, code errcode.Code) {
	o.ended, o.code, o.endedAt = true, code, w.now
	o.operation.answer, o.operation.to, o.operation.answered = configLogAnswer{code: code}, w.now, true
	if code == errcode.OK && w.taken[o.version] == o.digest {
		w.acknowledged(o.version, o.digest, o.tenants)
	}
	if o.then != nil {
		o.then(code)
	}
}

// acknowledged records a configuration that an operator was told is taken.
func (w *World) acknowledged(version int64, digest string, tenants []loadgen.Tenant) {
	write := checker.Write{
		ConfigName: "main",
		Version:    version,
		At:         w.now,
		Services:   map[string]string{},
		Keys:       map[string]string{},
		Digest:     digest,
	}
	for _, kind := range w.options.Deployment.Kinds {
		write.Services[kind.Route] = kind.Service
	}
	for _, tenant := range tenants {
		write.Keys[tenant.Key] = tenant.Name
	}
	w.record.Writes = append(w.record.Writes, write)
	w.newestAcked = max(w.newestAcked, version)
}

// askRegistry puts an operator's question and holds the answer against what a registry in this
// state of the world may say, and how soon.
func (w *World) askRegistry(registryNode *Node, question any, then func(answer registry.OperatorResponse)) {
	began, incarnation, newest := w.now, registryNode.incarnation, w.newestAcked
	_, cutBefore := w.severed[registryNode.machine]
	answered := false
	registryNode.request(question, func(reply any) {
		answered = true
		answer := mustBe[registry.OperatorResponse](reply)
		if get, isRead := question.(registry.ReadConfiguration); isRead && answer.Code == errcode.OK && !get.List && get.Version == 0 {
			w.judgeRead(registryNode, answer, newest)
		}
		if since, cut := w.severed[registryNode.machine]; cutBefore && cut && since <= began {
			w.judgeSevered(registryNode, question, answer.Code)
		}
		then(answer)
	})
	body := 0
	if write, isWrite := question.(registry.WriteConfiguration); isWrite {
		body = len(write.Body)
	}
	w.after(registryNode.settings.OperatorTimeout(body)+orderSilence/5, func() {
		if !answered && registryNode.up && !registryNode.frozen && registryNode.incarnation == incarnation &&
			!registryNode.wasFrozen(began) {
			w.fail("%s said nothing within %s", registryNode.name, w.now-began)
		}
	})
}

// judgeRead checks that a read gives what was acknowledged before it was sent, or newer.
func (w *World) judgeRead(registryNode *Node, answer registry.OperatorResponse, newest int64) {
	version, known := w.contents[checker.Digest(answer.Body)]
	if !known {
		w.fail("%s gave back a configuration that nobody sent", registryNode.name)
	} else if version < newest {
		w.fail("%s gave back version %d as current, %d was acknowledged before", registryNode.name, version, newest)
	}
}

// judgeSevered checks that a node that is cut off from the others says only that it can't answer.
func (w *World) judgeSevered(registryNode *Node, question any, code errcode.Code) {
	what := "reads"
	if _, isWrite := question.(registry.WriteConfiguration); isWrite {
		what = "orders"
	}
	w.dangers[what+" answered by a cut-off node"]++
	if code != errcode.ConfigurationNoHolder && code != errcode.ConfigurationBehind && code != errcode.ConfigurationUnsure {
		w.fail("%s answered %s while it was cut off", registryNode.name, code)
	}
}
