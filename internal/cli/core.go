// This file is the face of the core programs: registry's HTTP for operators and
// platforms, and the modules of registry and configstore.
package cli

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/tidwall/gjson"
	"go.uber.org/fx"

	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/registry"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// RegistryModule is the registry; ConfigStoreModule the configuration store.
var (
	RegistryModule    = fx.Module("registry", fx.Invoke(startRegistry))
	ConfigStoreModule = fx.Module("configstore", fx.Invoke(startConfigStore))
)

func startRegistry(life fx.Lifecycle, cfg settings.Settings, members *goroutine.Group, process *node.Node) {
	face := NewFace()
	c := &registryFace{settings: cfg, process: process}
	c.route(face.Router)
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			_, snapshot, records, err := process.OpenDisk()
			if err != nil {
				return err
			}
			machine, err := registry.New(cfg, node.Self(cfg, message.RoleRegistry), snapshot, records)
			if err != nil {
				return err
			}
			if err := process.Run(machine, nil); err != nil {
				return err
			}
			return face.Serve(members, cfg.Outside)
		},
		OnStop: func(ctx context.Context) error { return stopCore(ctx, cfg, members, process, registry.Stop{}, face) },
	})
}

func startConfigStore(life fx.Lifecycle, cfg settings.Settings, members *goroutine.Group, process *node.Node) {
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			_, snapshot, records, err := process.OpenDisk()
			if err != nil {
				return err
			}
			var machine statemachine.Machine
			machine, err = configstore.New(cfg, node.Self(cfg, message.RoleConfigStore), snapshot, records)
			if err != nil {
				return err
			}
			return process.Run(machine, nil)
		},
		OnStop: func(ctx context.Context) error {
			return stopCore(ctx, cfg, members, process, configstore.Stop{}, nil)
		},
	})
}

// stopCore hands leases over, lets the messages leave, and ends.
func stopCore(ctx context.Context, cfg settings.Settings, members *goroutine.Group, process *node.Node, stop any, face *Face) error {
	asked, cancel := context.WithTimeout(ctx, cfg.Grace()/2)
	defer cancel()
	_, err := process.Request(asked, stop)
	if face != nil {
		err = face.Shutdown(asked)
	}
	linger := time.NewTimer(cfg.UpdatesEvery())
	defer linger.Stop()
	<-linger.C
	process.Transport.Close()
	members.Stop(cfg.UpdatesEvery())
	return err
}

type registryFace struct {
	settings settings.Settings
	process  *node.Node
}

func (c *registryFace) route(router *mux.Router) {
	common(router, "", c.process, nil)
	router.HandleFunc("/ready", c.request(func(*http.Request) any { return registry.Ready{} })).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", c.request(func(*http.Request) any { return registry.ReadStatus{} })).Methods(http.MethodGet)
	router.HandleFunc("/v1/roster", c.request(func(*http.Request) any { return registry.ReadRoster{} })).Methods(http.MethodGet)
	router.HandleFunc("/v1/usage/{window:[0-9]+}", c.request(func(in *http.Request) any {
		return registry.ReadUsage{Window: number(in, "window")}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/configurations/check", c.check).Methods(http.MethodPost)
	router.HandleFunc("/v1/configurations/{configuration}", c.request(func(in *http.Request) any {
		return registry.GetConfiguration{ConfigName: mux.Vars(in)["configuration"]}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/configurations/{configuration}", c.write).Methods(http.MethodPut)
	router.HandleFunc("/v1/configurations/{configuration}/versions", c.request(func(in *http.Request) any {
		return registry.GetConfiguration{ConfigName: mux.Vars(in)["configuration"], List: true}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/configurations/{configuration}/status", c.request(func(in *http.Request) any {
		return registry.ConfigurationStatus{ConfigName: mux.Vars(in)["configuration"]}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/configurations/{configuration}/{version:[0-9]+}/in-force", c.inForce).Methods(http.MethodGet)
	router.HandleFunc("/v1/configurations/{configuration}/{version:[0-9]+}", c.request(func(in *http.Request) any {
		return registry.GetConfiguration{ConfigName: mux.Vars(in)["configuration"], Version: number(in, "version")}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/configurations/{configuration}/{version:[0-9]+}", c.write).Methods(http.MethodPut)
	router.HandleFunc("/v1/configurations/{configuration}", c.write).Methods(http.MethodPut)
}

func number(in *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(mux.Vars(in)[name], 10, 64)
	return value
}

// ask hands a question to the machine and its answer back.
func (c *registryFace) request(question func(in *http.Request) any) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) { c.answer(out, in, question(in)) }
}

func (c *registryFace) answer(out http.ResponseWriter, in *http.Request, question any) {
	limited, cancel := context.WithTimeout(in.Context(), c.settings.WriteLimit()*2)
	defer cancel()
	answered, err := c.process.Request(limited, question)
	if err != nil {
		if _, isWrite := question.(registry.WriteConfiguration); isWrite {
			writeCode(out, errcode.ConfigurationUnsure, "")
			return
		}
		writeCode(out, errcode.Internal, "no answer from the control thread")
		return
	}
	writeAnswer(out, answered.(registry.Answer))
}

func writeAnswer(out http.ResponseWriter, answer registry.Answer) {
	headOf(out, answer.Code)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(answer.Code.Status())
	out.Write(answer.Body)
}

func (c *registryFace) body(out http.ResponseWriter, in *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, c.settings.Limits.Configuration+1))
	if err != nil {
		writeCode(out, errcode.ConfigurationTooLarge, "")
		return nil, false
	}
	return body, true
}

func (c *registryFace) write(out http.ResponseWriter, in *http.Request) {
	if body, whole := c.body(out, in); whole {
		c.answer(out, in, registry.WriteConfiguration{ConfigName: mux.Vars(in)["configuration"], Version: number(in, "version"), Body: body})
	}
}

// inForce answers once a version is in force on every proxy, or when the caller's time
// (wait_ms) is up, with the names of those that lack it.
func (c *registryFace) inForce(out http.ResponseWriter, in *http.Request) {
	wait := c.settings.WriteLimit()
	if asked, err := strconv.ParseInt(in.URL.Query().Get("wait_ms"), 10, 64); err == nil && asked >= 0 {
		wait = min(time.Duration(asked)*time.Millisecond, c.settings.Grace())
	}
	limited, cancel := context.WithTimeout(in.Context(), wait)
	defer cancel()
	ticker := time.NewTicker(c.settings.TickEvery())
	defer ticker.Stop()
	for {
		answered, err := c.process.Request(in.Context(), registry.ConfigurationStatus{ConfigName: mux.Vars(in)["configuration"], Version: number(in, "version")})
		if err != nil {
			writeCode(out, errcode.Internal, "no answer from the control thread")
			return
		}
		answer := answered.(registry.Answer)
		everywhere := gjson.GetBytes(answer.Body, "everywhere").Bool()
		if everywhere || limited.Err() != nil {
			if !everywhere && answer.Code == errcode.OK {
				answer.Code = errcode.ConfigurationLacking
			}
			writeAnswer(out, answer)
			return
		}
		select {
		case <-limited.Done():
		case <-ticker.C:
		}
	}
}

// check only checks; nothing is put.
func (c *registryFace) check(out http.ResponseWriter, in *http.Request) {
	body, whole := c.body(out, in)
	if !whole {
		return
	}
	faults, tooLarge := routeconfig.Check(body, c.settings.ConfigurationLimits())
	code := errcode.OK
	switch {
	case tooLarge:
		code = errcode.ConfigurationTooLarge
	case len(faults) > 0:
		code = errcode.ConfigurationBad
	}
	writeJSON(out, code.Status(), map[string]any{"code": int(code), "result": code.String(), "faults": faults})
}
