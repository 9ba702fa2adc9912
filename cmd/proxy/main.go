// Command proxy runs the proxy, a daemon on each edge machine.
package main

import (
	"beaconvane/internal/cli"
	"beaconvane/internal/message"
	"beaconvane/platform"
)

func main() {
	cli.Main(cli.Program{
		Role:     message.RoleProxy,
		Short:    "the proxy on each edge machine",
		Module:   cli.ProxyModule,
		Platform: platform.Adapter{},
	})
}
