// Package marquee is the front of the programs: command line, fx modules, the HTTP
// faces towards operators, platforms, upstreams and callers, and the polite stop.
package marquee

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"beaconvane/internal/crew"
	"beaconvane/internal/foyer"
	"beaconvane/internal/house"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
)

// Version is the product's number.
const Version = "0.1.0"

// Program describes one of the three daemons.
type Program struct {
	Role   string
	Short  string
	Module fx.Option
	More   func(root *cobra.Command)
}

// Main runs a program's command line.
func Main(program Program) {
	flags := map[string]*string{}
	configPath, checkOnly := "", false
	root := &cobra.Command{Use: program.Role, Short: program.Short, Version: Version, SilenceUsage: true, SilenceErrors: true,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			given := map[string]string{}
			for name, value := range flags {
				if command.Flags().Changed(name) {
					given[name] = *value
				}
			}
			config, err := playbill.Load(program.Role, configPath, given)
			if err != nil {
				return err
			}
			if checkOnly {
				fmt.Println("settings are good")
				return nil
			}
			return serve(program, config)
		}}
	root.Flags().StringVar(&configPath, "config", "", "settings file (JSON)")
	root.Flags().BoolVar(&checkOnly, "check", false, "check the settings and end")
	for name, help := range map[string]string{"node": "name of this node", "seat": "seat of this core node", "district": "district of this machine",
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
func serve(program Program, config playbill.Config) error {
	members := crew.New()
	tower := house.New(config, program.Role, members)
	app := fx.New(fx.NopLogger, fx.Supply(config, members, tower), program.Module)
	if err := app.Err(); err != nil {
		return notice.Wrap("marquee.build", notice.Internal, err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	started, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := app.Start(started); err != nil {
		return notice.Wrap("marquee.start", notice.Internal, err)
	}
	tower.Log.Info("started", "address", config.Address, "outside", config.Outside, "version", Version)
	<-signals
	tower.Log.Info("stopping")
	members.Go("marquee.impatience", func(context.Context) {
		<-signals
		os.Exit(1)
	})
	stopping, cancelStop := context.WithTimeout(context.Background(), config.Grace()+time.Second*2)
	defer cancelStop()
	if err := app.Stop(stopping); err != nil {
		tower.Log.Info("stopped late", "cause", err.Error())
	}
	return nil
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

// Serve binds and serves.
func (f *Face) Serve(members *crew.Crew, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return notice.Wrap("marquee.listen", notice.WireLost, err)
	}
	members.Go("marquee.serve", func(context.Context) { f.server.Serve(listener) })
	return nil
}

// Shutdown waits for queries inside.
func (f *Face) Shutdown(ctx context.Context) error { return f.server.Shutdown(ctx) }

func writeJSON(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	json.NewEncoder(out).Encode(body)
}

// headOf sets what the mesh says of its own refusals in the head.
func headOf(out http.ResponseWriter, code notice.Code) {
	if code != notice.OK {
		out.Header().Set(foyer.CodeHeader, fmt.Sprint(int(code)))
		if code.Status() == http.StatusServiceUnavailable {
			out.Header().Set("Retry-After", "1")
		}
	}
}

func writeCode(out http.ResponseWriter, code notice.Code, detail string) {
	headOf(out, code)
	writeJSON(out, code.Status(), map[string]any{"code": int(code), "result": code.String(), "detail": detail})
}

// common adds the endpoints that every program has.
func common(router *mux.Router, prefix string, tower *house.House, more func() map[string]any) {
	router.HandleFunc(prefix+"/live", func(out http.ResponseWriter, _ *http.Request) { writeCode(out, notice.OK, "live") }).Methods(http.MethodGet)
	router.HandleFunc(prefix+"/counters", func(out http.ResponseWriter, _ *http.Request) {
		body := map[string]any{"process": tower.Counters()}
		if more != nil {
			for name, value := range more() {
				body[name] = value
			}
		}
		writeJSON(out, http.StatusOK, body)
	}).Methods(http.MethodGet)
	router.HandleFunc(prefix+"/journal", func(out http.ResponseWriter, _ *http.Request) {
		writeJSON(out, http.StatusOK, map[string]any{"entries": tower.Journal()})
	}).Methods(http.MethodGet)
}
