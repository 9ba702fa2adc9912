package cli

import (
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

const (
	configurationsPath = "/v1/configurations/"
	defaultRegistry    = "127.0.0.1:7480" // address of the registry
	defaultWriteWait   = 15 * time.Second
)

// operatorCommands holds the flags of the operators' commands. Each command makes an HTTP call to a
// registry, prints the response, and exits with a nonzero status unless the response has status 200.
type operatorCommands struct {
	address   string        // of a registry, "ip:port"
	writeWait time.Duration // how long a write is retried while the voters have not formed their group
}

// AddOperatorCommands adds the operators' commands to the registry's command line.
func AddOperatorCommands(root *cobra.Command) {
	AddVoterCommands(message.RoleRegistry)(root)
	operator := &operatorCommands{}
	operator.addConfiguration(root)
	operator.add(root, "status", "members, leases, relays and configurations", 0, func([]string) error {
		return operator.get("/v1/status")
	})
	operator.add(root, "roster", "the registrations by zone", 0, func([]string) error {
		return operator.get("/v1/roster")
	})
	operator.add(root, "journal", "what this registry did and why", 0, func([]string) error {
		return operator.get("/journal")
	})
	operator.add(root, "usage WINDOW", "a sealed usage window", 1, func(args []string) error {
		return operator.get("/v1/usage/" + args[0])
	})
}

// add adds a command that takes the given number of arguments and one optional argument.
func (o *operatorCommands) add(parent *cobra.Command, use, short string, arguments int, run func(args []string) error) *cobra.Command {
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.RangeArgs(arguments, arguments+1),
		RunE:  func(_ *cobra.Command, args []string) error { return run(args) },
	}
	command.Flags().StringVar(&o.address, "at", defaultRegistry, "ip:port of a registry")
	parent.AddCommand(command)
	return command
}

// addConfiguration adds the commands for configurations.
func (o *operatorCommands) addConfiguration(root *cobra.Command) {
	configuration := &cobra.Command{Use: "configuration", Short: "put, get, check configurations; see where they are in force"}
	put := o.add(configuration, "put CONFIGURATION VERSION FILE", "put a whole new version", 3, o.put)
	put.Flags().DurationVar(&o.writeWait, "wait", defaultWriteWait, "how long to put again while no group takes it; 0: not at all")
	o.add(configuration, "get CONFIGURATION [VERSION]", "the very bytes of the current or a kept version", 1, func(args []string) error {
		path := configurationsPath + args[0]
		if len(args) == 2 {
			path += "/" + args[1]
		}
		return o.get(path)
	})
	o.add(configuration, "versions CONFIGURATION", "the kept versions", 1, func(args []string) error {
		return o.get(configurationsPath + args[0] + "/versions")
	})
	o.add(configuration, "status CONFIGURATION", "which nodes have it in force", 1, func(args []string) error {
		return o.get(configurationsPath + args[0] + "/status")
	})
	o.add(configuration, "wait CONFIGURATION VERSION [MILLISECONDS]",
		"until it is in force on every proxy; names those that lack it", 2, o.wait)
	o.add(configuration, "check FILE", "check a configuration, put nothing", 1, o.check)
	root.AddCommand(configuration)
}

func (o *operatorCommands) get(path string) error {
	return call(o.address, http.MethodGet, path, nil).print(os.Stdout)
}

func (o *operatorCommands) put(args []string) error {
	body, err := readFile(args[2])
	if err != nil {
		return err
	}
	path := configurationsPath + args[0] + "/" + args[1]
	attempt := func() callResult { return call(o.address, http.MethodPut, path, body) }
	return retryUntilGroupForms(attempt, o.writeWait, writeRetryInterval, os.Stderr).print(os.Stdout)
}

// wait prints the response once the version is in force on every proxy, or when the wait time has passed.
func (o *operatorCommands) wait(args []string) error {
	path := configurationsPath + args[0] + "/" + args[1] + "/in-force"
	if len(args) == 3 {
		path += "?wait_ms=" + args[2]
	}
	return o.get(path)
}

func (o *operatorCommands) check(args []string) error {
	body, err := readFile(args[0])
	if err != nil {
		return err
	}
	return call(o.address, http.MethodPost, configurationsPath+"check", body).print(os.Stdout)
}

func readFile(path string) ([]byte, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errcode.Wrap("operator.read", errcode.ConfigUnreadable, err)
	}
	return body, nil
}
