// Command fleet runs a whole deployment on this machine, loads it, causes faults,
// and holds the records of both ends against the brief's list.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/fleet"
	"beaconvane/internal/message"
	"beaconvane/internal/workload"
)

func main() {
	name, bin, folder, scenario := "", "", "", ""
	rate, length, keep, slack := 0.0, 10*time.Second, false, 1.0
	seed := uint64(1)
	root := &cobra.Command{Use: "fleet", Short: "run a fleet on this machine, with faults, and check it", SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			deployment, known := workload.Named(name)
			if !known {
				return fmt.Errorf("no deployment %q", name)
			}
			if rate > 0 {
				deployment.Rate = rate
			}
			if folder == "" {
				made, err := os.MkdirTemp("", "beaconvane")
				if err != nil {
					return err
				}
				folder = made
				if !keep {
					defer func() { _ = os.RemoveAll(made) }() // a folder left in the temporary one does no harm
				}
			}
			outcome, err := fleet.Play(deployment, bin, folder, scenario, length, seed, slack)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			if err := encoder.Encode(outcome); err != nil {
				return err
			}
			if len(outcome.Review.Violations) > 0 {
				return fmt.Errorf("%d violations", len(outcome.Review.Violations))
			}
			return nil
		}}
	root.Flags().StringVar(&name, "deployment", "small", "small, umuyoboro or jendela")
	root.Flags().StringVar(&bin, "bin", "bin", "folder of the programs")
	root.Flags().StringVar(&folder, "folder", "", "folder for settings, logs and data (default: a new one)")
	root.Flags().StringVar(&scenario, "scenario", "calm", "one of: "+fleet.ScenarioNames())
	root.Flags().Float64Var(&rate, "rate", 0, "requests a second (default: the deployment's)")
	root.Flags().DurationVar(&length, "length", length, "length of the load")
	root.Flags().Uint64Var(&seed, "seed", seed, "seed of the load")
	root.Flags().Float64Var(&slack, "slack", 1, "stretch the bounds in time, for busy machines")
	root.Flags().BoolVar(&keep, "keep", false, "keep the folder")
	root.AddCommand(lay())
	if root.Execute() != nil {
		os.Exit(1)
	}
}

// lay writes the settings of a fleet and says how to start it by hand.
func lay() *cobra.Command {
	name, folder := "small", "run"
	command := &cobra.Command{Use: "lay", Args: cobra.NoArgs,
		Short: "write the settings and a configuration of a fleet, to be started by hand",
		RunE: func(*cobra.Command, []string) error {
			deployment, known := workload.Named(name)
			if !known {
				return fmt.Errorf("no deployment %q", name)
			}
			if err := os.MkdirAll(folder, 0o700); err != nil {
				return err
			}
			fleetRun, err := fleet.New(deployment, "bin", folder)
			if err != nil {
				return err
			}
			defer fleetRun.StopAll()
			if err := os.WriteFile(folder+"/configuration.json", deployment.Configuration(deployment.Tenants(), 0), 0o600); err != nil {
				return err
			}
			for _, process := range fleetRun.Processes {
				fmt.Printf("./bin/%s --config %s 2>> %s/%s-%s.log &\n",
					process.Role, process.Settings(), folder, process.Role, process.Node)
			}
			proxies := fleetRun.Of(message.RoleProxy)
			fmt.Printf("REGISTRY=%s PROXY=%s OTHER=%s\n",
				fleetRun.Of(message.RoleRegistry)[0].Outside, proxies[0].Outside, proxies[1].Outside)
			return nil
		}}
	command.Flags().StringVar(&name, "deployment", name, "small, umuyoboro or jendela")
	command.Flags().StringVar(&folder, "folder", folder, "where to write")
	return command
}
