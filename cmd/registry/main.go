// Command registry runs the registry, a daemon on each core machine that serves the operators' API. Its
// subcommands are the operators' client.
package main

import (
	"beaconvane/internal/cli"
	"beaconvane/internal/message"
	"beaconvane/platform"
)

func main() {
	cli.Main(cli.Program{
		Role:        message.RoleRegistry,
		Short:       "the registry on each core voter; takes outside calls",
		Module:      cli.RegistryModule,
		AddCommands: cli.AddOperatorCommands,
		Platform:    platform.Adapter{},
	})
}
