// Package cli is the command line of the programs: it reads flags and settings, builds a program
// from its parts, runs it until a signal, and has the operators' commands. The programs' HTTP
// interface is package api.
package cli

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"beaconvane/internal/backend"
	"beaconvane/internal/frontend"
	"beaconvane/internal/settings"
)

// Version is the product's version.
const Version = "0.1.0"

// Program describes one of the three daemons.
type Program struct {
	Role        string // message.RoleProxy, message.RoleRegistry or message.RoleConfigStore
	Short       string // one line for the help text
	Module      fx.Option
	AddCommands func(root *cobra.Command) // adds subcommands; nil for none
	Platform    Platform                  // the adapter to the users' platform; nil for none
}

// Platform is the port to the users' platform: where the settings are, and how callers, upstreams
// and the collector of usage reports speak there.
type Platform interface {
	// Load reads the settings of a role.
	Load(role string) (settings.Settings, error)
	// Callers is the protocol towards callers.
	Callers() frontend.Protocol
	// Upstreams is the protocol towards upstreams.
	Upstreams() backend.Protocol
	// SetReportHeaders adds to a usage report's header who sends it under which epoch.
	SetReportHeaders(header http.Header, nodeName string, epoch int64)
}

// Protocols are the protocols that a process was started with.
type Protocols struct {
	Callers          frontend.Protocol
	Upstreams        backend.Protocol
	SetReportHeaders func(header http.Header, nodeName string, epoch int64) // nil: nothing is added
}

// loader reads the settings, at the start and again while the process runs.
type loader func() (settings.Settings, error)

// overridingFlags are the settings that the command line may give over the file, with their help.
var overridingFlags = map[string]string{
	"node":      "name of this node",
	"voter":     "voter of this core node",
	"zone":      "zone of this machine",
	"address":   "ip:port for the other processes",
	"outside":   "ip:port for HTTP",
	"data":      "data folder",
	"metrics":   "ip:port for the page of the process's figures",
	"seeds":     "three ip:port, comma between",
	"collector": "URL that takes usage reports",
	"found":     "true: this start, on an empty disk, may found the core group",
}

// options are a daemon's flags.
type options struct {
	configPath string
	checkOnly  bool
	onPlatform bool
	overrides  map[string]*string // by flag name
}

// Main runs a program's command line. It ends the process with status 1 on an error.
func Main(program Program) {
	given := &options{overrides: map[string]*string{}}
	root := &cobra.Command{
		Use:           program.Role,
		Short:         program.Short,
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(command *cobra.Command, _ []string) error { return given.run(program, command) },
	}
	given.addFlags(program, root)
	if program.AddCommands != nil {
		program.AddCommands(root)
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func (o *options) addFlags(program Program, root *cobra.Command) {
	root.Flags().StringVar(&o.configPath, "config", "", "settings file (JSON)")
	if program.Platform != nil {
		root.Flags().BoolVar(&o.onPlatform, "platform", false, "run on the users' platform, with the settings that it gives")
	}
	root.Flags().BoolVar(&o.checkOnly, "check", false, "check the settings and end")
	for name, help := range overridingFlags {
		o.overrides[name] = root.Flags().String(name, "", help+" (over the file)")
	}
}

// run loads the settings and, unless they are only checked, serves until a signal.
func (o *options) run(program Program, command *cobra.Command) error {
	load, protocols := o.source(program, command)
	hangups := notifyHangups()
	defer signal.Stop(hangups)
	cfg, err := load()
	if err != nil {
		return err
	}
	if o.checkOnly {
		fmt.Println("settings are good")
		return nil
	}
	return serve(program, cfg, protocols, load, hangups)
}

// source returns where the settings come from, and the protocols that belong to them.
func (o *options) source(program Program, command *cobra.Command) (loader, Protocols) {
	if o.onPlatform {
		platform := program.Platform
		load := func() (settings.Settings, error) { return platform.Load(program.Role) }
		return load, Protocols{Callers: platform.Callers(), Upstreams: platform.Upstreams(), SetReportHeaders: platform.SetReportHeaders}
	}
	overrides := map[string]string{}
	for name, value := range o.overrides {
		if command.Flags().Changed(name) {
			overrides[name] = *value
		}
	}
	load := func() (settings.Settings, error) { return settings.Load(program.Role, o.configPath, overrides) }
	return load, Protocols{Callers: frontend.NativeProtocol{}, Upstreams: backend.NativeProtocol{}}
}
