package frontend

// This file is a caller's request and its final answer.

import (
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
)

// Request is one caller's request on its way.
type Request struct {
	ID        string
	Method    string
	RawPath   string
	RawQuery  string
	Header    http.Header
	Host      string
	Body      []byte
	ArrivedAt time.Duration // when its first byte was here
	Deadline  time.Duration

	Path          string
	Name          string
	Service       string // the one that the route's split fell on
	Priority      int64
	Sent          int64 // attempts that reached an upstream, or may have
	Configuration *routeconfig.Configuration
	Route         routeconfig.Route
	Tenant        string
	Caller        string
	Tried         map[string]bool
	Attempts      int
	Target        message.Registration
	chosenAt      time.Duration // when the target was
	Started       bool          // some attempt may have started
	begun         bool          // counted as open
}

// nested says that a running request's upstream makes this one. Refusing it, be it too
// late for its own aim, would waste the work of the running one.
func (r *Request) nested() bool {
	return r.Tenant == "" && r.Configuration != nil && !r.Configuration.Keyless()
}

// since is when the request's time began: with its first byte, where that is known.
func (r *Request) since(now time.Duration) time.Duration {
	if r.ArrivedAt > 0 {
		return r.ArrivedAt
	}
	return now
}

// Response is the answer to the caller.
type Response struct {
	Code       errcode.Code
	Status     int
	Headers    []message.HeaderLine
	Body       []byte
	RetryAfter time.Duration
}

// NewRefusal makes a final answer of a code; busy ones say when to come back.
func NewRefusal(code errcode.Code) *Response {
	final := &Response{Code: code, Status: code.Status()}
	if final.Status == http.StatusServiceUnavailable || final.Status == http.StatusRequestTimeout {
		final.RetryAfter = time.Second
	}
	return final
}

// soon says when a busy answer's cause will most likely be over: updates is some askings
// away, a slot is free after a part of a request's time.
func (f *Frontend) soon(final *Response) *Response {
	switch {
	case final.RetryAfter == 0 || !f.settings.ByTarget() || final.Code == errcode.RequestRouteClosed:
	case final.Code == errcode.BusyNotReady || final.Code == errcode.BusyStale:
		final.RetryAfter = f.settings.UpdatesEvery() * 2
	default:
		final.RetryAfter = f.settings.UpdatesEvery() * 3 / 2
	}
	return final
}
