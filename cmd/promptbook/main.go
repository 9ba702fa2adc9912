// Command promptbook is the layout store on each core seat.
package main

import (
	"beaconvane/internal/marquee"
	"beaconvane/platform"
)

func main() {
	marquee.Main(marquee.Program{Role: "promptbook", Short: "the layout store on each core seat", Module: marquee.PromptbookModule, More: marquee.Seat("promptbook"), Platform: platform.Adapter{}})
}
