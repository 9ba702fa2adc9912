// Command simulate plays scenarios in the simulator over many seeds and reports what
// broke, the worst figures, and how to replay a failure. Its subcommand explore searches
// the states of the control machines.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/simulation"
	"beaconvane/internal/workload"
)

func main() {
	name, scenarios := "umuyoboro", "all"
	first, count, workers := uint64(1), 20, 8
	rate, log, shrink := 60.0, false, false
	root := &cobra.Command{Use: "simulate", Short: "play scenarios over seeds in the simulator", SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			d, known := workload.Named(name)
			if !known {
				return fmt.Errorf("no deployment %q", name)
			}
			names := strings.Split(scenarios, ",")
			if scenarios == "all" {
				names = simulation.Names()
			}
			broken := 0
			for _, scenario := range names {
				if _, known := simulation.Scenarios[scenario]; !known {
					return fmt.Errorf("no scenario %q; there are %s", scenario, strings.Join(simulation.Names(), ", "))
				}
				broken += sweep(d, scenario, first, count, workers, rate, log, shrink)
			}
			if broken > 0 {
				return fmt.Errorf("%d runs broke a promise", broken)
			}
			return nil
		}}
	flags := root.Flags()
	flags.StringVar(&name, "deployment", name, "small, umuyoboro, jendela, umuyoboro-platform, jendela-platform, jendela-narrow, voters-3, voters-5, voters-3-4 or voters-zones")
	flags.StringVar(&scenarios, "scenario", scenarios, "all, or some of: "+strings.Join(simulation.Names(), ", "))
	flags.Uint64Var(&first, "seed", first, "first seed")
	flags.IntVar(&count, "count", count, "how many seeds")
	flags.IntVar(&workers, "workers", workers, "runs at one time")
	flags.Float64Var(&rate, "rate", rate, "requests a second")
	flags.BoolVar(&log, "log", false, "print every happening (one seed only)")
	flags.BoolVar(&shrink, "shrink", false, "shrink the first failing plan")
	root.AddCommand(exploreCommand())
	if root.Execute() != nil {
		os.Exit(1)
	}
}

func sweep(d workload.Deployment, scenario string, first uint64, count, workers int, rate float64, log, shrink bool) int {
	results := make([]simulation.Result, count)
	members := goroutine.New()
	seeds := make(chan int, count)
	for index := range count {
		seeds <- index
	}
	close(seeds)
	var waiting sync.WaitGroup
	for range min(workers, count) {
		waiting.Add(1)
		members.Go("simulate.run", func(context.Context) {
			defer waiting.Done()
			for index := range seeds {
				var printLine func(string)
				if log && count == 1 {
					printLine = func(line string) { fmt.Println(line) }
				}
				results[index] = simulation.Run(d, scenario, first+uint64(index), rate, printLine)
			}
		})
	}
	waiting.Wait()
	worst, seen, rules := map[string]float64{}, map[string]int{}, map[string]int{}
	broken, good, lowest := 0, 0.0, 1.0
	var failed *simulation.Result
	for index, result := range results {
		for name, value := range result.Review.Worst {
			worst[name] = max(worst[name], value)
		}
		for name, value := range result.Review.Seen {
			seen[name] += value
		}
		good += result.Good
		lowest = min(lowest, result.Good)
		if len(result.Review.Violations) > 0 {
			broken++
			if failed == nil {
				failed = &results[index]
			}
			fmt.Printf("  seed %d: %s: %s\n", result.Seed, result.Review.Violations[0].Rule, result.Review.Violations[0].Detail)
			met := map[string]bool{}
			for _, violation := range result.Review.Violations {
				if !met[violation.Rule] {
					rules[violation.Rule]++
				}
				met[violation.Rule] = true
			}
		}
	}
	line, _ := json.Marshal(map[string]any{"worst": worst, "seen": seen, "rules": rules})
	fmt.Printf("%s %s: %d of %d seeds broke a promise; answered %.4f in the mean, %.4f at the least; %s\n", d.Name, scenario, broken, count, good/float64(count), lowest, line)
	if failed != nil {
		if shrink {
			smaller := simulation.Shrink(d, *failed, rate)
			failed = &smaller
		}
		fmt.Printf("  seed %d (replay: simulate --deployment %s --scenario %s --rate %g --count 1 --seed %d --log)\n", failed.Seed, d.Name, scenario, rate, failed.Seed)
		sort.SliceStable(failed.Plan, func(i, j int) bool { return failed.Plan[i].At < failed.Plan[j].At })
		for _, step := range failed.Plan {
			fmt.Println("   ", step)
		}
		for index, violation := range failed.Review.Violations {
			if index == 6 {
				fmt.Printf("    and %d more\n", len(failed.Review.Violations)-index)
				break
			}
			fmt.Printf("    %s: %s\n", violation.Rule, violation.Detail)
		}
	}
	return broken
}
