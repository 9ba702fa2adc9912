// Command scaletest runs hollow fleets of several sizes on this machine and prints what
// each role costs at each size, how that grows, and what it would come to at another.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/errcode"
	"beaconvane/internal/scaletest"
)

func main() {
	if newCommand().Execute() != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{Use: "scaletest", Short: "learn from hollow fleets what a fleet's size costs", SilenceUsage: true}
	root.AddCommand(measure(), hollowFleet())
	return root
}

func hollowFleet() *cobra.Command {
	return &cobra.Command{Use: scaletest.HollowFleetCommand, Short: "one process of a hollow fleet", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return scaletest.Serve(os.Stdin, os.Stdout) }}
}

func measure() *cobra.Command {
	plan := scaletest.Plan{Zones: 26, Services: 840, Tenants: 8, Fanout: 128, InForce: 6 * time.Second}
	course := scaletest.Course{Sizes: []int{16, 32, 64, 96, 128}, Repeats: 3, Window: 2 * time.Second, Every: time.Second, Settle: 2 * time.Second,
		Limit: time.Minute, Phases: []string{scaletest.Steady, scaletest.Configurations, scaletest.Restarts}}
	target, share, asJSON, plots := 12000, 0, "", ""
	command := &cobra.Command{Use: "measure", Short: "run each size and print the table", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			program, err := os.Executable()
			if err != nil {
				return errcode.Wrap("scaletest", errcode.Internal, err)
			}
			table := scaletest.Table{Plan: plan, Course: course, Target: target}
			for _, size := range course.Sizes {
				folder, err := os.MkdirTemp("", "scaletest")
				if err != nil {
					return errcode.Wrap("scaletest", errcode.DiskFault, err)
				}
				sized := plan
				sized.Proxies, sized.Share, sized.Folder, sized.Program = size, share, folder, program
				if share == 0 {
					sized.Share = size
				}
				began := time.Now()
				rows, err := scaletest.Measure(sized, course)
				os.RemoveAll(folder)
				if err != nil {
					fmt.Fprintf(os.Stderr, "%d proxies: %v\n", size, err)
					break
				}
				table.Rows = append(table.Rows, rows...)
				fmt.Fprintf(os.Stderr, "%d proxies: %.1f s\n", size, time.Since(began).Seconds())
			}
			table.Fit()
			table.Markdown(os.Stdout)
			if asJSON != "" {
				file, err := os.Create(filepath.Clean(asJSON))
				if err != nil {
					return errcode.Wrap("scaletest", errcode.DiskFault, err)
				}
				defer file.Close()
				if err := table.JSON(file); err != nil {
					return err
				}
			}
			if plots != "" {
				return table.Plot(plots)
			}
			return nil
		}}
	flags := command.Flags()
	flags.IntSliceVar(&course.Sizes, "sizes", course.Sizes, "proxies of each fleet")
	flags.IntVar(&course.Repeats, "repeats", course.Repeats, "windows of each stretch")
	flags.DurationVar(&course.Window, "window", course.Window, "length of a window")
	flags.DurationVar(&course.Every, "every", course.Every, "from one configuration change, or restart, to the next")
	flags.DurationVar(&course.Settle, "settle", course.Settle, "rest before the first window")
	flags.DurationVar(&course.Limit, "limit", course.Limit, "longest wait for a fleet to be whole, or a configuration in force")
	flags.StringSliceVar(&course.Phases, "phases", course.Phases, "some of steady, configurations, restarts")
	flags.IntVar(&plan.Zones, "zones", plan.Zones, "zones of the fleet")
	flags.IntVar(&plan.Services, "services", plan.Services, "services, each with a route in the configuration")
	flags.IntVar(&plan.Tenants, "tenants", plan.Tenants, "tenants whose requests are counted; 0: no load")
	flags.Int64Var(&plan.Fanout, "fanout", plan.Fanout, "children of a relay")
	flags.DurationVar(&plan.InForce, "in-force", plan.InForce, "the bound on configurations")
	flags.IntVar(&share, "share", share, "proxies in one process (default: all of a fleet)")
	flags.IntVar(&target, "target", target, "the size to extrapolate to")
	flags.StringVar(&asJSON, "json", asJSON, "also write everything to this file")
	flags.StringVar(&plots, "plots", plots, "also draw the plots into this folder")
	return command
}
