// Command callboard is the registry on each core seat; takes outside calls.
package main

import (
	"beaconvane/internal/marquee"
	"beaconvane/platform"
)

func main() {
	marquee.Main(marquee.Program{Role: "callboard", Short: "the registry on each core seat; takes outside calls", Module: marquee.CallboardModule, More: marquee.Operator, Platform: platform.Adapter{}})
}
