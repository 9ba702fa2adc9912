// This file is the operators' side of registry's command line: the same calls as
// over HTTP, with the answer printed and an exit code that a script can use.
package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
)

// Voter adds what an operator does to a stopped core program's disk.
func Voter(role string) func(root *cobra.Command) {
	return func(root *cobra.Command) {
		configPath := ""
		voter := &cobra.Command{Use: "voter", Short: "the voter this disk holds"}
		forceRecover := &cobra.Command{Use: "force-recover", Args: cobra.NoArgs, Short: "on the stopped survivor of two lost disks: give the other two voters up",
			RunE: func(*cobra.Command, []string) error { return forsakeVoters(role, configPath) }}
		forceRecover.Flags().StringVar(&configPath, "config", "", "settings file of the stopped program")
		forceRecover.MarkFlagRequired("config")
		voter.AddCommand(forceRecover)
		root.AddCommand(voter)
	}
}

func forsakeVoters(role, configPath string) error {
	cfg, err := settings.Load(role, configPath, nil)
	if err != nil {
		return err
	}
	// The running program holds its address; an offline change must not race it.
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return errcode.Wrap("operator.force-recover", errcode.Internal, fmt.Errorf("stop the program first: %w", err))
	}
	defer listener.Close()
	process := node.New(cfg, role, goroutine.New())
	store, snapshot, records, err := process.OpenDisk()
	if err != nil {
		return err
	}
	if snapshot == nil {
		return errcode.Wrap("operator.force-recover", errcode.VoterRecovering, fmt.Errorf("this disk is empty: run it on the survivor"))
	}
	var machine interface{ ForceRecover() []byte }
	if role == message.RoleRegistry {
		machine, err = registry.New(cfg, node.Self(cfg, role), snapshot, records)
	} else {
		machine, err = configstore.New(cfg, node.Self(cfg, role), snapshot, records)
	}
	if err != nil {
		return err
	}
	if err := store.Compact(machine.ForceRecover()); err != nil {
		return err
	}
	fmt.Println("the other voters are given up; start this program, then the empty ones")
	return nil
}

// outcome is an answer to an operator's call.
type outcome struct {
	status int
	code   string
	body   []byte
	err    error
}

// asked makes one call.
func asked(at, method, path string, body []byte) outcome {
	request, err := http.NewRequest(method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return outcome{err: errcode.Wrap("operator.call", errcode.Internal, err)}
	}
	client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{Proxy: nil, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return outcome{err: errcode.Wrap("operator.call", errcode.ConnectionLost, err)}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{err: errcode.Wrap("operator.call", errcode.ConnectionLost, err)}
	}
	return outcome{status: response.StatusCode, code: response.Header.Get(frontend.CodeHeader), body: answer}
}

// show prints the answer; an error unless it is 200.
func (o outcome) show(out io.Writer) error {
	if o.err != nil {
		return o.err
	}
	out.Write(o.body)
	if len(o.body) == 0 || o.body[len(o.body)-1] != '\n' {
		fmt.Fprintln(out)
	}
	if o.status != http.StatusOK {
		return fmt.Errorf("status %d, code %s", o.status, o.code)
	}
	return nil
}

// early: nothing was changed, and the cause is over once the voters have their group:
// nobody listens yet, nobody holds the configuration log, or the holder is still reading.
func (o outcome) early() (cause string, early bool) {
	if o.err != nil {
		return "nobody listens yet", errors.Is(o.err, syscall.ECONNREFUSED)
	}
	for _, code := range []errcode.Code{errcode.ConfigurationNoHolder, errcode.ConfigurationBehind} {
		if o.code == strconv.Itoa(int(code)) {
			return fmt.Sprintf("%s (%d)", code, int(code)), true
		}
	}
	return "", false
}

// pauseWrite is between two puts of the same.
const pauseWrite = 250 * time.Millisecond

// persist tries again for as long as it is too early, within a bound, and says so once
// for each cause.
func persist(try func() outcome, patience, pause time.Duration, says io.Writer) outcome {
	limited, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for said := ""; ; {
		response := try()
		cause, early := response.early()
		if !early || limited.Err() != nil {
			return response
		}
		if cause != said {
			fmt.Fprintf(says, "waiting up to %v for the group of voters: %s\n", patience, cause)
			said = cause
		}
		select {
		case <-limited.Done():
			return response
		case <-ticker.C:
		}
	}
}

// Operator adds the operators' commands to registry.
func Operator(root *cobra.Command) {
	Voter(message.RoleRegistry)(root)
	at := ""
	call := func(method, path string, body []byte) error { return asked(at, method, path, body).show(os.Stdout) }
	add := func(parent *cobra.Command, use, short string, args int, run func(args []string) error) *cobra.Command {
		command := &cobra.Command{Use: use, Short: short, Args: cobra.RangeArgs(args, args+1), RunE: func(_ *cobra.Command, given []string) error { return run(given) }}
		command.Flags().StringVar(&at, "at", "127.0.0.1:7480", "ip:port of a registry")
		parent.AddCommand(command)
		return command
	}
	read := func(path string) ([]byte, error) {
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, errcode.Wrap("operator.read", errcode.ConfigUnreadable, err)
		}
		return body, nil
	}
	configuration := &cobra.Command{Use: "configuration", Short: "put, get, check configurations; see where they are in force"}
	patience := time.Duration(0)
	write := add(configuration, "put CONFIGURATION VERSION FILE", "put a whole new version", 3, func(args []string) error {
		body, err := read(args[2])
		if err != nil {
			return err
		}
		try := func() outcome { return asked(at, http.MethodPut, "/v1/configurations/"+args[0]+"/"+args[1], body) }
		return persist(try, patience, pauseWrite, os.Stderr).show(os.Stdout)
	})
	write.Flags().DurationVar(&patience, "wait", 15*time.Second, "how long to put again while no group takes it; 0: not at all")
	add(configuration, "get CONFIGURATION [VERSION]", "the very bytes of the current or a kept version", 1, func(args []string) error {
		path := "/v1/configurations/" + args[0]
		if len(args) == 2 {
			path += "/" + args[1]
		}
		return call(http.MethodGet, path, nil)
	})
	add(configuration, "versions CONFIGURATION", "the kept versions", 1, func(args []string) error {
		return call(http.MethodGet, "/v1/configurations/"+args[0]+"/versions", nil)
	})
	add(configuration, "status CONFIGURATION", "which nodes have it in force", 1, func(args []string) error {
		return call(http.MethodGet, "/v1/configurations/"+args[0]+"/status", nil)
	})
	add(configuration, "wait CONFIGURATION VERSION [MILLISECONDS]", "until it is in force on every proxy; names those that lack it", 2, func(args []string) error {
		path := "/v1/configurations/" + args[0] + "/" + args[1] + "/in-force"
		if len(args) == 3 {
			path += "?wait_ms=" + args[2]
		}
		return call(http.MethodGet, path, nil)
	})
	add(configuration, "check FILE", "check a configuration, put nothing", 1, func(args []string) error {
		body, err := read(args[0])
		if err != nil {
			return err
		}
		return call(http.MethodPost, "/v1/configurations/check", body)
	})
	root.AddCommand(configuration)
	for path, short := range map[string]string{"status": "members, leases, relays and configurations", "roster": "the registrations by zone"} {
		add(root, path, short, 0, func([]string) error { return call(http.MethodGet, "/v1/"+path, nil) })
	}
	add(root, "journal", "what this registry did and why", 0, func([]string) error { return call(http.MethodGet, "/journal", nil) })
	add(root, "usage WINDOW", "a sealed usage window", 1, func(args []string) error {
		return call(http.MethodGet, "/v1/usage/"+args[0], nil)
	})
}
