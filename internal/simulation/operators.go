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

// writeOnce sends a configuration to a random registry, without retries. Invalid configurations have no
// tenants and stay out of the linearizability history. onAnswer may be nil.
func (w *World) writeOnce(version int64, tenants []loadgen.Tenant, body []byte, onAnswer func(code errcode.Code)) {
	registries := w.runningNodes(message.RoleRegistry)
	if len(registries) == 0 {
		return
	}
	registryNode := registries[w.random.IntN(len(registries))]
	w.traceEvent("put %d to %s", version, registryNode.name)
	digest := checker.Digest(body)
	operation := &configLogOperation{
		request:  configLogRequest{write: true, version: version, entry: fmt.Sprintf("%d:%s", version, digest)},
		calledAt: w.now,
	}
	if tenants != nil {
		w.configLogOperations = append(w.configLogOperations, operation)
		w.versionByDigest[digest] = version
	}
	registryNode.request(registry.WriteConfiguration{
		ConfigName: "main",
		Version:    version,
		Body:       body,
		Check:      registry.CheckConfiguration(registryNode.settings, body),
	}, func(answer any) {
		response := mustCast[registry.OperatorResponse](answer)
		code := response.Code
		operation.answer, operation.answeredAt, operation.answered = configLogAnswer{code: code}, w.now, true
		w.traceEvent("put %d answered %s", version, code)
		if code == errcode.OK && gjson.GetBytes(response.Body, "version").Int() == version {
			w.recordAcknowledged(version, digest, tenants)
		}
		if onAnswer != nil {
			onAnswer(code)
		}
	})
}

// writeUntilDecided sends a write every second until it is acknowledged or refused as a conflict.
func (w *World) writeUntilDecided(version int64, tenants []loadgen.Tenant, extraRoutes int) {
	body := w.options.Deployment.Configuration(tenants, extraRoutes)
	decided := false
	var attempt func()
	attempt = func() {
		if decided {
			return
		}
		w.writeOnce(version, tenants, body, func(code errcode.Code) {
			if code == errcode.OK || code == errcode.ConfigurationConflict {
				decided = true
			}
		})
		w.after(time.Second, attempt)
	}
	attempt()
}

// runOperatorStep executes one of the steps that write a configuration.
func (w *World) runOperatorStep(step Step) {
	tenants := w.options.Deployment.Tenants()
	w.lastVersion++
	version := w.lastVersion
	switch step.Do {
	case "put":
		w.writeUntilDecided(version, tenants[:w.tenantCount], int(version))
	case "put-huge":
		w.writeUntilDecided(version, tenants[:w.tenantCount], 5000)
	case "withdraw":
		w.tenantCount = max(1, w.tenantCount-1)
		w.writeUntilDecided(version, tenants[:w.tenantCount], 0)
	case "restore-keys":
		w.tenantCount = len(tenants)
		w.writeUntilDecided(version, tenants, 0)
	case "put-race":
		acknowledgedCount := 0
		for index := range 2 {
			body := w.options.Deployment.Configuration(tenants[:w.tenantCount], 10+index)
			w.writeOnce(version, tenants[:w.tenantCount], body, func(code errcode.Code) {
				if code == errcode.OK {
					acknowledgedCount++
					if acknowledgedCount == 2 {
						w.fail("both concurrent puts of version %d were acknowledged", version)
					}
				}
			})
		}
	case "put-bad":
		w.lastVersion--
		w.writeOnce(version, nil, []byte(`{"services":["x"],"routes":[{"name":"r","service":"y"}]}`), func(code errcode.Code) {
			if code != errcode.ConfigurationBad && code != errcode.ConfigurationNoHolder && code != errcode.ConfigurationUnsure {
				w.fail("the put of an invalid configuration was answered %s", code)
			}
		})
	case "put-and-kill", "put-and-kill-disk":
		body := w.options.Deployment.Configuration(tenants[:w.tenantCount], int(version))
		loseDisk := step.Do == "put-and-kill-disk"
		w.writeOnce(version, tenants[:w.tenantCount], body, func(code errcode.Code) {
			if code == errcode.OK {
				if machine := w.leaseHolder(settings.ConfigLogLease); machine != "" {
					w.restart(w.machineNodes(machine), loseDisk, step.For)
				}
			}
		})
	}
}
