// Command understudy is a stand-in upstream: it announces itself to a usher, runs
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

	"beaconvane/internal/crew"
	"beaconvane/internal/greenroom"
	"beaconvane/internal/understudy"
)

func main() {
	stand := &understudy.Understudy{Base: time.Now()}
	ushers := ""
	faults := understudy.Faults{}
	root := &cobra.Command{Use: "understudy", Short: "a stand-in upstream", SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			stand.Ushers = strings.Split(ushers, ",")
			stand.Told.Incarnation = time.Now().UnixNano()
			stand.SetFaults(faults)
			members := crew.New()
			if err := stand.Start(members); err != nil {
				return err
			}
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			<-signals
			stand.Change(func(told *greenroom.Announcement) { told.Leaving = true })
			stand.SignOff()
			encoder := json.NewEncoder(os.Stdout)
			for _, ran := range stand.Runs() {
				encoder.Encode(ran)
			}
			return nil
		}}
	flags := root.Flags()
	flags.StringVar(&stand.Told.Service, "service", "", "service")
	flags.StringVar(&stand.Told.Instance, "instance", "", "instance")
	flags.StringVar(&stand.Told.Address, "address", "127.0.0.1:0", "ip:port to serve on")
	flags.StringVar(&stand.Told.District, "district", "", "district")
	flags.Int64Var(&stand.Told.Slots, "slots", 8, "queries at one time")
	flags.Float64Var(&stand.Told.Load, "load", 0, "load to report, 0 to 1")
	flags.StringVar(&ushers, "ushers", "127.0.0.1:8080", "outside addresses of ushers, comma between; the first that answers is announced to")
	flags.DurationVar(&stand.Work, "work", 20*time.Millisecond, "how long a query takes")
	flags.Float64Var(&faults.Lose, "lose", 0, "share of runs that end without an answer")
	flags.Float64Var(&faults.Garbage, "garbage", 0, "share of runs answered with garbage")
	flags.Float64Var(&faults.Truncate, "truncate", 0, "share of runs answered in part")
	flags.Float64Var(&faults.Excess, "excess", 0, "share of runs answered with too much")
	flags.Float64Var(&faults.Slow, "slow", 0, "share of runs that take ten times as long")
	for _, name := range []string{"service", "instance", "district"} {
		root.MarkFlagRequired(name)
	}
	if root.Execute() != nil {
		os.Exit(1)
	}
}
