// Package cli is the command line of the programs: it reads flags and settings, assembles a program,
// runs it until a signal, and provides the operators' commands. The programs' HTTP interface is
// package api.
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

// Program describes one of the three daemons: proxy, registry or configuration store.
type Program struct {
	Role        string // message.RoleProxy, message.RoleRegistry or message.RoleConfigStore
	Short       string // one line for the help text
	Module      fx.Option
	AddCommands func(root *cobra.Command) // adds subcommands; may be nil
	Platform    Platform                  // adapter to the users' platform; may be nil
}

// Platform abstracts the users' platform: where its settings come from, and the protocols of its
// callers, its upstreams and its collector of usage reports.
type Platform interface {
	// Load reads the settings of a role.
	Load(role string) (settings.Settings, error)
	// Callers returns the protocol towards callers.
	Callers() frontend.Protocol
	// Upstreams returns the protocol towards upstreams.
	Upstreams() backend.Protocol
	// SetReportHeaders adds the sending node and its epoch to the header of a usage report.
	SetReportHeaders(header http.Header, nodeName string, epoch int64)
}

// Protocols holds the protocols of a process, which depend on the platform.
type Protocols struct {
	Callers          frontend.Protocol
	Upstreams        backend.Protocol
	SetReportHeaders func(header http.Header, nodeName string, epoch int64) // nil: no headers are added
}

// settingsLoader loads the settings. It is called at the start and on each reload.
type settingsLoader func() (settings.Settings, error)

// overrideFlags maps the flags that override a setting of the file to their help texts.
var overrideFlags = map[string]string{
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

// options holds the flags of a daemon.
type options struct {
	configPath string
	checkOnly  bool
	onPlatform bool
	overrides  map[string]*string // flag values by flag name
}

// Main runs a program's command line. On an error it exits with status 1.
func Main(program Program) {
	opts := &options{overrides: map[string]*string{}}
	root := &cobra.Command{
		Use:           program.Role,
		Short:         program.Short,
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(command *cobra.Command, _ []string) error { return opts.run(program, command) },
	}
	opts.addFlags(program, root)
	if program.AddCommands != nil {
		program.AddCommands(root)
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

// addFlags defines the flags of a daemon.
func (o *options) addFlags(program Program, root *cobra.Command) {
	root.Flags().StringVar(&o.configPath, "config", "", "settings file (JSON)")
	if program.Platform != nil {
		root.Flags().BoolVar(&o.onPlatform, "platform", false, "run on the users' platform, with the settings that it gives")
	}
	root.Flags().BoolVar(&o.checkOnly, "check", false, "check the settings and end")
	for name, help := range overrideFlags {
		o.overrides[name] = root.Flags().String(name, "", help+" (over the file)")
	}
}

// run loads the settings and serves until a signal. With --check it only validates the settings.
func (o *options) run(program Program, command *cobra.Command) error {
	load, protocols := o.source(program, command)
	hangups := notifyHangups()
	defer signal.Stop(hangups)
	cfg, err := load()
	if err != nil {
		return err
	}
	if o.checkOnly {
		fmt.Println("settings are valid")
		return nil
	}
	return serve(program, cfg, protocols, load, hangups)
}

// source returns the loader of the settings and the protocols of the process: those of the platform
// with --platform, otherwise the settings file with overrides and the native protocols.
func (o *options) source(program Program, command *cobra.Command) (settingsLoader, Protocols) {
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
