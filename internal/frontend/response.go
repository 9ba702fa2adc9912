package frontend

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// defaultRetryAfter is when a caller may come back after a refusal whose cause has no known end.
const defaultRetryAfter = time.Second

// Response is the one final answer to a caller: the upstream's own, or one of the mesh's with its
// result code.
type Response struct {
	Code       errcode.Code
	Status     int
	Headers    []message.HeaderLine
	Body       []byte
	RetryAfter time.Duration
}

// refusal is why a request is turned away.
type refusal struct {
	code       errcode.Code
	retryAfter time.Duration
}

// refuseWith makes a refusal of a code. One that a caller may try again says when to come back.
func refuseWith(code errcode.Code) *refusal {
	refused := &refusal{code: code}
	switch code.Status() {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout:
		refused.retryAfter = defaultRetryAfter
	}
	return refused
}

// response is the answer that the caller of a refused request gets.
func (r *refusal) response() *Response {
	return &Response{Code: r.code, Status: r.code.Status(), RetryAfter: r.retryAfter}
}

// NewRefusal makes the answer to a request that is turned away with a code.
func NewRefusal(code errcode.Code) *Response { return refuseWith(code).response() }

// setRetryAfter says when the cause of a refusal will most likely be over: news of the control
// state is a few update intervals away, and a slot is free after a part of a request's time.
func (f *Frontend) setRetryAfter(response *Response) *Response {
	switch {
	case response.RetryAfter == 0 || !f.settings.ProofByTarget() || response.Code == errcode.RequestRouteClosed:
	case response.Code == errcode.BusyNotReady || response.Code == errcode.BusyStale:
		response.RetryAfter = f.settings.UpdatesEvery() * 2
	default:
		response.RetryAfter = f.settings.UpdatesEvery() * 3 / 2
	}
	return response
}
