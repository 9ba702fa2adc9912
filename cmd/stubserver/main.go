// Command stubserver is a stub upstream for tests. It announces itself to a proxy, serves the requests
// that it receives, and prints a record of them when it is stopped.
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
	if newCommand().Execute() != nil {
		os.Exit(1)
	}
}

// options holds the flags. Most of them set fields of the server.
type options struct {
	server  *stubserver.StubServer
	proxies string
	faults  stubserver.Faults
}

func newCommand() *cobra.Command {
	o := &options{server: &stubserver.StubServer{Base: time.Now()}}
	root := &cobra.Command{
		Use:          "stubserver",
		Short:        "a stand-in upstream",
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return o.run() },
	}
	o.addFlags(root)
	for _, name := range []string{"service", "instance", "zone"} {
		if err := root.MarkFlagRequired(name); err != nil {
			panic("stubserver: " + err.Error()) // the flag is not defined: a programming error
		}
	}
	return root
}

// addFlags defines the flags.
func (o *options) addFlags(command *cobra.Command) {
	flags := command.Flags()
	announcement := &o.server.Announcement
	flags.StringVar(&announcement.Service, "service", "", "service")
	flags.StringVar(&announcement.Instance, "instance", "", "instance")
	flags.StringVar(&announcement.Address, "address", "127.0.0.1:0", "ip:port to serve on")
	flags.StringVar(&announcement.Zone, "zone", "", "zone")
	flags.Int64Var(&announcement.Slots, "slots", 8, "requests at one time")
	flags.Float64Var(&announcement.Load, "load", 0, "load to report, 0 to 1")
	flags.StringVar(&o.proxies, "proxies", "127.0.0.1:8080",
		"outside addresses of proxies, comma between; the first that answers is announced to")
	flags.DurationVar(&o.server.Work, "work", 20*time.Millisecond, "how long a request takes")
	flags.Float64Var(&o.faults.Lose, "lose", 0, "share of runs that end without an answer")
	flags.Float64Var(&o.faults.Garbage, "garbage", 0, "share of runs answered with garbage")
	flags.Float64Var(&o.faults.Truncate, "truncate", 0, "share of runs answered in part")
	flags.Float64Var(&o.faults.Excess, "excess", 0, "share of runs answered with too much")
	flags.Float64Var(&o.faults.Slow, "slow", 0, "share of runs that take ten times as long")
}

// run serves until SIGTERM or SIGINT. It then announces that it drains, deregisters, and prints the
// record with one JSON line per request.
func (o *options) run() error {
	o.server.Proxies = strings.Split(o.proxies, ",")
	o.server.Announcement.Incarnation = time.Now().UnixNano()
	o.server.SetFaults(o.faults)
	if err := o.server.Start(goroutine.New()); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	o.server.Change(func(announcement *backend.Announcement) { announcement.Draining = true })
	o.server.SignOff()
	encoder := json.NewEncoder(os.Stdout)
	for _, run := range o.server.Runs() {
		if err := encoder.Encode(run); err != nil {
			return err
		}
	}
	return nil
}
