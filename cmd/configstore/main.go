// Command configstore runs the configuration store, a daemon on each core machine.
package main

import (
	"beaconvane/internal/cli"
	"beaconvane/internal/message"
	"beaconvane/platform"
)

func main() {
	cli.Main(cli.Program{
		Role:        message.RoleConfigStore,
		Short:       "the configuration store on each core voter",
		Module:      cli.ConfigStoreModule,
		AddCommands: cli.AddVoterCommands(message.RoleConfigStore),
		Platform:    platform.Adapter{},
	})
}
