package scaletest

import (
	"bufio"
	"encoding/json"
	"io"

	"beaconvane/internal/errcode"
)

// Serve is the loop of a hollow fleet's process: the first JSON value it reads has the parts, each
// further one is a Request. It returns when its input ends, so that no process outlives the one that
// started it.
func Serve(in io.Reader, out io.Writer) error {
	reader, encoder := bufio.NewReaderSize(in, 1<<20), json.NewEncoder(out)
	decoder := json.NewDecoder(reader)
	parts := []Part{}
	if err := decoder.Decode(&parts); err != nil {
		return errcode.Wrap("scaletest.serve", errcode.ConfigUnreadable, err)
	}
	hollow, err := NewHollowFleet(parts)
	if err != nil {
		_ = encoder.Encode(Answer{Fault: err.Error()}) // the error is returned in any case
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
