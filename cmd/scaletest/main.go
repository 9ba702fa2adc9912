// Command scaletest runs hollow fleets of several sizes on this machine. It prints the resource use of
// each role at each size, its growth, and an extrapolation to a target size.
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
	root.AddCommand(newMeasureCommand(), newHollowFleetCommand())
	return root
}

// newHollowFleetCommand returns the hidden command that scaletest runs as a subprocess.
func newHollowFleetCommand() *cobra.Command {
	return &cobra.Command{Use: scaletest.HollowFleetCommand, Short: "one process of a hollow fleet", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return scaletest.Serve(os.Stdin, os.Stdout) }}
}

// measurement holds the flags of the measure command.
type measurement struct {
	plan   scaletest.Plan
	course scaletest.Course
	target int
	share  int // proxies per process; 0: all proxies of a fleet
	asJSON string
	plots  string
}

func newMeasureCommand() *cobra.Command {
	m := &measurement{
		plan: scaletest.Plan{Zones: 26, Services: 840, Tenants: 8, Fanout: 128, InForce: 6 * time.Second},
		course: scaletest.Course{
			Sizes: []int{16, 32, 64, 96, 128}, Repeats: 3, Window: 2 * time.Second, Every: time.Second, SettleTime: 2 * time.Second,
			Limit: time.Minute, Phases: []string{scaletest.Steady, scaletest.Configurations, scaletest.Restarts},
		},
		target: 12000,
	}
	command := &cobra.Command{Use: "measure", Short: "run each size and print the table", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return m.run() }}
	m.addFlags(command)
	return command
}

func (m *measurement) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.IntSliceVar(&m.course.Sizes, "sizes", m.course.Sizes, "proxies of each fleet")
	flags.IntVar(&m.course.Repeats, "repeats", m.course.Repeats, "windows of each stretch")
	flags.DurationVar(&m.course.Window, "window", m.course.Window, "length of a window")
	flags.DurationVar(&m.course.Every, "every", m.course.Every, "from one configuration change, or restart, to the next")
	flags.DurationVar(&m.course.SettleTime, "settle", m.course.SettleTime, "rest before the first window")
	flags.DurationVar(&m.course.Limit, "limit", m.course.Limit, "longest wait for a fleet to be whole, or a configuration in force")
	flags.StringSliceVar(&m.course.Phases, "phases", m.course.Phases, "some of steady, configurations, restarts")
	flags.IntVar(&m.plan.Zones, "zones", m.plan.Zones, "zones of the fleet")
	flags.IntVar(&m.plan.Services, "services", m.plan.Services, "services, each with a route in the configuration")
	flags.IntVar(&m.plan.Tenants, "tenants", m.plan.Tenants, "tenants whose requests are counted; 0: no load")
	flags.Int64Var(&m.plan.Fanout, "fanout", m.plan.Fanout, "children of a relay")
	flags.DurationVar(&m.plan.InForce, "in-force", m.plan.InForce, "the bound on configurations")
	flags.IntVar(&m.share, "share", m.share, "proxies in one process (default: all of a fleet)")
	flags.IntVar(&m.target, "target", m.target, "the size to extrapolate to")
	flags.StringVar(&m.asJSON, "json", m.asJSON, "also write everything to this file")
	flags.StringVar(&m.plots, "plots", m.plots, "also draw the plots into this folder")
}

// run measures the sizes in order until one fails, and prints the table of the measured sizes.
func (m *measurement) run() error {
	table := scaletest.Table{Plan: m.plan, Course: m.course, Target: m.target}
	for _, size := range m.course.Sizes {
		start := time.Now()
		rows, err := m.measureSize(size)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%d proxies: %v\n", size, err)
			break
		}
		table.Rows = append(table.Rows, rows...)
		fmt.Fprintf(os.Stderr, "%d proxies: %.1f s\n", size, time.Since(start).Seconds())
	}
	table.FitLines()
	table.Markdown(os.Stdout)
	if m.asJSON != "" {
		if err := writeJSON(table, m.asJSON); err != nil {
			return err
		}
	}
	if m.plots != "" {
		return table.Plot(m.plots)
	}
	return nil
}

// measureSize runs and measures a fleet of one size, whose processes run this program.
func (m *measurement) measureSize(size int) ([]scaletest.Row, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, errcode.Wrap("scaletest", errcode.Internal, err)
	}
	folder, err := os.MkdirTemp("", "scaletest")
	if err != nil {
		return nil, errcode.Wrap("scaletest", errcode.DiskFault, err)
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder is harmless
	plan := m.plan
	plan.Proxies, plan.Share, plan.Folder, plan.Program = size, m.share, folder, program
	if m.share == 0 {
		plan.Share = size
	}
	return scaletest.Measure(plan, m.course)
}

func writeJSON(table scaletest.Table, path string) error {
	file, err := os.Create(filepath.Clean(path))
	if err != nil {
		return errcode.Wrap("scaletest", errcode.DiskFault, err)
	}
	defer file.Close()
	return table.JSON(file)
}
