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

// An operator sends a configuration write to one registry, retries at another one after a lost answer, a
// retryable error or a timeout, and sends the same bytes until the answer is final. Every answer, also
// one that the operator doesn't get, is checked against earlier answers: a version has one content, and
// a write that was accepted is not refused later.
const (
	registrySilenceTimeout = time.Second            // a fifth of it is added to OperatorTimeout before a retry
	writeRetryDelay        = 50 * time.Millisecond  // before the first retry; grows linearly with the attempts
	maxWriteRetryDelay     = 500 * time.Millisecond // upper limit of the delay
)

// configWrite is an operator's write of a configuration under a version, with all its attempts.
type configWrite struct {
	version      int64
	tenants      []loadgen.Tenant
	body         []byte
	digest       string
	lastRegistry *Node // registry of the last attempt
	attempts     int
	finished     bool // the operator got a final answer
	contested    bool // a conflicting write has the same version
	code         errcode.Code
	finishedAt   time.Duration
	operation    *configLogOperation
	onFinish     func(code errcode.Code)
}

// newConfigWrite registers a write with the record and the linearizability history. onFinish may be nil;
// it is called once with the final code.
func (w *World) newConfigWrite(version int64, tenants []loadgen.Tenant, body []byte, onFinish func(code errcode.Code)) *configWrite {
	write := &configWrite{version: version, tenants: tenants, body: body, digest: checker.Digest(body), onFinish: onFinish}
	write.operation = &configLogOperation{
		request:  configLogRequest{write: true, version: version, entry: fmt.Sprintf("%d:%s", version, write.digest)},
		calledAt: w.now,
	}
	w.configLogOperations = append(w.configLogOperations, write.operation)
	w.configWrites = append(w.configWrites, write)
	w.versionByDigest[write.digest] = version
	return write
}

// retryWrite sends an unfinished write to a random registry, unless the operators have stopped.
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

// sendWrite sends a write to a registry, and retries it at a random one if no final answer arrives.
func (w *World) sendWrite(write *configWrite, registryNode *Node) {
	write.attempts++
	write.lastRegistry = registryNode
	if write.attempts > 1 && w.acceptedDigests[write.version] == write.digest {
		w.dangers["orders sent again that had been taken"]++
		w.countWriteBelowRetention(write)
	}
	w.traceEvent("write %d %s to %s", write.version, write.digest, registryNode.name)
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

// countWriteBelowRetention counts a repeated write that is older than every version a store retains.
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

// handleWriteAnswer checks an answer and returns whether the operator has to retry the write.
func (w *World) handleWriteAnswer(write *configWrite, answer registry.OperatorResponse) bool {
	w.traceEvent("write %d %s answered %s", write.version, write.digest, answer.Code)
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

// checkWriteAnswer checks an answer against the contents accepted so far, and records an acceptance.
func (w *World) checkWriteAnswer(write *configWrite, code errcode.Code, answeredVersion int64) {
	acceptedDigest, known := w.acceptedDigests[write.version]
	switch {
	case code == errcode.OK && known && acceptedDigest != write.digest:
		w.fail("two different contents were accepted under version %d", write.version)
	case code == errcode.OK && (answeredVersion == write.version || w.options.Deployment.Writes != settings.WritesHighest):
		w.acceptedDigests[write.version] = write.digest
	case code/1000 == 4 && code.Status() < 500 && known && acceptedDigest == write.digest:
		w.fail("write of version %d was refused with %s after it had been accepted", write.version, code)
	}
}

// finishWrite records the final answer to a write.
func (w *World) finishWrite(write *configWrite, code errcode.Code) {
	write.finished, write.code, write.finishedAt = true, code, w.now
	write.operation.answer, write.operation.answeredAt, write.operation.answered = configLogAnswer{code: code}, w.now, true
	if code == errcode.OK && w.acceptedDigests[write.version] == write.digest {
		w.recordAcknowledged(write.version, write.digest, write.tenants)
	}
	if write.onFinish != nil {
		write.onFinish(code)
	}
}

// recordAcknowledged records a configuration whose write was acknowledged to an operator.
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

// askRegistry sends an operator's request to a registry. It checks that the registry answers within its
// timeout, that a read isn't older than the last acknowledged write, and that a partitioned registry
// answers only that it can't serve the request.
func (w *World) askRegistry(registryNode *Node, request any, done func(answer registry.OperatorResponse)) {
	began, incarnation, newestAcknowledged := w.now, registryNode.incarnation, w.newestAcknowledged
	_, partitionedBefore := w.partitionedSince[registryNode.machine]
	answered := false
	registryNode.request(request, func(reply any) {
		answered = true
		answer := mustCast[registry.OperatorResponse](reply)
		if read, isRead := request.(registry.ReadConfiguration); isRead && answer.Code == errcode.OK && !read.List && read.Version == 0 {
			w.checkReadAnswer(registryNode, answer, newestAcknowledged)
		}
		if since, partitioned := w.partitionedSince[registryNode.machine]; partitionedBefore && partitioned && since <= began {
			w.checkPartitionedAnswer(registryNode, request, answer.Code)
		}
		done(answer)
	})
	bodySize := 0
	if write, isWrite := request.(registry.WriteConfiguration); isWrite {
		bodySize = len(write.Body)
	}
	w.after(registryNode.settings.OperatorTimeout(bodySize)+registrySilenceTimeout/5, func() {
		if !answered && registryNode.up && !registryNode.frozen && registryNode.incarnation == incarnation &&
			!registryNode.frozenSince(began) {
			w.fail("%s did not answer an operator within %s", registryNode.name, w.now-began)
		}
	})
}

// checkReadAnswer checks that a read returns the version acknowledged before the read was sent, or a
// newer one.
func (w *World) checkReadAnswer(registryNode *Node, answer registry.OperatorResponse, newestAcknowledged int64) {
	version, known := w.versionByDigest[checker.Digest(answer.Body)]
	if !known {
		w.fail("%s returned a configuration that no operator wrote", registryNode.name)
	} else if version < newestAcknowledged {
		w.fail("%s returned version %d as current, want at least %d, acknowledged before the read",
			registryNode.name, version, newestAcknowledged)
	}
}

// checkPartitionedAnswer checks that a registry that is partitioned from the others answers only that it
// can't serve the request.
func (w *World) checkPartitionedAnswer(registryNode *Node, request any, code errcode.Code) {
	operation := "reads"
	if _, isWrite := request.(registry.WriteConfiguration); isWrite {
		operation = "orders"
	}
	w.dangers[operation+" answered by a cut-off node"]++
	if code != errcode.ConfigurationNoHolder && code != errcode.ConfigurationBehind && code != errcode.ConfigurationUnsure {
		w.fail("%s answered %s while it was partitioned", registryNode.name, code)
	}
}
