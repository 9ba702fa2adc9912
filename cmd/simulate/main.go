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
	flags.StringVar(&name, "deployment", name,
		"small, umuyoboro, jendela, umuyoboro-platform, jendela-platform, jendela-narrow, voters-3, voters-5, voters-3-4 or voters-zones")
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

// sweep plays the seeds, prints a summary and the first seed that failed, and returns how many failed.
func sweep(d workload.Deployment, scenario string, first uint64, count, workers int, rate float64, log, shrink bool) int {
	results := play(d, scenario, first, count, workers, rate, log)
	total := summarize(results)
	line, _ := json.Marshal(map[string]any{"worst": total.worst, "seen": total.seen, "rules": total.rules})
	fmt.Printf("%s %s: %d of %d seeds broke a promise; answered %.4f in the mean, %.4f at the least; %s\n",
		d.Name, scenario, total.broken, count, total.good/float64(count), total.lowest, line)
	if total.failed != nil {
		failed := *total.failed
		if shrink {
			failed = simulation.Shrink(d, failed, rate)
		}
		printFailed(d, scenario, rate, failed)
	}
	return total.broken
}

// play runs the seeds from first on with some workers, and returns the results in the order of the seeds.
func play(d workload.Deployment, scenario string, first uint64, count, workers int, rate float64, log bool) []simulation.Result {
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
	return results
}

// totals joins the results of many seeds.
type totals struct {
	worst        map[string]float64
	seen, rules  map[string]int
	broken       int
	good, lowest float64            // share of requests answered: the sum over the seeds, and the least
	failed       *simulation.Result // of the first seed that broke a promise
}

// summarize joins the results and prints one line for each seed that broke a promise.
func summarize(results []simulation.Result) totals {
	total := totals{worst: map[string]float64{}, seen: map[string]int{}, rules: map[string]int{}, lowest: 1}
	for index, result := range results {
		for name, value := range result.Review.Worst {
			total.worst[name] = max(total.worst[name], value)
		}
		for name, value := range result.Review.Seen {
			total.seen[name] += value
		}
		total.good += result.Good
		total.lowest = min(total.lowest, result.Good)
		violations := result.Review.Violations
		if len(violations) == 0 {
			continue
		}
		total.broken++
		if total.failed == nil {
			total.failed = &results[index]
		}
		fmt.Printf("  seed %d: %s: %s\n", result.Seed, violations[0].Rule, violations[0].Detail)
		counted := map[string]bool{}
		for _, violation := range violations {
			if !counted[violation.Rule] {
				total.rules[violation.Rule]++
			}
			counted[violation.Rule] = true
		}
	}
	return total
}

// violationsShown bounds how many violations of a failed seed are printed.
const violationsShown = 6

// printFailed prints how to replay a failed seed, its plan and its first violations.
func printFailed(d workload.Deployment, scenario string, rate float64, failed simulation.Result) {
	fmt.Printf("  seed %d (replay: simulate --deployment %s --scenario %s --rate %g --count 1 --seed %d --log)\n",
		failed.Seed, d.Name, scenario, rate, failed.Seed)
	sort.SliceStable(failed.Plan, func(i, j int) bool { return failed.Plan[i].At < failed.Plan[j].At })
	for _, step := range failed.Plan {
		fmt.Println("   ", step)
	}
	for index, violation := range failed.Review.Violations {
		if index == violationsShown {
			fmt.Printf("    and %d more\n", len(failed.Review.Violations)-index)
			break
		}
		fmt.Printf("    %s: %s\n", violation.Rule, violation.Detail)
	}
}
