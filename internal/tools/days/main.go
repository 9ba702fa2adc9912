// Command days runs the day files of docs/days, or random days, on the users' bench and prints a table
// with the result of each run. It is a development tool that no program of the product depends on.
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

// options holds the flags of the command.
type options struct {
	bench        string
	sites        []string
	dayFolder    string
	namePrefixes []string
	seeds        string
	jobs         int
	journalNote  string
	reportFolder string

	randomDays int    // number of random days to play instead of the day files; 0 plays the files
	firstSeed  uint64 // seed of the first random day; the others use the following seeds
	longDays   bool   // gives random days the shape longDay
}

// newCommand returns the command with its flags.
func newCommand() *cobra.Command {
	var opts options
	command := &cobra.Command{
		Use:          "days",
		Short:        "play the day files over sites and seeds, and print one table",
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return opts.run(command.OutOrStdout(), command.ErrOrStderr())
		},
	}
	flags := command.Flags()
	flags.StringVar(&opts.bench, "bench", "", "path of the bench's program")
	flags.StringArrayVar(&opts.sites, "site", nil, "path of a site file; may stand more than once")
	flags.StringVar(&opts.dayFolder, "days", "docs/days", "folder of the day files")
	flags.StringSliceVar(&opts.namePrefixes, "only", nil, "only days whose names begin so")
	flags.StringVar(&opts.seeds, "seeds", "1", "seeds, separated by commas")
	flags.IntVar(&opts.jobs, "jobs", 1, "plays at one time")
	flags.StringVar(&opts.journalNote, "why", "", "a line for the bench's journal")
	flags.IntVar(&opts.randomDays, "draw", 0, "play so many random days instead of the files, each with its own seed")
	flags.Uint64Var(&opts.firstSeed, "draw-seed", 1, "seed of the first random day; the others follow")
	flags.BoolVar(&opts.longDays, "long", false, "random days are long and hold hundreds of changes")
	flags.StringVar(&opts.reportFolder, "reports", "", "folder that keeps the reports (default: a temporary one)")
	for _, required := range []string{"bench", "site", "why"} {
		_ = command.MarkFlagRequired(required)
	}
	return command
}

// run plays the matrix, writes a line to progress after each play, and prints the table to out. It
// returns an error if a play failed.
func (o options) run(out, progress io.Writer) error {
	reports, err := o.ensureReportFolder()
	if err != nil {
		return err
	}
	matrix, err := o.matrix(reports)
	if err != nil {
		return err
	}
	runner := &benchRunner{path: o.bench, journalNote: o.journalNote, reportFolder: reports}
	results := playAll(matrix, o.jobs, runner.play, progress)
	printTable(out, results)
	return checkResults(results)
}

// matrix returns the selected plays, ordered by site, day and seed. It writes the files of random days
// into the report folder.
func (o options) matrix(reports string) ([]play, error) {
	if o.randomDays > 0 {
		return o.randomMatrix(reports)
	}
	days, err := dayFiles(o.dayFolder, o.namePrefixes)
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

// randomMatrix returns the plays of random days, ordered by seed and site. Each site gets its own day
// per seed, with the entry kinds that the site supports. The day files are written into folder.
func (o options) randomMatrix(folder string) ([]play, error) {
	daysBySite := map[string][]string{}
	for _, site := range o.sites {
		supported, err := siteKinds(o.bench, site)
		if err != nil {
			return nil, err
		}
		if daysBySite[site], err = drawDays(folder, site, supported, o.shape(), o.firstSeed, o.randomDays); err != nil {
			return nil, err
		}
	}
	var matrix []play
	for index := range o.randomDays {
		for _, site := range o.sites {
			matrix = append(matrix, play{site: site, day: daysBySite[site][index], seed: o.firstSeed + uint64(index)})
		}
	}
	return matrix, nil
}

// shape returns the shape of the random days.
func (o options) shape() dayShape {
	if o.longDays {
		return longDay
	}
	return standardDay
}

// ensureReportFolder creates the folder for the reports, a temporary one if none is set, and returns
// its path.
func (o options) ensureReportFolder() (string, error) {
	if o.reportFolder == "" {
		return os.MkdirTemp("", "days-")
	}
	return o.reportFolder, os.MkdirAll(o.reportFolder, 0o755)
}

// dayFiles returns the day files in a folder, sorted by name. If prefixes is not empty, it returns only
// the files whose names start with one of them.
func dayFiles(folder string, prefixes []string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil {
		return nil, err
	}
	var selected []string
	for _, path := range paths {
		if hasAnyPrefix(baseName(path), prefixes) {
			selected = append(selected, path)
		}
	}
	if len(selected) == 0 {
		return nil, fmt.Errorf("no day files in %s match the name prefixes %q", folder, prefixes)
	}
	return selected, nil
}

// hasAnyPrefix reports whether a name starts with one of the prefixes, or there are no prefixes.
func hasAnyPrefix(name string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return len(prefixes) == 0
}

// parseSeeds parses a comma-separated list of seeds.
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

// baseName returns the name of a file without its folder and extension.
func baseName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}
