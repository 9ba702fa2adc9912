// Command proxy is the proxy on each edge machine.
package main

import (
	"beaconvane/internal/cli"
	"beaconvane/platform"
)

func main() {
	cli.Main(cli.Program{Role: "proxy", Short: "the proxy on each edge machine", Module: cli.ProxyModule, Platform: platform.Adapter{}})
}
