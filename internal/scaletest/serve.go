package scaletest

import (
	"bufio"
	"encoding/json"
	"io"

	"beaconvane/internal/errcode"
)

// Serve runs the request loop of a hollow fleet's process. The first JSON value of the input is the list
// of nodes, each further one is a Request. Serve returns when its input ends, so that no process
// outlives its parent.
func Serve(in io.Reader, out io.Writer) error {
	reader, encoder := bufio.NewReaderSize(in, 1<<20), json.NewEncoder(out)
	decoder := json.NewDecoder(reader)
	specs := []NodeSpec{}
	if err := decoder.Decode(&specs); err != nil {
		return errcode.Wrap("scaletest.serve", errcode.ConfigUnreadable, err)
	}
	hollow, err := NewHollowFleet(specs)
	if err != nil {
		_ = encoder.Encode(Answer{Fault: err.Error()}) // the error is returned below
		return err
	}
	defer hollow.Close()
	if err := encoder.Encode(Answer{}); err != nil {
		return errcode.Wrap("scaletest.serve", errcode.ConnectionLost, err)
	}
	for {
		request := Request{}
		if err := decoder.Decode(&request); err != nil {
			return nil
		}
		if err := encoder.Encode(hollow.Do(request)); err != nil {
			return nil
		}
	}
}
