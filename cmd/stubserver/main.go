// Command stubserver is a stand-in upstream: it announces itself to a proxy, runs
// what it is given, and prints its record of runs when it ends.
package main

import (
	"encoding/json"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/backend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/stubserver"
)

func main() {
	stand := &stubserver.StubServer{Base: time.Now()}
	proxies := ""
	faults := stubserver.Faults{}
	root := &cobra.Command{Use: "stubserver", Short: "a stand-in upstream", SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			stand.Proxies = strings.Split(proxies, ",")
			stand.Response.Incarnation = time.Now().UnixNano()
			stand.SetFaults(faults)
			members := goroutine.New()
			if err := stand.Start(members); err != nil {
				return err
			}
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			<-signals
			stand.Change(func(response *backend.Announcement) { response.Leaving = true })
			stand.SignOff()
			encoder := json.NewEncoder(os.Stdout)
			for _, ran := range stand.Runs() {
				encoder.Encode(ran)
			}
			return nil
		}}
	flags := root.Flags()
	flags.StringVar(&stand.Response.Service, "service", "", "service")
	flags.StringVar(&stand.Response.Instance, "instance", "", "instance")
	flags.StringVar(&stand.Response.Address, "address", "127.0.0.1:0", "ip:port to serve on")
	flags.StringVar(&stand.Response.Zone, "zone", "", "zone")
	flags.Int64Var(&stand.Response.Slots, "slots", 8, "requests at one time")
	flags.Float64Var(&stand.Response.Load, "load", 0, "load to report, 0 to 1")
	flags.StringVar(&proxies, "proxies", "127.0.0.1:8080", "outside addresses of proxies, comma between; the first that answers is announced to")
	flags.DurationVar(&stand.Work, "work", 20*time.Millisecond, "how long a request takes")
	flags.Float64Var(&faults.Lose, "lose", 0, "share of runs that end without an answer")
	flags.Float64Var(&faults.Garbage, "garbage", 0, "share of runs answered with garbage")
	flags.Float64Var(&faults.Truncate, "truncate", 0, "share of runs answered in part")
	flags.Float64Var(&faults.Excess, "excess", 0, "share of runs answered with too much")
	flags.Float64Var(&faults.Slow, "slow", 0, "share of runs that take ten times as long")
	for _, name := range []string{"service", "instance", "zone"} {
		root.MarkFlagRequired(name)
	}
	if root.Execute() != nil {
		os.Exit(1)
	}
}
