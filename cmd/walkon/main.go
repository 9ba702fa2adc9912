// Command walkon runs hollow fleets of several sizes on this machine and prints what
// each role costs at each size, how that grows, and what it would come to at another.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/notice"
	"beaconvane/internal/walkon"
)

func main() {
	root := &cobra.Command{Use: "walkon", Short: "learn from hollow fleets what a fleet's size costs", SilenceUsage: true}
	root.AddCommand(measure(), troupe())
	if root.Execute() != nil {
		os.Exit(1)
	}
}

func troupe() *cobra.Command {
	return &cobra.Command{Use: "troupe", Short: "one process of a hollow fleet", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return walkon.Serve(os.Stdin, os.Stdout) }}
}

func measure() *cobra.Command {
	plan := walkon.Plan{Districts: 26, Services: 840, Tenants: 8, Fanout: 128, InForce: 6 * time.Second}
	course := walkon.Course{Sizes: []int{16, 32, 64, 96, 128}, Repeats: 3, Window: 2 * time.Second, Every: time.Second, Settle: 2 * time.Second,
		Limit: time.Minute, Phases: []string{walkon.Steady, walkon.Layouts, walkon.Restarts}}
	target, share, asJSON, plots := 12000, 0, "", ""
	command := &cobra.Command{Use: "measure", Short: "run each size and print the table", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			program, err := os.Executable()
			if err != nil {
				return notice.Wrap("walkon", notice.Internal, err)
			}
			table := walkon.Table{Plan: plan, Course: course, Target: target}
			for _, size := range course.Sizes {
				folder, err := os.MkdirTemp("", "walkon")
				if err != nil {
					return notice.Wrap("walkon", notice.DiskFault, err)
				}
				sized := plan
				sized.Ushers, sized.Share, sized.Folder, sized.Program = size, share, folder, program
				if share == 0 {
					sized.Share = size
				}
				began := time.Now()
				rows, err := walkon.Measure(sized, course)
				os.RemoveAll(folder)
				if err != nil {
					fmt.Fprintf(os.Stderr, "%d ushers: %v\n", size, err)
					break
				}
				table.Rows = append(table.Rows, rows...)
				fmt.Fprintf(os.Stderr, "%d ushers: %.1f s\n", size, time.Since(began).Seconds())
			}
			table.Reckon()
			table.Markdown(os.Stdout)
			if asJSON != "" {
				file, err := os.Create(filepath.Clean(asJSON))
				if err != nil {
					return notice.Wrap("walkon", notice.DiskFault, err)
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
	flags.IntSliceVar(&course.Sizes, "sizes", course.Sizes, "ushers of each fleet")
	flags.IntVar(&course.Repeats, "repeats", course.Repeats, "windows of each stretch")
	flags.DurationVar(&course.Window, "window", course.Window, "length of a window")
	flags.DurationVar(&course.Every, "every", course.Every, "from one layout change, or restart, to the next")
	flags.DurationVar(&course.Settle, "settle", course.Settle, "rest before the first window")
	flags.DurationVar(&course.Limit, "limit", course.Limit, "longest wait for a fleet to be whole, or a layout in force")
	flags.StringSliceVar(&course.Phases, "phases", course.Phases, "some of steady, layouts, restarts")
	flags.IntVar(&plan.Districts, "districts", plan.Districts, "districts of the fleet")
	flags.IntVar(&plan.Services, "services", plan.Services, "services, each with a route in the layout")
	flags.IntVar(&plan.Tenants, "tenants", plan.Tenants, "tenants whose queries are counted; 0: no load")
	flags.Int64Var(&plan.Fanout, "fanout", plan.Fanout, "children of a relay")
	flags.DurationVar(&plan.InForce, "in-force", plan.InForce, "the bound on layouts")
	flags.IntVar(&share, "share", share, "ushers in one process (default: all of a fleet)")
	flags.IntVar(&target, "target", target, "the size to reckon to")
	flags.StringVar(&asJSON, "json", asJSON, "also write everything to this file")
	flags.StringVar(&plots, "plots", plots, "also draw the plots into this folder")
	return command
}
