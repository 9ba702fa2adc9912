package soak

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// sound returns valid options, with empty files as the programs.
func sound(c *qt.C) Options {
	folder := c.TempDir()
	for _, program := range []string{"proxy", "registry", "configstore"} {
		c.Assert(os.WriteFile(filepath.Join(folder, program), nil, 0o600), qt.IsNil)
	}
	return Options{Seed: 1, Count: 1, Length: minLength, Processes: 15, Deployment: "small", Programs: folder, Slack: 1}
}

// A bad value gives an error that names its flag, and no run is played.
func TestBadOptionsNameTheirFlag(t *testing.T) {
	c := qt.New(t)
	c.Assert(sound(c).Check(), qt.IsNil)
	for flag, spoil := range map[string]func(options *Options){
		"count":      func(options *Options) { options.Count = 0 },
		"length":     func(options *Options) { options.Length = time.Millisecond },
		"processes":  func(options *Options) { options.Processes = coreProcesses + minProxies - 1 },
		"slack":      func(options *Options) { options.Slack = 0.5 },
		"deployment": func(options *Options) { options.Deployment = "nowhere" },
		"programs":   func(options *Options) { options.Programs = c.TempDir() },
		"record":     func(options *Options) { options.Record = filepath.Join(c.TempDir(), "missing", "file") },
	} {
		options := sound(c)
		spoil(&options)
		err := Run(context.Background(), options, io.Discard, io.Discard)
		var optionError *OptionError
		c.Assert(errors.As(err, &optionError), qt.IsTrue, qt.Commentf("%s: %v", flag, err))
		c.Check(optionError.Flag, qt.Equals, flag)
		c.Check(err, qt.ErrorMatches, "--"+flag+": .+")
	}
}

// The valid configurations of the soak are valid, the invalid ones have faults.
func TestConfigurationsOfTheSoak(t *testing.T) {
	c := qt.New(t)
	limits := settings.Default().ConfigurationLimits()
	for version := range int64(4) {
		valid := newConfiguration(version + 1)
		for _, body := range [][]byte{valid.encode(), valid.withoutKeys().encode()} {
			faults, _ := routeconfig.Check(body, limits)
			c.Check(faults, qt.HasLen, 0)
		}
		faults, _ := routeconfig.Check(newConfiguration(version+1).invalid().encode(), limits)
		c.Check(len(faults) > 0, qt.IsTrue)
	}
}
