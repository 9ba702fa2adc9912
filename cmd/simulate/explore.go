package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/explore"
	"beaconvane/internal/message"
)

// exploreFlags holds the flags of the explore command.
type exploreFlags struct {
	options explore.Options
	seed    uint64
	walks   int64
	workers int
	limit   time.Duration
	replay  string
	log     bool
	except  string
	search  bool
	bounds  explore.Bounds
}

func newExploreCommand() *cobra.Command {
	flags := exploreFlags{options: explore.Options{Voters: 3, Rounds: 200, Faults: 6}, seed: 1, walks: 1000, workers: 4}
	command := &cobra.Command{Use: "explore", Short: "search the states of the control machines for broken promises", SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error { return flags.run() }}
	set := command.Flags()
	set.StringVar(&flags.options.Role, "role", message.RoleConfigStore,
		"which machines are explored: "+message.RoleConfigStore+" or "+message.RoleRegistry)
	set.IntVar(&flags.options.Voters, "voters", flags.options.Voters, "how many voters the group has")
	set.BoolVar(&flags.options.Named, "named", false, "the settings name the voters")
	set.BoolVar(&flags.options.Highest, "highest", false, "writes of an older version are acknowledged and alter nothing")
	set.IntVar(&flags.options.Rounds, "rounds", flags.options.Rounds, "rounds of the clock in a run")
	set.IntVar(&flags.options.Faults, "faults", flags.options.Faults, "at most so many faults in a walk")
	set.Uint64Var(&flags.seed, "seed", flags.seed, "first seed")
	set.Int64Var(&flags.walks, "walks", flags.walks, "how many walks")
	set.IntVar(&flags.workers, "workers", flags.workers, "walks at one time")
	set.DurationVar(&flags.limit, "limit", 0, "begin no further walk after this time; 0: no limit")
	set.StringVar(&flags.replay, "replay", "", "play the plan in this file, and nothing else")
	set.BoolVar(&flags.log, "log", false, "print every happening of the replayed plan")
	set.StringVar(&flags.except, "except", "", "rules not to look at, to see what lies behind a known fault")
	set.BoolVar(&flags.search, "search", false, "search systematically instead of walking")
	set.IntVar(&flags.bounds.Faults, "depth", 2, "of a search: at most so many faults in a run")
	set.IntVar(&flags.bounds.From, "from", 10, "of a search: the first round in which faults come")
	set.IntVar(&flags.bounds.To, "to", 14, "of a search: the first round in which none come any more")
	set.Int64Var(&flags.bounds.Runs, "runs", 0, "of a search: at most so many runs; 0: no limit")
	set.IntSliceVar(&flags.bounds.Length, "lasting", []int{4, 40}, "of a search: rounds that a fault lasts")
	return command
}

// run replays a plan, searches systematically or runs random walks, depending on the flags.
func (f *exploreFlags) run() error {
	if f.except != "" {
		f.options.Except = strings.Split(f.except, ",")
	}
	if f.replay != "" {
		return f.runReplay()
	}
	if f.search {
		return f.runSearch()
	}
	summary := explore.Sweep(f.options, f.seed, f.walks, f.workers, f.limit, func(s explore.Summary) {
		fmt.Fprintf(os.Stderr, "%s: %d walks, %d steps, %v\n", s.Elapsed.Round(time.Second), s.Walks, s.Steps, s.Broken)
	})
	fmt.Printf("%d walks of %d rounds, %d voters: %d steps, %d epochs held, %d answers in %s; actions %v\n",
		summary.Walks, f.options.Rounds,
		f.options.Voters, summary.Steps, summary.Epochs, summary.Answers, summary.Elapsed.Round(time.Millisecond), summary.Counts)
	return reportViolations(summary)
}

// runSearch searches the fault plans within the bounds systematically and prints a summary.
func (f *exploreFlags) runSearch() error {
	f.bounds.Limit = f.limit
	searched := explore.Search(f.options, f.bounds, f.seed, f.workers, func(s explore.Searched) {
		fmt.Fprintf(os.Stderr, "%s: %d runs, %d states, %d pruned, %v\n",
			s.Elapsed.Round(time.Second), s.Walks, s.States, s.Pruned, s.Broken)
	})
	fmt.Printf("search: %d voters, up to %d faults in rounds %d to %d of %d: ",
		f.options.Voters, f.bounds.Faults, f.bounds.From, f.bounds.To-1, f.options.Rounds)
	fmt.Printf("%d runs, %d states, %d branches pruned, exhaustive %t, %d steps, %d answers in %s\n",
		searched.Walks, searched.States, searched.Pruned, searched.Exhaustive,
		searched.Steps, searched.Answers, searched.Elapsed.Round(time.Millisecond))
	return reportViolations(searched.Summary)
}

// reportViolations prints a shrunk counterexample for each violated rule. It returns an error if there
// is any.
func reportViolations(summary explore.Summary) error {
	for _, rule := range slices.Sorted(maps.Keys(summary.Found)) {
		fmt.Printf("%s: violated by %d walks\n", rule, summary.Broken[rule])
		printCounterexample(explore.Shrink(summary.Found[rule]))
	}
	if len(summary.Found) > 0 {
		return fmt.Errorf("%d rules were violated", len(summary.Found))
	}
	return nil
}

// printCounterexample prints a violation and its plan in the form that --replay reads.
func printCounterexample(found explore.Result) {
	fmt.Printf("# %s\n%s", found.Violation, found.Plan)
}

// runReplay replays the plan file of --replay. It returns an error if the plan violates a rule.
func (f *exploreFlags) runReplay() error {
	text, err := os.ReadFile(f.replay)
	if err != nil {
		return err
	}
	plan, err := explore.ParsePlan(string(text))
	if err != nil {
		return err
	}
	var log func(string)
	if f.log {
		log = func(line string) { fmt.Println(line) }
	}
	result := explore.Replay(plan, log)
	if result.Violation == nil {
		fmt.Printf("no rule violated in %d steps\n", result.Steps)
		return nil
	}
	printCounterexample(result)
	return fmt.Errorf("plan %q violates a rule: %v", f.replay, result.Violation)
}
