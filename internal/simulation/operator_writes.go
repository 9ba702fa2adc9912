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
	registrySilenceTimeout = time.Second            // after which an operator tries another registry
	writeRetryDelay        = 50 * time.Millisecond  // before the second try; it grows with each
	maxWriteRetryDelay     = 500 * time.Millisecond // and no further
)

// order is a content that an operator wants under a number.
type configWrite struct {
	version      int64
	tenants      []loadgen.Tenant
	body         []byte
	digest       string
	lastRegistry *Node // asked last
	attempts     int
	finished     bool // the operator was told yes or no
	contested    bool // another content was sent under the same version
	code         errcode.Code
	finishedAt   time.Duration
	operation    *configLogOperation
	onFinish     func(code errcode.Code)
}

func (w *World) newConfigWrite(version int64, tenants []loadgen.Tenant, body []byte, onFinish func(code errcode.Code)) *configWrite {
	write := &configWrite{version: version, tenants: tenants, body: body, digest: checker.Digest(body), onFinish: onFinish}
	write.operation = &configLogOperation{
		request: configLogRequest{write: true, version: version, entry: fmt.Sprintf("%d:%s", version, write.digest)},
		from:    w.now,
	}
	w.configLogOperations = append(w.configLogOperations, write.operation)
	w.configWrites = append(w.configWrites, write)
	w.versionByDigest[write.digest] = version
	return write
}

// persist sends an order until the operator is told.
func (w *World) retryWrite(write *configWrite) {
	if write.finished || w.now > w.writesEnd {
		return
	}
	registries := w.runningNodes(message.RoleRegistry)
	if len(registries) == 0 {
		w.after(maxWriteRetryDelay, func() { w.retryWrite(write) })
		return
	}
	chosen := registries[w.random.IntN(len(registries))]
	if chosen == write.lastRegistry {
		chosen = registries[(w.random.IntN(len(registries)))]
	}
	w.sendWrite(write, chosen)
}

// sendOrder sends an order to a registry, and again elsewhere when it is not told.
func (w *World) sendWrite(write *configWrite, registryNode *Node) {
	write.attempts++
	write.lastRegistry = registryNode
	if write.attempts > 1 && w.acceptedDigests[write.version] == write.digest {
		w.dangers["orders sent again that had been taken"]++
		w.countWriteBelowRetention(write)
	}
	w.traceEvent("order %d %s at %s", write.version, write.digest, registryNode.name)
	answered := false
	w.askRegistry(registryNode, registry.WriteConfiguration{
		ConfigName: "main",
		Version:    write.version,
		Body:       write.body,
		Check:      registry.CheckConfiguration(registryNode.settings, write.body),
	}, func(answer registry.OperatorResponse) {
		answered = true
		if w.handleWriteAnswer(write, answer) {
			w.after(min(writeRetryDelay*time.Duration(write.attempts), maxWriteRetryDelay), func() { w.retryWrite(write) })
		}
	})
	w.after(registryNode.settings.OperatorTimeout(len(write.body))+registrySilenceTimeout/5, func() {
		if !answered {
			w.retryWrite(write)
		}
	})
}

// countOldOrder counts orders that are older than every body that a store may keep.
func (w *World) countWriteBelowRetention(write *configWrite) {
	newer := 0
	for version := range w.acceptedDigests {
		if version > write.version {
			newer++
		}
	}
	if newer >= w.record.RetainedVersions {
		w.dangers["orders sent again that are older than what is kept"]++
	}
}

// orderAnswered checks an answer; true when the operator has to send the order again.
func (w *World) handleWriteAnswer(write *configWrite, answer registry.OperatorResponse) bool {
	w.traceEvent("order %d %s answered %s", write.version, write.digest, answer.Code)
	answeredVersion := gjson.GetBytes(answer.Body, "version").Int()
	w.checkWriteAnswer(write, answer.Code, answeredVersion)
	if w.now < w.answersLostUntil && w.random.Float64() < w.lostAnswerShare {
		w.dangers["answers to operators that were lost"]++
		return true
	}
	switch answer.Code {
	case errcode.ConfigurationNoHolder, errcode.ConfigurationBehind, errcode.ConfigurationUnsure:
		return true
	}
	if !write.finished {
		w.finishWrite(write, answer.Code)
	}
	return false
}

// compareOrder holds an answer against the truth so far.
func (w *World) checkWriteAnswer(write *configWrite, code errcode.Code, answeredVersion int64) {
	acceptedDigest, known := w.acceptedDigests[write.version]
	switch {
	case code == errcode.OK && known && acceptedDigest != write.digest:
		w.fail("two contents were confirmed under %d", write.version)
	case code == errcode.OK && (answeredVersion == write.version || w.options.Deployment.Writes != settings.WritesHighest):
		w.acceptedDigests[write.version] = write.digest
	case code/1000 == 4 && code.Status() < 500 && known && acceptedDigest == write.digest:
		w.fail("order %d, which was taken, was refused with %s", write.version, code)
	}
}

func (w *World) finishWrite(write *configWrite, code errcode.Code) {
	write.finished, write.code, write.finishedAt = true, code, w.now
	write.operation.answer, write.operation.to, write.operation.answered = configLogAnswer{code: code}, w.now, true
	if code == errcode.OK && w.acceptedDigests[write.version] == write.digest {
		w.recordAcknowledged(write.version, write.digest, write.tenants)
	}
	if write.onFinish != nil {
		write.onFinish(code)
	}
}

// acknowledged records a configuration that an operator was told is taken.
func (w *World) recordAcknowledged(version int64, digest string, tenants []loadgen.Tenant) {
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
	w.newestAcknowledged = max(w.newestAcknowledged, version)
}

// askRegistry puts an operator's question and holds the answer against what a registry in this
// state of the world may say, and how soon.
func (w *World) askRegistry(registryNode *Node, question any, done func(answer registry.OperatorResponse)) {
	began, incarnation, newestAcknowledged := w.now, registryNode.incarnation, w.newestAcknowledged
	_, partitionedBefore := w.partitionedSince[registryNode.machine]
	answered := false
	registryNode.request(question, func(reply any) {
		answered = true
		answer := mustCast[registry.OperatorResponse](reply)
		if read, isRead := question.(registry.ReadConfiguration); isRead && answer.Code == errcode.OK && !read.List && read.Version == 0 {
			w.checkReadAnswer(registryNode, answer, newestAcknowledged)
		}
		if since, partitioned := w.partitionedSince[registryNode.machine]; partitionedBefore && partitioned && since <= began {
			w.checkPartitionedAnswer(registryNode, question, answer.Code)
		}
		done(answer)
	})
	bodySize := 0
	if write, isWrite := question.(registry.WriteConfiguration); isWrite {
		bodySize = len(write.Body)
	}
	w.after(registryNode.settings.OperatorTimeout(bodySize)+registrySilenceTimeout/5, func() {
		if !answered && registryNode.up && !registryNode.frozen && registryNode.incarnation == incarnation &&
			!registryNode.frozenSince(began) {
			w.fail("%s said nothing within %s", registryNode.name, w.now-began)
		}
	})
}

// judgeRead checks that a read gives what was acknowledged before it was sent, or newer.
func (w *World) checkReadAnswer(registryNode *Node, answer registry.OperatorResponse, newestAcknowledged int64) {
	version, known := w.versionByDigest[checker.Digest(answer.Body)]
	if !known {
		w.fail("%s gave back a configuration that nobody sent", registryNode.name)
	} else if version < newestAcknowledged {
		w.fail("%s gave back version %d as current, %d was acknowledged before", registryNode.name, version, newestAcknowledged)
	}
}

// judgeSevered checks that a node that is cut off from the others says only that it can't answer.
func (w *World) checkPartitionedAnswer(registryNode *Node, question any, code errcode.Code) {
	operation := "reads"
	if _, isWrite := question.(registry.WriteConfiguration); isWrite {
		operation = "orders"
	}
	w.dangers[operation+" answered by a cut-off node"]++
	if code != errcode.ConfigurationNoHolder && code != errcode.ConfigurationBehind && code != errcode.ConfigurationUnsure {
		w.fail("%s answered %s while it was cut off", registryNode.name, code)
	}
}
