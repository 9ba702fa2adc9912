package cli

import (
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

// AddVoterCommands returns a function that adds the operators' commands for the disk of a stopped core
// program of the given role.
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
		_ = forceRecover.MarkFlagRequired("config") // fails only for an unknown flag
		voter.AddCommand(forceRecover)
		root.AddCommand(voter)
	}
}

// runForceRecover replaces the state on disk by a snapshot in which the other voters are abandoned.
func runForceRecover(role, configPath string) error {
	cfg, err := settings.Load(role, configPath, nil)
	if err != nil {
		return err
	}
	// A running program listens at its address. Binding the address ensures that no program uses the disk.
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		err = fmt.Errorf("listening at %s failed; stop the program first: %w", cfg.Address, err)
		return errcode.Wrap("operator.force-recover", errcode.Internal, err)
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
		err := fmt.Errorf("data directory %q holds no snapshot; run force-recover on the surviving voter", cfg.DataDirectory)
		return errcode.Wrap("operator.force-recover", errcode.VoterRecovering, err)
	}
	machine, err := readMachine(role, cfg, snapshot, records)
	if err != nil {
		return err
	}
	if err := store.Compact(machine.ForceRecover()); err != nil {
		return err
	}
	fmt.Println("the other voters are abandoned; start this program first, then the programs with empty disks")
	return nil
}

// recoverable is a core machine that supports forced recovery. ForceRecover abandons the other voters
// and returns the machine's new snapshot.
type recoverable interface{ ForceRecover() []byte }

// readMachine restores the machine of a role from its snapshot and log records.
func readMachine(role string, cfg settings.Settings, snapshot []byte, records [][]byte) (recoverable, error) {
	self := node.Self(cfg, role)
	if role == message.RoleRegistry {
		return registry.New(cfg, self, snapshot, records)
	}
	return configstore.New(cfg, self, snapshot, records)
}
