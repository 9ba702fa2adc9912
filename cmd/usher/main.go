// Command usher is the proxy on each edge machine.
package main

import (
	"beaconvane/internal/marquee"
	"beaconvane/platform"
)

func main() {
	marquee.Main(marquee.Program{Role: "usher", Short: "the proxy on each edge machine", Module: marquee.UsherModule, Platform: platform.Adapter{}})
}
