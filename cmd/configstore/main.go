// Command configstore is the configuration store on each core voter.
package main

import (
	"beaconvane/internal/cli"
	"beaconvane/platform"
)

func main() {
	cli.Main(cli.Program{Role: "configstore", Short: "the configuration store on each core voter", Module: cli.ConfigStoreModule, AddCommands: cli.AddVoterCommands("configstore"), Platform: platform.Adapter{}})
}
