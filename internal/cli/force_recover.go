package cli

import (
	"errors"
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/storage"
)

// AddVoterCommands returns a function that adds what an operator may do to the disk of a stopped
// core program of a role.
func AddVoterCommands(role string) func(root *cobra.Command) {
	return func(root *cobra.Command) {
		configPath := ""
		voter := &cobra.Command{Use: "voter", Short: "the voter this disk holds"}
		forceRecover := &cobra.Command{
			Use:   "force-recover",
			Args:  cobra.NoArgs,
			Short: "on the stopped survivor of two lost disks: give the other two voters up",
			RunE:  func(*cobra.Command, []string) error { return runForceRecover(role, configPath) },
		}
		forceRecover.Flags().StringVar(&configPath, "config", "", "settings file of the stopped program")
		_ = forceRecover.MarkFlagRequired("config") // fails for an unknown flag only
		voter.AddCommand(forceRecover)
		root.AddCommand(voter)
	}
}

// runForceRecover writes a snapshot to the disk in which the other voters are given up.
func runForceRecover(role, configPath string) error {
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
	directory, err := storage.NewOSDirectory(cfg.DataDirectory)
	if err != nil {
		return err
	}
	store, snapshot, records, err := storage.Open(directory)
	if err != nil {
		return err
	}
	if snapshot == nil {
		return errcode.Wrap("operator.force-recover", errcode.VoterRecovering, errors.New("this disk is empty: run it on the survivor"))
	}
	machine, err := readMachine(role, cfg, snapshot, records)
	if err != nil {
		return err
	}
	if err := store.Compact(machine.ForceRecover()); err != nil {
		return err
	}
	fmt.Println("the other voters are given up; start this program, then the empty ones")
	return nil
}

// recoverable is a core machine whose other voters can be given up. ForceRecover does so and returns
// the machine's new snapshot.
type recoverable interface{ ForceRecover() []byte }

// readMachine restores the machine of a role from its disk.
func readMachine(role string, cfg settings.Settings, snapshot []byte, records [][]byte) (recoverable, error) {
	self := node.Self(cfg, role)
	if role == message.RoleRegistry {
		return registry.New(cfg, self, snapshot, records)
	}
	return configstore.New(cfg, self, snapshot, records)
}
