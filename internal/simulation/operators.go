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

// write has an operator send a configuration to a registry, once.
func (w *World) write(version int64, tenants []loadgen.Tenant, body []byte, committed func(code errcode.Code)) {
	registries := w.alive(message.RoleRegistry)
	if len(registries) == 0 {
		return
	}
	registryNode := registries[w.random.IntN(len(registries))]
	w.mark("put %d at %s", version, registryNode.name)
	digest := checker.Digest(body)
	operation := &configLogOperation{
		request: configLogRequest{write: true, version: version, entry: fmt.Sprintf("%d:%s", version, digest)},
		from:    w.now,
	}
	if tenants != nil {
		w.operations = append(w.operations, operation)
		w.contents[digest] = version
	}
	registryNode.request(registry.WriteConfiguration{
		ConfigName: "main",
		Version:    version,
		Body:       body,
		Check:      registry.CheckConfiguration(registryNode.settings, body),
	}, func(answer any) {
		given := mustBe[registry.OperatorResponse](answer)
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

func (w *World) operate(step Step) {
	tenants := w.options.Deployment.Tenants()
	w.versions++
	version := w.versions
	switch step.Do {
	case "put":
		w.writeUntil(version, tenants[:w.tenants], int(version))
	case "put-huge":
		w.writeUntil(version, tenants[:w.tenants], 5000)
	case "withdraw":
		w.tenants = max(1, w.tenants-1)
		w.writeUntil(version, tenants[:w.tenants], 0)
	case "restore-keys":
		w.tenants = len(tenants)
		w.writeUntil(version, tenants, 0)
	case "put-race":
		won := 0
		for index := range 2 {
			body := w.options.Deployment.Configuration(tenants[:w.tenants], 10+index)
			w.write(version, tenants[:w.tenants], body, func(code errcode.Code) {
				if code == errcode.OK {
					won++
					if won == 2 {
						w.fail("both racing puts of %d were acknowledged", version)
					}
				}
			})
		}
	case "put-bad":
		w.versions--
		w.write(version, nil, []byte(`{"services":["x"],"routes":[{"name":"r","service":"y"}]}`), func(code errcode.Code) {
			if code != errcode.ConfigurationBad && code != errcode.ConfigurationNoHolder && code != errcode.ConfigurationUnsure {
				w.fail("a bad configuration was answered %s", code)
			}
		})
	case "put-and-kill", "put-and-kill-disk":
		body := w.options.Deployment.Configuration(tenants[:w.tenants], int(version))
		lose := step.Do == "put-and-kill-disk"
		w.write(version, tenants[:w.tenants], body, func(code errcode.Code) {
			if code == errcode.OK {
				if machine := w.holder(settings.ConfigLogLease); machine != "" {
					w.restart(w.machineNodes(machine), lose, step.For)
				}
			}
		})
	}
}
