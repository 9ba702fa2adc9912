// Command stubserver is a stand-in upstream: it announces itself to a proxy, runs the requests that
// it gets, and prints its record of runs when it ends.
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
	server := &stubserver.StubServer{Base: time.Now()}
	proxies := ""
	faults := stubserver.Faults{}
	root := &cobra.Command{Use: "stubserver", Short: "a stand-in upstream", SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			server.Proxies = strings.Split(proxies, ",")
			server.Announcement.Incarnation = time.Now().UnixNano()
			server.SetFaults(faults)
			group := goroutine.New()
			if err := server.Start(group); err != nil {
				return err
			}
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			<-signals
			server.Change(func(announcement *backend.Announcement) { announcement.Leaving = true })
			server.SignOff()
			encoder := json.NewEncoder(os.Stdout)
			for _, ran := range server.Runs() {
				if err := encoder.Encode(ran); err != nil {
					return err
				}
			}
			return nil
		}}
	flags := root.Flags()
	flags.StringVar(&server.Announcement.Service, "service", "", "service")
	flags.StringVar(&server.Announcement.Instance, "instance", "", "instance")
	flags.StringVar(&server.Announcement.Address, "address", "127.0.0.1:0", "ip:port to serve on")
	flags.StringVar(&server.Announcement.Zone, "zone", "", "zone")
	flags.Int64Var(&server.Announcement.Slots, "slots", 8, "requests at one time")
	flags.Float64Var(&server.Announcement.Load, "load", 0, "load to report, 0 to 1")
	flags.StringVar(&proxies, "proxies", "127.0.0.1:8080",
		"outside addresses of proxies, comma between; the first that answers is announced to")
	flags.DurationVar(&server.Work, "work", 20*time.Millisecond, "how long a request takes")
	flags.Float64Var(&faults.Lose, "lose", 0, "share of runs that end without an answer")
	flags.Float64Var(&faults.Garbage, "garbage", 0, "share of runs answered with garbage")
	flags.Float64Var(&faults.Truncate, "truncate", 0, "share of runs answered in part")
	flags.Float64Var(&faults.Excess, "excess", 0, "share of runs answered with too much")
	flags.Float64Var(&faults.Slow, "slow", 0, "share of runs that take ten times as long")
	for _, name := range []string{"service", "instance", "zone"} {
		if err := root.MarkFlagRequired(name); err != nil {
			panic("stubserver: " + err.Error()) // no such flag: a programming error
		}
	}
	if root.Execute() != nil {
		os.Exit(1)
	}
}
