// Command loadgen is the load generator: an open loop at a set rate by a plan file.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/loadgen"
)

func main() {
	path, record := "", ""
	length, limit := 10*time.Second, 8*time.Second
	root := &cobra.Command{Use: "loadgen", Short: "send requests to proxies at a set rate and count the answers", SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			body, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			plan := loadgen.Plan{Rate: 10, Seed: 1}
			if err := json.Unmarshal(body, &plan); err != nil {
				return err
			}
			if len(plan.Proxies) == 0 || len(plan.Kinds) == 0 || len(plan.Tenants) == 0 || plan.Rate <= 0 {
				return fmt.Errorf("a plan wants proxies, kinds, tenants and a rate above 0")
			}
			plan.Length, plan.Limit, plan.Base = length, limit, time.Now()
			group := goroutine.New()
			asked := loadgen.Run(group.Context, group, plan)
			if record != "" {
				file, err := os.Create(record)
				if err != nil {
					return err
				}
				defer file.Close()
				encoder := json.NewEncoder(file)
				for _, request := range asked {
					if err := encoder.Encode(request); err != nil {
						return err
					}
				}
			}
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			return encoder.Encode(loadgen.Summarise(asked))
		}}
	root.Flags().StringVar(&path, "plan", "", "plan file (JSON): proxies, kinds, tenants, rate")
	root.Flags().StringVar(&record, "record", "", "file for one JSON line a request")
	root.Flags().DurationVar(&length, "length", length, "how long to send requests")
	root.Flags().DurationVar(&limit, "limit", limit, "how long to wait for an answer")
	if err := root.MarkFlagRequired("plan"); err != nil {
		panic("loadgen: " + err.Error()) // no such flag: a programming error
	}
	if root.Execute() != nil {
		os.Exit(1)
	}
}
