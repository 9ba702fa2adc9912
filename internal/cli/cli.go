// Package cli is the front of the programs: command line, fx modules, the HTTP
// faces towards operators, platforms, upstreams and callers, and the polite stop.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/node"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Version is the product's number.
const Version = "0.1.0"

// Program describes one of the three daemons.
type Program struct {
	Role   string
	Short  string
	Module fx.Option
	More   func(root *cobra.Command)

	Platform Platform // the adapter to the machines' own platform; nil: there is none
}

// Platform is the port to the machines' own platform: where the settings are, and how
// callers, upstreams and the collector of usage speak there.
type Platform interface {
	Load(role string) (settings.Settings, error)
	Callers() frontend.Protocol
	Upstreams() backend.Protocol
	DressReport(header http.Header, nodeName string, epoch int64)
}

// Manners are the ways of speaking that a process was started with.
type Manners struct {
	Callers   frontend.Protocol
	Upstreams backend.Protocol
	Report    func(header http.Header, nodeName string, epoch int64)
}

// Main runs a program's command line.
func Main(program Program) {
	flags := map[string]*string{}
	configPath, checkOnly, onPlatform := "", false, false
	root := &cobra.Command{Use: program.Role, Short: program.Short, Version: Version, SilenceUsage: true, SilenceErrors: true,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			given := map[string]string{}
			for name, value := range flags {
				if command.Flags().Changed(name) {
					given[name] = *value
				}
			}
			manners := Manners{Callers: frontend.Node{}, Upstreams: backend.Node{}}
			load := func() (settings.Settings, error) { return settings.Load(program.Role, configPath, given) }
			if onPlatform {
				load = func() (settings.Settings, error) { return program.Platform.Load(program.Role) }
				manners = Manners{Callers: program.Platform.Callers(), Upstreams: program.Platform.Upstreams(), Report: program.Platform.DressReport}
			}
			hangups := listen()
			defer signal.Stop(hangups)
			cfg, err := load()
			if err != nil {
				return err
			}
			if checkOnly {
				fmt.Println("settings are good")
				return nil
			}
			return serve(program, cfg, manners, load, hangups)
		}}
	root.Flags().StringVar(&configPath, "config", "", "settings file (JSON)")
	if program.Platform != nil {
		root.Flags().BoolVar(&onPlatform, "platform", false, "run on the users' platform, with the settings that it gives")
	}
	root.Flags().BoolVar(&checkOnly, "check", false, "check the settings and end")
	for name, help := range map[string]string{"node": "name of this node", "voter": "voter of this core node", "zone": "zone of this machine",
		"address": "ip:port for the other processes", "outside": "ip:port for HTTP", "data": "data folder", "seeds": "three ip:port, comma between",
		"collector": "URL that takes usage reports", "found": "true: this start, on an empty disk, may found the core group"} {
		flags[name] = root.Flags().String(name, "", help+" (over the file)")
	}
	if program.More != nil {
		program.More(root)
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

// serve runs the fx app until a signal; a second signal ends at once.
func serve(program Program, cfg settings.Settings, manners Manners, load func() (settings.Settings, error), hangups <-chan os.Signal) error {
	thrift(cfg)
	members := goroutine.New()
	process := node.New(cfg, program.Role, members)
	process.DressReports(manners.Report)
	app := fx.New(fx.NopLogger, fx.Supply(cfg, members, process, manners), program.Module)
	if err := app.Err(); err != nil {
		return errcode.Wrap("cli.build", errcode.Internal, err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	started, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := app.Start(started); err != nil {
		return errcode.Wrap("cli.start", errcode.Internal, err)
	}
	members.Go("cli.reload", func(ctx context.Context) { reload(ctx, cfg, process, load, hangups) })
	process.Log.Info("started", "address", cfg.Address, "outside", cfg.Outside, "version", Version)
	<-signals
	process.Log.Info("stopping")
	members.Go("cli.impatience", func(context.Context) {
		<-signals
		os.Exit(1)
	})
	stopping, cancelStop := context.WithTimeout(context.Background(), cfg.Grace()+time.Second*2)
	defer cancelStop()
	if err := app.Stop(stopping); err != nil {
		process.Log.Info("stopped late", "cause", err.Error())
	}
	return nil
}

// listen takes SIGHUP from the first moment on: unheard, it ends a process, also one
// that is still reading its disk.
func listen() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reload reads the settings again, on SIGHUP and now and then, since the file may change
// without it. Seeds are taken at once; whatever else has changed is said, and taken at
// the next start.
func reload(ctx context.Context, cfg settings.Settings, process *node.Node, load func() (settings.Settings, error), hangups <-chan os.Signal) {
	ticker := time.NewTicker(cfg.LookAgain())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		response, err := load()
		if err != nil {
			process.Log.Info("settings not read again", "cause", err.Error())
			continue
		}
		if !slices.Equal(response.Seeds, cfg.Seeds) {
			process.Log.Info("seeds changed", "seeds", response.Seeds)
			process.Tell(statemachine.Reseeded{Seeds: response.Seeds})
		}
		cfg.Seeds = response.Seeds
		if !reflect.DeepEqual(response, cfg) {
			process.Log.Info("settings changed: taken at the next start")
		}
		cfg = response
	}
}

// collectAt is the growth of the heap, in percent, at which garbage is collected where
// memory is bounded: time of the processor is cheaper there.
const collectAt = 30

// thrift keeps the process well below the memory it was given.
func thrift(cfg settings.Settings) {
	if cfg.Limits.Memory > 0 {
		debug.SetMemoryLimit(cfg.Limits.Memory << 20 * 6 / 10)
		debug.SetGCPercent(collectAt)
	}
}

// Face is one HTTP server of a process.
type Face struct {
	Router *mux.Router
	server *http.Server
}

// NewFace makes a router whose paths are taken as they come.
func NewFace() *Face {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	return &Face{Router: router, server: &http.Server{Handler: router, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10}}
}

// NewCallersFace serves one handler for every path.
func NewCallersFace(handler http.Handler) *Face {
	face := NewFace()
	face.server.Handler = handler
	return face
}

// Serve binds and serves, at each of some addresses.
func (f *Face) Serve(members *goroutine.Group, addresses ...string) error {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errcode.Wrap("cli.listen", errcode.ConnectionLost, err)
		}
		members.Go("cli.serve", func(context.Context) { f.server.Serve(listener) })
	}
	return nil
}

// Shutdown waits for requests inside.
func (f *Face) Shutdown(ctx context.Context) error { return f.server.Shutdown(ctx) }

func writeJSON(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	json.NewEncoder(out).Encode(body)
}

// headOf sets what the mesh says of its own refusals in the head.
func headOf(out http.ResponseWriter, code errcode.Code) {
	if code != errcode.OK {
		out.Header().Set(frontend.CodeHeader, fmt.Sprint(int(code)))
		if code.Status() == http.StatusServiceUnavailable {
			out.Header().Set("Retry-After", "1")
		}
	}
}

func writeCode(out http.ResponseWriter, code errcode.Code, detail string) {
	headOf(out, code)
	writeJSON(out, code.Status(), map[string]any{"code": int(code), "result": code.String(), "detail": detail})
}

// common adds the endpoints that every program has.
func common(router *mux.Router, prefix string, process *node.Node, more func() map[string]any) {
	router.HandleFunc(prefix+"/live", func(out http.ResponseWriter, _ *http.Request) { writeCode(out, errcode.OK, "live") }).Methods(http.MethodGet)
	router.HandleFunc(prefix+"/counters", func(out http.ResponseWriter, _ *http.Request) {
		body := map[string]any{"process": process.Counters()}
		if more != nil {
			for name, value := range more() {
				body[name] = value
			}
		}
		writeJSON(out, http.StatusOK, body)
	}).Methods(http.MethodGet)
	router.HandleFunc(prefix+"/journal", func(out http.ResponseWriter, _ *http.Request) {
		writeJSON(out, http.StatusOK, map[string]any{"entries": process.Journal()})
	}).Methods(http.MethodGet)
}
