// Command usher is the proxy on each edge machine.
package main

import "beaconvane/internal/marquee"

func main() {
	marquee.Main(marquee.Program{Role: "usher", Short: "the proxy on each edge machine", Module: marquee.UsherModule})
}
