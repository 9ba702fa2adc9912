// Command simulate runs scenarios in the simulator over many seeds. It reports violations, the worst
// measured values, and how to replay a failed seed. Its subcommand explore searches the state space of
// the control machines.
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
				return fmt.Errorf("unknown deployment %q", name)
			}
			names := strings.Split(scenarios, ",")
			if scenarios == "all" {
				names = simulation.Names()
			}
			violating := 0
			for _, scenario := range names {
				if _, known := simulation.Scenarios[scenario]; !known {
					return fmt.Errorf("unknown scenario %q; known scenarios: %s", scenario, strings.Join(simulation.Names(), ", "))
				}
				violating += sweep(d, scenario, first, count, workers, rate, log, shrink)
			}
			if violating > 0 {
				return fmt.Errorf("%d runs violated a rule", violating)
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
	root.AddCommand(newExploreCommand())
	if root.Execute() != nil {
		os.Exit(1)
	}
}

// sweep runs a scenario with count seeds, prints a summary and the first failed seed, and returns the
// number of failed seeds.
func sweep(d workload.Deployment, scenario string, first uint64, count, workers int, rate float64, log, shrink bool) int {
	results := runSeeds(d, scenario, first, count, workers, rate, log)
	total := summarize(results)
	line, _ := json.Marshal(map[string]any{"worst": total.worst, "seen": total.seen, "rules": total.rules})
	fmt.Printf("%s %s: %d of %d seeds violated a rule; share answered %.4f on average, %.4f at least; %s\n",
		d.Name, scenario, total.violating, count, total.answeredSum/float64(count), total.lowestAnswered, line)
	if total.failed != nil {
		failed := *total.failed
		if shrink {
			failed = simulation.Shrink(d, failed, rate)
		}
		printFailedSeed(d, scenario, rate, failed)
	}
	return total.violating
}

// runSeeds runs count seeds, beginning with first, on a number of workers. It returns the results in the
// order of the seeds. The log is printed only if count is 1.
func runSeeds(d workload.Deployment, scenario string, first uint64, count, workers int, rate float64, log bool) []simulation.Result {
	results := make([]simulation.Result, count)
	group := goroutine.New()
	seeds := make(chan int, count)
	for index := range count {
		seeds <- index
	}
	close(seeds)
	var pending sync.WaitGroup
	for range min(workers, count) {
		pending.Add(1)
		group.Go("simulate.run", func(context.Context) {
			defer pending.Done()
			for index := range seeds {
				var printLine func(string)
				if log && count == 1 {
					printLine = func(line string) { fmt.Println(line) }
				}
				results[index] = simulation.Run(d, scenario, first+uint64(index), rate, printLine)
			}
		})
	}
	pending.Wait()
	return results
}

// seedTotals aggregates the results of many seeds.
type seedTotals struct {
	worst                       map[string]float64
	seen, rules                 map[string]int
	violating                   int
	answeredSum, lowestAnswered float64            // share of requests answered: sum over the seeds, and minimum
	failed                      *simulation.Result // result of the first failed seed
}

// summarize aggregates the results and prints the first violation of each failed seed.
func summarize(results []simulation.Result) seedTotals {
	total := seedTotals{worst: map[string]float64{}, seen: map[string]int{}, rules: map[string]int{}, lowestAnswered: 1}
	for index, result := range results {
		for name, value := range result.Review.Worst {
			total.worst[name] = max(total.worst[name], value)
		}
		for name, value := range result.Review.Seen {
			total.seen[name] += value
		}
		total.answeredSum += result.Good
		total.lowestAnswered = min(total.lowestAnswered, result.Good)
		violations := result.Review.Violations
		if len(violations) == 0 {
			continue
		}
		total.violating++
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

// maxViolationsShown limits the number of violations that are printed for a failed seed.
const maxViolationsShown = 6

// printFailedSeed prints the command that replays a failed seed, its plan and its first violations.
func printFailedSeed(d workload.Deployment, scenario string, rate float64, failed simulation.Result) {
	fmt.Printf("  seed %d (replay: simulate --deployment %s --scenario %s --rate %g --count 1 --seed %d --log)\n",
		failed.Seed, d.Name, scenario, rate, failed.Seed)
	sort.SliceStable(failed.Plan, func(i, j int) bool { return failed.Plan[i].At < failed.Plan[j].At })
	for _, step := range failed.Plan {
		fmt.Println("   ", step)
	}
	for index, violation := range failed.Review.Violations {
		if index == maxViolationsShown {
			fmt.Printf("    and %d more\n", len(failed.Review.Violations)-index)
			break
		}
		fmt.Printf("    %s: %s\n", violation.Rule, violation.Detail)
	}
}
