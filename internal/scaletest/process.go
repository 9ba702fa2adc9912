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

// HollowFleetCommand is the subcommand under which a program that embeds this package must run Serve.
const HollowFleetCommand = "hollow-fleet"

// stopTimeout is the time after the end of its input after which a process that still runs is killed.
const stopTimeout = 20 * time.Second

// hollowFleet is the group of nodes of one process, in this process or in a child process.
type hollowFleet interface {
	do(request Request) Answer
	close()
}

// localFleet is a hollowFleet in this process.
type localFleet struct{ fleet *HollowFleet }

func (l localFleet) do(request Request) Answer { return l.fleet.Do(request) }
func (l localFleet) close()                    { l.fleet.Close() }

// remoteFleet is a hollowFleet in a child process, with which it exchanges JSON over pipes.
type remoteFleet struct {
	command *exec.Cmd
	input   io.WriteCloser
	encoder *json.Encoder
	decoder *json.Decoder
	group   *goroutine.Group
}

// do sends a request to the process and waits for the answer. An error of the pipes is returned as
// Answer.Fault.
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

// close closes the input of the process, which makes it exit. It kills the process after stopTimeout.
func (f *remoteFleet) close() {
	f.input.Close()
	done := make(chan struct{})
	f.group.Go("scaletest.wait", func(context.Context) {
		_ = f.command.Wait() // the exit status is ignored
		close(done)
	})
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		_ = f.command.Process.Kill() // fails if the process has exited in the meantime
		<-done
	}
}

// startRemote starts a child process, which waits for the specifications of its nodes.
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

// startNodes sends the specifications of the nodes to the process and waits until it has started them.
func (f *remoteFleet) startNodes(specs []NodeSpec) error {
	if err := f.encoder.Encode(specs); err != nil {
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
