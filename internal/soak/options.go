package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/workload"
)

// Limits of the options.
const (
	coreProcesses = 6 // a registry and a configuration store on each of three core machines
	minProxies    = 5 // one for each service of the soak
	maxProcesses  = 200
	minLength     = 5 * time.Second
	maxLength     = time.Hour
	maxCount      = 1000
	maxSlack      = 30
)

// Options are the options of a soak, each named as its flag.
type Options struct {
	Seed       uint64        // of the first run
	Count      int           // number of runs, with consecutive seeds
	Length     time.Duration // of the troubles in each run
	Processes  int           // of the fleet
	Deployment string        // zones and settings
	Programs   string        // folder of the three programs
	Record     string        // file of what was sent, answered, run and done; "": none
	Slack      float64       // stretches the bounds in time, for busy machines
}

// OptionError is an invalid option.
type OptionError struct {
	Flag    string
	Problem string
}

// Error names the flag and the problem.
func (e *OptionError) Error() string { return fmt.Sprintf("--%s: %s", e.Flag, e.Problem) }

// deployments are the names that the option Deployment may have.
var deployments = []string{"small", "umuyoboro", "jendela"}

// Check returns an OptionError for the first invalid option.
func (o Options) Check() error {
	switch {
	case o.Count < 1 || o.Count > maxCount:
		return &OptionError{"count", fmt.Sprintf("want 1 to %d", maxCount)}
	case o.Length < minLength || o.Length > maxLength:
		return &OptionError{"length", fmt.Sprintf("want %s to %s", minLength, maxLength)}
	case o.Processes < coreProcesses+minProxies || o.Processes > maxProcesses:
		return &OptionError{"processes", fmt.Sprintf("want %d to %d", coreProcesses+minProxies, maxProcesses)}
	case o.Slack < 1 || o.Slack > maxSlack:
		return &OptionError{"slack", fmt.Sprintf("want 1 to %d", maxSlack)}
	}
	if _, err := o.deployment(); err != nil {
		return err
	}
	for _, program := range []string{message.RoleProxy, message.RoleRegistry, message.RoleConfigStore} {
		if _, err := os.Stat(filepath.Join(o.Programs, program)); err != nil {
			return &OptionError{"programs", fmt.Sprintf("no program %s in %q", program, o.Programs)}
		}
	}
	return nil
}

// deployment returns the deployment with the wanted number of proxies.
func (o Options) deployment() (workload.Deployment, error) {
	for _, name := range deployments {
		if name == o.Deployment {
			deployment, _ := workload.Named(name)
			deployment.Proxies = o.Processes - coreProcesses
			return deployment, nil
		}
	}
	return workload.Deployment{}, &OptionError{"deployment", fmt.Sprintf("want one of %v", deployments)}
}

// stretch returns a bound in time, stretched by the slack.
func (o Options) stretch(bound time.Duration) time.Duration {
	return time.Duration(float64(bound) * o.Slack)
}
