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

// callTimeout bounds one HTTP call of an operator's command.
const callTimeout = time.Minute

// callResult is the response to an operator's call, or the error if there was no response.
type callResult struct {
	status int
	code   string // value of the result code header; empty for OK
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
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{err: errcode.Wrap("operator.call", errcode.ConnectionLost, err)}
	}
	return callResult{status: response.StatusCode, code: response.Header.Get(frontend.CodeHeader), body: responseBody}
}

// print writes the response body. It returns an error unless the status is 200.
func (r callResult) print(out io.Writer) error {
	if r.err != nil {
		return r.err
	}
	_, _ = out.Write(r.body) // if the output is closed, an error can't be reported there either
	if !bytes.HasSuffix(r.body, []byte("\n")) {
		fmt.Fprintln(out)
	}
	if r.status != http.StatusOK {
		return fmt.Errorf("registry responded with status %d, code %s", r.status, r.code)
	}
	return nil
}

// retryableCause reports whether the call had no effect and may succeed once the voters have formed
// their group, and describes the cause: the registry does not listen yet, no configuration store holds
// the lease, or the lease holder is still reading the log.
func (r callResult) retryableCause() (cause string, retryable bool) {
	if r.err != nil {
		return "connection refused", errors.Is(r.err, syscall.ECONNREFUSED)
	}
	for _, code := range []errcode.Code{errcode.ConfigurationNoHolder, errcode.ConfigurationBehind} {
		if r.code == strconv.Itoa(int(code)) {
			return fmt.Sprintf("%s (%d)", code, int(code)), true
		}
	}
	return "", false
}

// writeRetryInterval is the interval between attempts of the same write.
const writeRetryInterval = 250 * time.Millisecond

// retryUntilGroupForms repeats a call while its result is retryable, for at most maxWait, and writes
// each change of the cause to log. It returns the last result.
func retryUntilGroupForms(attempt func() callResult, maxWait, interval time.Duration, log io.Writer) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastCause := ""
	for {
		result := attempt()
		cause, retryable := result.retryableCause()
		if !retryable || ctx.Err() != nil {
			return result
		}
		if cause != lastCause {
			fmt.Fprintf(log, "waiting up to %v for the group of voters: %s\n", maxWait, cause)
			lastCause = cause
		}
		select {
		case <-ctx.Done():
			return result
		case <-ticker.C:
		}
	}
}
