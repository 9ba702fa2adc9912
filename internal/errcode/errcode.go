// Package errcode defines the numbered result codes of the system and the error type that carries them. Codes are
// the interface for users and other programs; the text of an error is for the log. A test verifies that the
// table in docs/codes.md and Entries are equal.
package errcode

import (
	"errors"
	"fmt"
	"net/http"
)

// Code is a numbered result, stable across versions.
type Code int

// OK is the code of success.
const OK Code = 0

// Faults in the settings. These codes appear only in logs and at startup.
const (
	ConfigUnknownKey  Code = 1001
	ConfigBadValue    Code = 1002
	ConfigMissing     Code = 1003
	ConfigBoundsClash Code = 1004
	ConfigUnreadable  Code = 1005
)

// Announcements of upstreams.
const (
	AnnounceBad     Code = 2001
	AnnounceUnknown Code = 2002
)

// Refused requests, which were not executed.
const (
	RequestNoKey         Code = 3001
	RequestKeyUnknown    Code = 3002
	RequestCallerRefused Code = 3003
	RequestNoRoute       Code = 3004
	RequestTooLarge      Code = 3005
	RequestBadPath       Code = 3006
	RequestPassInvalid   Code = 3007
	RequestUnreadable    Code = 3008
	RequestRouteClosed   Code = 3009
	RequestTooSlow       Code = 3010
	RequestHeadTooLarge  Code = 3011
)

// Requests that were not executed for lack of resources. The caller may retry.
const (
	BusyQueueFull            Code = 3101
	BusyNoUpstream           Code = 3102
	BusySlotsFull            Code = 3103
	BusyNotReady             Code = 3104
	BusyStale                Code = 3105
	BusyLeaving              Code = 3106
	BusyServingProxyLost     Code = 3107
	BusyUpstreamGone         Code = 3108
	BusyConfigurationDiffers Code = 3109
	BusyBudget               Code = 3110
	BusyDeadline             Code = 3111
	BusyUnproven             Code = 3112
	BusyBodies               Code = 3113
	BusyAbandoned            Code = 3114
)

// Requests that were started but have no complete response of the upstream.
const (
	UnknownOutcome   Code = 3201
	UnknownTimeout   Code = 3202
	AnswerMalformed  Code = 3203
	AnswerTooLarge   Code = 3204
	UnknownAbandoned Code = 3205
)

// Configurations.
const (
	ConfigurationBad      Code = 4001
	ConfigurationTooLarge Code = 4002
	ConfigurationConflict Code = 4003
	ConfigurationNotFound Code = 4004
	ConfigurationNoHolder Code = 4005
	ConfigurationUnsure   Code = 4006
	ConfigurationBehind   Code = 4007
	ConfigurationLacking  Code = 4008
)

// Usage windows.
const (
	UsageNotFound Code = 4101
)

// Voters and their storage.
const (
	VoterShutOut    Code = 5001
	VoterRecovering Code = 5002
	DiskFault       Code = 5003
	DiskCorrupt     Code = 5004
)

// Connections between processes.
const (
	ConnectionLost Code = 6001
	ConnectionFull Code = 6002
	FrameBad       Code = 6003
)

// Internal errors.
const (
	Internal Code = 9001
)

// Entry describes a code: its name, HTTP status and text.
type Entry struct {
	Name   string
	Status int // HTTP status; 0 if the code is never sent over HTTP
	Text   string
}

// Entries describes every code.
var Entries = map[Code]Entry{
	OK:                   {"OK", 200, "done"},
	ConfigUnknownKey:     {"ConfigUnknownKey", 0, "the settings hold a key that no program knows"},
	ConfigBadValue:       {"ConfigBadValue", 0, "a settings value is of the wrong kind or out of range"},
	ConfigMissing:        {"ConfigMissing", 0, "a settings value that has no default is absent"},
	ConfigBoundsClash:    {"ConfigBoundsClash", 0, "two bounds in the settings cannot be kept together"},
	ConfigUnreadable:     {"ConfigUnreadable", 0, "the settings file cannot be read or is not JSON"},
	AnnounceBad:          {"AnnounceBad", 400, "an upstream's announcement is malformed"},
	AnnounceUnknown:      {"AnnounceUnknown", 404, "a sign-off for an upstream that is not registered here"},
	RequestNoKey:         {"RequestNoKey", 401, "the request carries no tenant key"},
	RequestKeyUnknown:    {"RequestKeyUnknown", 401, "no configuration honours the key"},
	RequestCallerRefused: {"RequestCallerRefused", 403, "the calling service or tenant may not use this route"},
	RequestNoRoute:       {"RequestNoRoute", 404, "no configuration has a route for this request"},
	RequestTooLarge:      {"RequestTooLarge", 413, "the request's body is over the route's limit"},
	RequestBadPath:       {"RequestBadPath", 400, "the path holds dot segments, encoded slashes or control bytes"},
	RequestPassInvalid:   {"RequestPassInvalid", 403, "the pass is not of a request that runs now"},
	RequestUnreadable:    {"RequestUnreadable", 400, "the request broke off or is not HTTP/1.1 as the library reads it"},
	RequestTooSlow:       {"RequestTooSlow", 408, "the request's body was not whole in the time that its caller gave; nothing ran"},
	RequestHeadTooLarge:  {"RequestHeadTooLarge", 431, "the request's head is over the configuration's limit"},
	RequestRouteClosed:   {"RequestRouteClosed", 503, "the route's calendar has it closed now; nothing ran"},
	BusyQueueFull:        {"BusyQueueFull", 503, "a pending queue is full; nothing ran"},
	BusyNoUpstream:       {"BusyNoUpstream", 503, "no ready upstream is known for the service; nothing ran"},
	BusySlotsFull:        {"BusySlotsFull", 503, "every slot of the chosen upstream is taken; nothing ran"},
	BusyNotReady:         {"BusyNotReady", 503, "the upstream is warming up or this node is not ready; nothing ran"},
	BusyStale:            {"BusyStale", 503, "this node's configurations are older than the bound; nothing ran"},
	BusyLeaving:          {"BusyLeaving", 503, "the upstream or its serving proxy is leaving; nothing ran"},
	BusyServingProxyLost: {"BusyServingProxyLost", 503, "the upstream's serving proxy could not be reached; nothing ran"},
	BusyUpstreamGone:     {"BusyUpstreamGone", 503, "the upstream refused the connection or stopped its heartbeats; nothing ran"},
	BusyConfigurationDiffers: {"BusyConfigurationDiffers", 503,
		"the serving proxy's configuration does not allow the request (yet); nothing ran"},
	BusyBudget:   {"BusyBudget", 503, "not started, and the service's retry budget is spent; nothing ran"},
	BusyBodies:   {"BusyBodies", 503, "the bodies of other requests take all the memory there is for them; nothing ran"},
	BusyUnproven: {"BusyUnproven", 503, "no connection to the upstream that is proven to be its own is free; nothing ran"},
	BusyDeadline: {"BusyDeadline", 503, "the time was up before any upstream started; nothing ran"},
	BusyAbandoned: {"BusyAbandoned", 503,
		"the caller ended its direction of the connection before any upstream started; nothing ran"},
	UnknownOutcome:  {"UnknownOutcome", 502, "the request was started and its answer was lost; it may have run"},
	UnknownTimeout:  {"UnknownTimeout", 504, "the request was started and the time is up; it may have run"},
	AnswerMalformed: {"AnswerMalformed", 502, "the upstream's answer was not whole; the request may have run"},
	AnswerTooLarge:  {"AnswerTooLarge", 502, "the upstream's answer is over the size cap; the request may have run"},
	UnknownAbandoned: {"UnknownAbandoned", 502,
		"the request was started when the caller ended its direction of the connection; it may have run"},
	ConfigurationBad:      {"ConfigurationBad", 422, "the configuration has faults; the old one stays in force"},
	ConfigurationTooLarge: {"ConfigurationTooLarge", 413, "the configuration is over the size or entry limits"},
	ConfigurationConflict: {"ConfigurationConflict", 409, "the number is taken by other bytes, or is not higher than the current one"},
	ConfigurationNotFound: {"ConfigurationNotFound", 404, "no such configuration or version is kept"},
	ConfigurationNoHolder: {"ConfigurationNoHolder", 503, "no configstore holds the lease now; nothing was changed"},
	ConfigurationUnsure: {"ConfigurationUnsure", 503,
		"the write may or may not have been committed; send the same bytes again to learn"},
	ConfigurationLacking: {"ConfigurationLacking", 504, "the version is not in force yet on the proxies named"},
	ConfigurationBehind:  {"ConfigurationBehind", 503, "the holder has not committed in its own epoch yet; nothing was changed"},
	UsageNotFound:        {"UsageNotFound", 404, "no sealed usage window of that number"},
	VoterShutOut:         {"VoterShutOut", 503, "this disk's identity no longer holds its voter"},
	VoterRecovering:      {"VoterRecovering", 503, "the voter is reading the others and may not vote yet"},
	DiskFault:            {"DiskFault", 503, "a write or sync failed; the voter has stopped voting"},
	DiskCorrupt:          {"DiskCorrupt", 0, "committed data on disk fails its checksum; the voter refuses to vote"},
	ConnectionLost:       {"ConnectionLost", 502, "a connection between processes broke"},
	ConnectionFull:       {"ConnectionFull", 503, "a connection's pending queue is full"},
	FrameBad:             {"FrameBad", 400, "a frame between processes cannot be read"},
	Internal:             {"Internal", 500, "a fault of beaconvane's own"},
}

// Status returns the HTTP status of a response with this code. It is 500 for codes that have none.
func (c Code) Status() int {
	if entry, found := Entries[c]; found && entry.Status != 0 {
		return entry.Status
	}
	return http.StatusInternalServerError
}

// String returns the code's name, or "" for an unknown code.
func (c Code) String() string { return Entries[c].Name }

// CodedError is an error with a code and the operation that failed.
type CodedError struct {
	Code  Code
	Where string // "package.operation"
	Cause error  // may be nil
}

// Error returns the operation, the code and the cause.
func (e *CodedError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s (%d)", e.Where, e.Code, int(e.Code))
	}
	return fmt.Sprintf("%s: %s (%d): %v", e.Where, e.Code, int(e.Code), e.Cause)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *CodedError) Unwrap() error { return e.Cause }

// Wrap returns a CodedError for the operation that failed, with a code and a cause, which may be nil.
func Wrap(where string, code Code, cause error) error {
	return &CodedError{Code: code, Where: where, Cause: cause}
}

// CodeOf returns the code of the first CodedError in an error's chain. It is OK for nil and Internal for an error
// without a CodedError.
func CodeOf(err error) Code {
	var coded *CodedError
	if errors.As(err, &coded) {
		return coded.Code
	}
	if err == nil {
		return OK
	}
	return Internal
}
