package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
)

// callTimeout bounds one call of an operator's command.
const callTimeout = time.Minute

// callResult is the answer to an operator's call, or the error that came instead.
type callResult struct {
	status int
	code   string // result code as the header has it; empty for OK
	body   []byte
	err    error
}

// call makes one HTTP call to a registry.
func call(address, method, path string, body []byte) callResult {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return callResult{err: errcode.Wrap("operator.call", errcode.Internal, err)}
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{Proxy: nil, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: errcode.Wrap("operator.call", errcode.ConnectionLost, err)}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{err: errcode.Wrap("operator.call", errcode.ConnectionLost, err)}
	}
	return callResult{status: response.StatusCode, code: response.Header.Get(frontend.CodeHeader), body: answer}
}

// print writes the answer; it returns an error unless the status is 200.
func (r callResult) print(out io.Writer) error {
	if r.err != nil {
		return r.err
	}
	_, _ = out.Write(r.body) // a closed output takes no error message either
	if !bytes.HasSuffix(r.body, []byte("\n")) {
		fmt.Fprintln(out)
	}
	if r.status != http.StatusOK {
		return fmt.Errorf("status %d, code %s", r.status, r.code)
	}
	return nil
}

// tooEarly reports whether nothing was changed for a cause that ends once the voters have formed
// their group: nobody listens yet, no configuration store holds the lease, or the holder is still
// reading the log.
func (r callResult) tooEarly() (cause string, early bool) {
	if r.err != nil {
		return "nobody listens yet", errors.Is(r.err, syscall.ECONNREFUSED)
	}
	for _, code := range []errcode.Code{errcode.ConfigurationNoHolder, errcode.ConfigurationBehind} {
		if r.code == strconv.Itoa(int(code)) {
			return fmt.Sprintf("%s (%d)", code, int(code)), true
		}
	}
	return "", false
}

// writePause is the time between two attempts at the same write.
const writePause = 250 * time.Millisecond

// retryUntilGroupForms makes a call again for as long as it is too early, at most for the given time,
// and writes each new cause to log. It returns the last result.
func retryUntilGroupForms(attempt func() callResult, limit, pause time.Duration, log io.Writer) callResult {
	limited, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	lastCause := ""
	for {
		last := attempt()
		cause, early := last.tooEarly()
		if !early || limited.Err() != nil {
			return last
		}
		if cause != lastCause {
			fmt.Fprintf(log, "waiting up to %v for the group of voters: %s\n", limit, cause)
			lastCause = cause
		}
		select {
		case <-limited.Done():
			return last
		case <-ticker.C:
		}
	}
}
