package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
)

// HollowFleetCommand is the subcommand by which a program that embeds this package runs Serve.
const HollowFleetCommand = "hollow-fleet"

// stopLimit is how long a process may take to end by itself.
const stopLimit = 20 * time.Second

// hollowFleet is one process's share of the fleet, in this process or another.
type hollowFleet interface {
	do(request Request) Answer
	close()
}

// localFleet runs in this process.
type localFleet struct{ fleet *HollowFleet }

func (l localFleet) do(request Request) Answer { return l.fleet.Do(request) }
func (l localFleet) close()                    { l.fleet.Close() }

// remoteFleet runs in a process of its own, which it asks by JSON over pipes.
type remoteFleet struct {
	command *exec.Cmd
	input   io.WriteCloser
	encoder *json.Encoder
	decoder *json.Decoder
	group   *goroutine.Group
}

func (f *remoteFleet) do(request Request) Answer {
	answer := Answer{}
	if err := f.encoder.Encode(request); err != nil {
		return Answer{Fault: err.Error()}
	}
	if err := f.decoder.Decode(&answer); err != nil {
		return Answer{Fault: err.Error()}
	}
	return answer
}

// close ends the input; a process that does not end by itself is ended.
func (f *remoteFleet) close() {
	f.input.Close()
	done := make(chan struct{})
	f.group.Go("scaletest.wait", func(context.Context) {
		_ = f.command.Wait() // how it ended is of no interest
		close(done)
	})
	limit := time.NewTimer(stopLimit)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		_ = f.command.Process.Kill() // it may have ended meanwhile
		<-done
	}
}

// startRemote starts a process that waits for its nodes.
func startRemote(program string, group *goroutine.Group) (*remoteFleet, error) {
	command := exec.Command(program, HollowFleetCommand)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return nil, errcode.Wrap("scaletest.start", errcode.Internal, err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, errcode.Wrap("scaletest.start", errcode.Internal, err)
	}
	if err := command.Start(); err != nil {
		return nil, errcode.Wrap("scaletest.start", errcode.Internal, err)
	}
	return &remoteFleet{command, input, json.NewEncoder(input), json.NewDecoder(output), group}, nil
}

// begin hands the process its nodes and waits until it has started them.
func (f *remoteFleet) begin(parts []Part) error {
	if err := f.encoder.Encode(parts); err != nil {
		return errcode.Wrap("scaletest.start", errcode.Internal, err)
	}
	answer := Answer{}
	if err := f.decoder.Decode(&answer); err != nil {
		return errcode.Wrap("scaletest.start", errcode.Internal, err)
	}
	if answer.Fault != "" {
		return errcode.Wrap("scaletest.start", errcode.Internal, fmt.Errorf("%s", answer.Fault))
	}
	return nil
}
