// Command registry is the registry on each core voter; takes outside calls.
package main

import (
	"beaconvane/internal/cli"
	"beaconvane/platform"
)

func main() {
	cli.Main(cli.Program{Role: "registry", Short: "the registry on each core voter; takes outside calls", Module: cli.RegistryModule, AddCommands: cli.AddOperatorCommands, Platform: platform.Adapter{}})
}
