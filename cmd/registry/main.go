// Command registry is the registry, which runs on each core machine and takes the operators' calls.
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
