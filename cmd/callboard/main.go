// Command callboard is the registry on each core seat; takes outside calls.
package main

import "beaconvane/internal/marquee"

func main() {
	marquee.Main(marquee.Program{Role: "callboard", Short: "the registry on each core seat; takes outside calls", Module: marquee.CallboardModule, More: marquee.Operator})
}
