package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/tidwall/gjson"

	"beaconvane/internal/errcode"
)

// Read applies the content of a settings file, and then the flags by their names, to the defaults. It
// returns the settings of a role and a line for each fault.
func Read(role string, body []byte, flags map[string]string) (Settings, []string) {
	cfg := Default()
	unknown := Faults{}
	if len(body) > 0 {
		if !gjson.ValidBytes(body) {
			return cfg, Faults{{errcode.ConfigUnreadable, "$", "not JSON"}}.Lines()
		}
		unknown = unknownKeys(body)
		if err := json.Unmarshal(body, &cfg); err != nil {
			return cfg, append(unknown, Fault{errcode.ConfigBadValue, "$", err.Error()}).Lines()
		}
	}
	cfg.applyFlags(flags)
	faults := append(unknown, cfg.Check(role)...)
	if cfg.VoterCount > 0 {
		cfg.Voters = VoterNames(cfg.VoterCount)
	}
	return cfg, faults.Lines()
}

// applyFlags overrides the file's values with those of the command line. It ignores flags of other names.
func (c *Settings) applyFlags(flags map[string]string) {
	stringSettings := map[string]*string{"node": &c.Node, "voter": &c.Voter, "zone": &c.Zone, "address": &c.Address,
		"outside": &c.HTTPAddress, "data": &c.DataDirectory, "collector": &c.Collector, "metrics": &c.MetricsAddress}
	for name, value := range flags {
		if setting, known := stringSettings[name]; known {
			*setting = value
		}
	}
	if value, given := flags["found"]; given {
		c.Bootstrap = value == "true"
	}
	if value, given := flags["seeds"]; given {
		c.Seeds = strings.Split(value, ",")
	}
}

// Load reads the settings file at a path, as Read does; with an empty path only the flags apply. Faults are
// returned as one error.
func Load(role, path string, flags map[string]string) (Settings, error) {
	body, err := readFile(path)
	if err != nil {
		return Settings{}, errcode.Wrap("settings.load", errcode.ConfigUnreadable, err)
	}
	cfg, faults := Read(role, body, flags)
	if len(faults) > 0 {
		err := fmt.Errorf("%d faults:\n  %s", len(faults), strings.Join(faults, "\n  "))
		return cfg, errcode.Wrap("settings.load", errcode.ConfigBadValue, err)
	}
	return cfg, nil
}

// readFile returns the content of a file, or nothing for an empty path.
func readFile(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	return os.ReadFile(path)
}
