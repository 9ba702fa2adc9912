// Command days plays the day files of docs/days on the users' bench and prints one table
// of what each play gave. It is a tool for developers; no product program needs it.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

func main() {
	if newCommand().Execute() != nil {
		os.Exit(1)
	}
}

// options are the flags of the command.
type options struct {
	bench   string
	sites   []string
	folder  string
	only    []string
	seeds   string
	jobs    int
	why     string
	reports string

	draw     int    // how many random days are played instead of the files
	drawSeed uint64 // of the first of them
	long     bool   // they are long and hold hundreds of changes
}

func newCommand() *cobra.Command {
	var chosen options
	command := &cobra.Command{
		Use:          "days",
		Short:        "play the day files over sites and seeds, and print one table",
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return chosen.run(command.OutOrStdout(), command.ErrOrStderr())
		},
	}
	flags := command.Flags()
	flags.StringVar(&chosen.bench, "bench", "", "path of the bench's program")
	flags.StringArrayVar(&chosen.sites, "site", nil, "path of a site file; may stand more than once")
	flags.StringVar(&chosen.folder, "days", "docs/days", "folder of the day files")
	flags.StringSliceVar(&chosen.only, "only", nil, "only days whose names begin so")
	flags.StringVar(&chosen.seeds, "seeds", "1", "seeds, separated by commas")
	flags.IntVar(&chosen.jobs, "jobs", 1, "plays at one time")
	flags.StringVar(&chosen.why, "why", "", "a line for the bench's journal")
	flags.IntVar(&chosen.draw, "draw", 0, "play so many random days instead of the files, each with its own seed")
	flags.Uint64Var(&chosen.drawSeed, "draw-seed", 1, "seed of the first random day; the others follow")
	flags.BoolVar(&chosen.long, "long", false, "random days are long and hold hundreds of changes")
	flags.StringVar(&chosen.reports, "reports", "", "folder that keeps the reports (default: a temporary one)")
	for _, required := range []string{"bench", "site", "why"} {
		_ = command.MarkFlagRequired(required)
	}
	return command
}

// run plays the matrix, and prints the table and, meanwhile, the progress.
func (o options) run(out, progress io.Writer) error {
	reports, err := o.reportFolder()
	if err != nil {
		return err
	}
	matrix, err := o.matrix(reports)
	if err != nil {
		return err
	}
	player := &bench{path: o.bench, why: o.why, reports: reports}
	results := playAll(matrix, o.jobs, player.play, progress)
	printTable(out, results)
	return verdict(results)
}

// matrix lists every play that the options ask for: site by site, day by day. Random days
// are written beside the reports.
func (o options) matrix(reports string) ([]play, error) {
	if o.draw > 0 {
		return o.drawnMatrix(reports)
	}
	days, err := dayFiles(o.folder, o.only)
	if err != nil {
		return nil, err
	}
	seeds, err := parseSeeds(o.seeds)
	if err != nil {
		return nil, err
	}
	var matrix []play
	for _, site := range o.sites {
		for _, day := range days {
			for _, seed := range seeds {
				matrix = append(matrix, play{site: site, day: day, seed: seed})
			}
		}
	}
	return matrix, nil
}

// drawnMatrix lists the plays of random days: each seed on each site, with a day of the entries that
// the site knows.
func (o options) drawnMatrix(folder string) ([]play, error) {
	perSite := map[string][]string{}
	for _, site := range o.sites {
		known, err := kindsOf(o.bench, site)
		if err != nil {
			return nil, err
		}
		if perSite[site], err = drawDays(folder, site, known, o.shape(), o.drawSeed, o.draw); err != nil {
			return nil, err
		}
	}
	var matrix []play
	for index := range o.draw {
		for _, site := range o.sites {
			matrix = append(matrix, play{site: site, day: perSite[site][index], seed: o.drawSeed + uint64(index)})
		}
	}
	return matrix, nil
}

func (o options) shape() drawnShape {
	if o.long {
		return longDay
	}
	return usualDay
}

func (o options) reportFolder() (string, error) {
	if o.reports == "" {
		return os.MkdirTemp("", "days-")
	}
	return o.reports, os.MkdirAll(o.reports, 0o755)
}

// dayFiles finds the day files of a folder, in the order of their names.
func dayFiles(folder string, only []string) ([]string, error) {
	all, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil {
		return nil, err
	}
	var chosen []string
	for _, path := range all {
		if beginsWithAny(baseName(path), only) {
			chosen = append(chosen, path)
		}
	}
	if len(chosen) == 0 {
		return nil, fmt.Errorf("no day files in %s", folder)
	}
	return chosen, nil
}

func beginsWithAny(name string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return len(prefixes) == 0
}

func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, word := range strings.Split(text, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(word), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seed %q is not a number", word)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// baseName is a file's name without its folder and ending.
func baseName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}
