package frontend

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// defaultRetryAfter is the retry delay for a refusal whose cause has no known duration.
const defaultRetryAfter = time.Second

// Response is the final answer to a caller: the upstream's answer with errcode.OK, or an answer of
// the mesh with its result code.
type Response struct {
	Code       errcode.Code
	Status     int
	Headers    []message.HeaderLine
	Body       []byte
	RetryAfter time.Duration
}

// refusal is the reason for which a request is refused.
type refusal struct {
	code       errcode.Code
	retryAfter time.Duration
}

// refuseWith returns a refusal with a code. It sets a retry delay if the caller may retry.
func refuseWith(code errcode.Code) *refusal {
	result := &refusal{code: code}
	switch code.Status() {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout:
		result.retryAfter = defaultRetryAfter
	}
	return result
}

// response returns the answer to the refused request.
func (r *refusal) response() *Response {
	return &Response{Code: r.code, Status: r.code.Status(), RetryAfter: r.retryAfter}
}

// NewRefusal returns the answer to a request that is refused with a code.
func NewRefusal(code errcode.Code) *Response { return refuseWith(code).response() }

// adjustRetryAfter sets the retry delay of a refusal to the expected duration of its cause: a new
// snapshot takes a few update intervals, and a slot becomes free within a fraction of a request's
// service time. It changes only responses that already have a delay, and returns its argument.
func (f *Frontend) adjustRetryAfter(response *Response) *Response {
	switch {
	case response.RetryAfter == 0 || !f.settings.ProofByTarget() || response.Code == errcode.RequestRouteClosed:
	case response.Code == errcode.BusyNotReady || response.Code == errcode.BusyStale:
		response.RetryAfter = f.settings.UpdatesEvery() * 2
	default:
		response.RetryAfter = f.settings.UpdatesEvery() * 3 / 2
	}
	return response
}
