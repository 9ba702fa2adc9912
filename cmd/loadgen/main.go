// Command loadgen is a load generator. It sends the requests of a plan file to proxies at a constant
// rate and counts the responses.
package main

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/checker"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/loadgen"
)

var errIncompletePlan = errors.New("incomplete plan: proxies, kinds, tenants and a rate above 0 are required")

func main() {
	if newCommand().Execute() != nil {
		os.Exit(1)
	}
}

// options holds the flags.
type options struct {
	plan   string
	record string
	length time.Duration
	limit  time.Duration
}

func newCommand() *cobra.Command {
	o := &options{length: 10 * time.Second, limit: 8 * time.Second}
	root := &cobra.Command{
		Use:          "loadgen",
		Short:        "send requests to proxies at a set rate and count the answers",
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return o.run() },
	}
	flags := root.Flags()
	flags.StringVar(&o.plan, "plan", "", "plan file (JSON): proxies, kinds, tenants, rate")
	flags.StringVar(&o.record, "record", "", "file for one JSON line a request")
	flags.DurationVar(&o.length, "length", o.length, "how long to send requests")
	flags.DurationVar(&o.limit, "limit", o.limit, "how long to wait for an answer")
	if err := root.MarkFlagRequired("plan"); err != nil {
		panic("loadgen: " + err.Error()) // the flag is not defined: a programming error
	}
	return root
}

// run sends the requests of the plan, writes the record if requested, and prints the summary as JSON.
func (o *options) run() error {
	plan, err := readPlan(o.plan)
	if err != nil {
		return err
	}
	plan.Length, plan.Limit, plan.Base = o.length, o.limit, time.Now()
	group := goroutine.New()
	requests := loadgen.Run(group.Context, group, plan)
	if o.record != "" {
		if err := writeRecord(o.record, requests); err != nil {
			return err
		}
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(loadgen.Summarise(requests))
}

// readPlan reads and validates a plan file. Rate and seed have defaults.
func readPlan(path string) (loadgen.Plan, error) {
	plan := loadgen.Plan{Rate: 10, Seed: 1}
	body, err := os.ReadFile(path)
	if err != nil {
		return plan, err
	}
	if err := json.Unmarshal(body, &plan); err != nil {
		return plan, err
	}
	if len(plan.Proxies) == 0 || len(plan.Kinds) == 0 || len(plan.Tenants) == 0 || plan.Rate <= 0 {
		return plan, errIncompletePlan
	}
	return plan, nil
}

// writeRecord writes one JSON line per request.
func writeRecord(path string, requests []checker.CallerRequest) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	encoder := json.NewEncoder(file)
	for _, request := range requests {
		if err := encoder.Encode(request); err != nil {
			return err
		}
	}
	return nil
}
