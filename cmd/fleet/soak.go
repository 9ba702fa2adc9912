package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/soak"
)

// Exit statuses of the program. All commands but soak use exitFailed for every error.
const (
	exitFailed    = 1 // a guarantee was violated, or a command failed
	exitNotPlayed = 2 // a soak could not be played
)

// notPlayedError is an error for which a soak was not played.
type notPlayedError struct{ error }

// newSoakCommand returns the command that plays soaks.
func newSoakCommand() *cobra.Command {
	options := soak.Options{Seed: 1, Count: 1, Length: 20 * time.Second, Processes: 15, Deployment: "jendela", Programs: "bin", Slack: 1}
	command := &cobra.Command{
		Use:   "soak",
		Short: "run real processes under overlapping troubles drawn from a seed, and judge what callers see",
		Long: "Soak runs a fleet of real processes while signals, restarts, sign-offs and writes of configurations overlap, " +
			"drawn from a seed. It judges only what callers, upstreams and operators see.\n\n" +
			"Besides, upstreams say that they leave (once or again and again, at their proxy or at another one), with kills of their " +
			"proxy and of the core; authorities that differ by port and case come and go; clients pipeline requests and give up in " +
			"each way (they end their direction and read on, close, or reset); large uploads, answers and configurations come at once. " +
			"Each process has a memory limit and is ended beyond it. Before the calm time, closing rounds kill the core and proxies " +
			"around acknowledged leavings, without other troubles. Runs with an odd seed rely on upstreams that refuse requests for " +
			"another target. The line of a run says how often each was tried, and the highest memory of each role.\n\n" +
			"Exit status: 0 if all rules held; 1 if a rule was broken, with the rule, the seed, the times and lines of the record; " +
			"2 if a run could not be played.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return playSoak(ctx, options)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the first run; the next runs have the next seeds")
	flags.IntVar(&options.Count, "count", options.Count, "number of runs")
	flags.DurationVar(&options.Length, "length", options.Length, "length of the troubles in a run; a run takes a minute and more besides")
	flags.IntVar(&options.Processes, "processes", options.Processes, "processes of the fleet: six of the core, the others proxies")
	flags.StringVar(&options.Deployment, "deployment", options.Deployment, "zones and settings: small, umuyoboro or jendela")
	flags.StringVar(&options.Programs, "programs", options.Programs, "folder of the programs proxy, registry and configstore")
	flags.StringVar(&options.Record, "record", options.Record, "file for the record of the runs (default: none)")
	flags.Float64Var(&options.Slack, "slack", options.Slack, "stretch the bounds in time, for busy machines")
	return command
}

// playSoak plays a soak. Violations go to standard output, progress to standard error.
func playSoak(ctx context.Context, options soak.Options) error {
	err := soak.Run(ctx, options, os.Stdout, os.Stderr)
	if err == nil || errors.Is(err, soak.ErrBroken) {
		return err
	}
	return notPlayedError{err}
}

// exitStatus returns the exit status for the error of a command, which is not nil.
func exitStatus(err error) int {
	var notPlayed notPlayedError
	if errors.As(err, &notPlayed) {
		return exitNotPlayed
	}
	return exitFailed
}
