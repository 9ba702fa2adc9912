// Command fleet runs all processes of a deployment on this machine, sends load, injects faults, and
// checks the records of callers and upstreams against the guarantees of docs/brief.md.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/fleet"
	"beaconvane/internal/message"
	"beaconvane/internal/workload"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(exitStatus(err))
	}
}

// options holds the flags of a run.
type options struct {
	deployment string
	bin        string
	folder     string
	scenario   string
	rate       float64
	length     time.Duration
	seed       uint64
	slack      float64
	keep       bool
}

func newCommand() *cobra.Command {
	o := &options{length: 10 * time.Second, seed: 1}
	root := &cobra.Command{
		Use:          "fleet",
		Short:        "run a fleet on this machine, with faults, and check it",
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return o.run() },
	}
	flags := root.Flags()
	flags.StringVar(&o.deployment, "deployment", "small", "small, umuyoboro or jendela")
	flags.StringVar(&o.bin, "bin", "bin", "folder of the programs")
	flags.StringVar(&o.folder, "folder", "", "folder for settings, logs and data (default: a new one)")
	flags.StringVar(&o.scenario, "scenario", "calm", "one of: "+fleet.ScenarioNames())
	flags.Float64Var(&o.rate, "rate", 0, "requests a second (default: the deployment's)")
	flags.DurationVar(&o.length, "length", o.length, "length of the load")
	flags.Uint64Var(&o.seed, "seed", o.seed, "seed of the load")
	flags.Float64Var(&o.slack, "slack", 1, "stretch the bounds in time, for busy machines")
	flags.BoolVar(&o.keep, "keep", false, "keep the folder")
	root.AddCommand(newLayCommand(), newSoakCommand())
	return root
}

// run runs the scenario, prints its outcome as JSON, and returns an error if a guarantee was violated.
func (o *options) run() error {
	deployment, err := deploymentNamed(o.deployment)
	if err != nil {
		return err
	}
	if o.rate > 0 {
		deployment.Rate = o.rate
	}
	folder := o.folder
	if folder == "" {
		folder, err = os.MkdirTemp("", "beaconvane")
		if err != nil {
			return err
		}
		if !o.keep {
			defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder is harmless
		}
	}
	outcome, err := fleet.Play(deployment, o.bin, folder, o.scenario, o.length, o.seed, o.slack)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(outcome); err != nil {
		return err
	}
	if len(outcome.Review.Violations) > 0 {
		return fmt.Errorf("scenario %q: %d violations", o.scenario, len(outcome.Review.Violations))
	}
	return nil
}

// deploymentNamed returns the built-in deployment of a name.
func deploymentNamed(name string) (workload.Deployment, error) {
	deployment, known := workload.Named(name)
	if !known {
		return deployment, fmt.Errorf("unknown deployment %q", name)
	}
	return deployment, nil
}

// newLayCommand returns the command that prepares a fleet and prints how to start it by hand.
func newLayCommand() *cobra.Command {
	name, folder := "small", "run"
	command := &cobra.Command{
		Use:   "lay",
		Short: "write the settings and a configuration of a fleet, to be started by hand",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return writeFleet(name, folder, os.Stdout) },
	}
	command.Flags().StringVar(&name, "deployment", name, "small, umuyoboro or jendela")
	command.Flags().StringVar(&folder, "folder", folder, "where to write")
	return command
}

// writeFleet writes the settings and a configuration of a deployment into a folder, and prints the shell
// commands that start the processes.
func writeFleet(name, folder string, out io.Writer) error {
	deployment, err := deploymentNamed(name)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	prepared, err := fleet.New(deployment, "bin", folder)
	if err != nil {
		return err
	}
	defer prepared.StopAll()
	configuration := deployment.Configuration(deployment.Tenants(), 0)
	if err := os.WriteFile(filepath.Join(folder, "configuration.json"), configuration, 0o600); err != nil {
		return err
	}
	for _, process := range prepared.Processes {
		fmt.Fprintf(out, "./bin/%s --config %s 2>> %s/%s-%s.log &\n",
			process.Role, process.Settings(), folder, process.Role, process.Node)
	}
	registries, proxies := prepared.Of(message.RoleRegistry), prepared.Of(message.RoleProxy)
	fmt.Fprintf(out, "REGISTRY=%s PROXY=%s OTHER=%s\n", registries[0].HTTPAddress, proxies[0].HTTPAddress, proxies[1].HTTPAddress)
	return nil
}
