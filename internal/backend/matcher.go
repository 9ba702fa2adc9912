package backend

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// maxSkippedResponses limits the consecutive responses to other requests on a connection.
const maxSkippedResponses = 3

// Causes for which received bytes are not accepted as the response to a request.
var (
	errOnlyOtherResponses = fmt.Errorf("%d consecutive responses belong to other requests", maxSkippedResponses)
	errMissingRequestName = errors.New("response does not name the request that it answers")
	errTrailingBytes      = errors.New("unexpected bytes after the response")
	errNotFromUpstream    = errors.New("response is not a complete response of the expected upstream")
)

// ResponseMatcher identifies the response to one request in the bytes that an upstream sends on a
// connection. Only one request is outstanding on a connection, so the next complete response should
// belong to it, but a faulty upstream may send duplicate, late or incomplete responses. Each response is
// therefore classified (docs/request-safety.md, "At the upstream") as the complete response to this
// request, a refusal that states that the request did not run, a response to another request, or
// unreliable. An unreliable response is never taken as evidence that the request did not run.
type ResponseMatcher struct {
	Protocol       Protocol
	Forward        message.Forward
	Target         Target
	NamedResponses bool // responses name the request that they answer
	request        *http.Request
	memory         responseMemory // of the bodies that are read
	deadline       time.Time      // for the wait for memory
}

// MatchedResponse is the response to a request. The id of its outcome is not set.
type MatchedResponse struct {
	Outcome  message.Outcome
	Metadata ResponseMetadata
	Keep     bool // the connection may be reused
}

// Read returns the response to the request. On an error it is unknown whether the request ran.
func (m ResponseMatcher) Read(responses *ResponseReader) (MatchedResponse, error) {
	for range maxSkippedResponses {
		responses.limit.N = m.Forward.MaxResponseBytes + maxHeadBytes
		matched, err := m.readNext(responses)
		if err != nil || !matched.Metadata.OtherRequest {
			return matched, err
		}
	}
	return MatchedResponse{}, errcode.Wrap("backend.head", errcode.AnswerMalformed, errOnlyOtherResponses)
}

// readNext reads and classifies one complete response.
func (m ResponseMatcher) readNext(responses *ResponseReader) (MatchedResponse, error) {
	response, body, err := m.readWhole(responses) //nolint:bodyclose // readWhole closes it
	if err != nil {
		return MatchedResponse{}, err
	}
	matched := MatchedResponse{Metadata: m.Protocol.Interpret(response, m.Forward, m.Target)}
	if matched.Metadata.OtherRequest && safeguard.AnswerOfAnother.On() {
		return matched, nil
	}
	matched.Metadata.OtherRequest = false
	if m.lacksName(response) && safeguard.AnswerWithoutName.On() {
		if response.StatusCode < http.StatusMultipleChoices {
			// A stray response: the response that names this request may follow.
			matched.Metadata.OtherRequest = true
			return matched, nil
		}
		return MatchedResponse{}, errcode.Wrap("backend.head", errcode.AnswerMalformed, errMissingRequestName)
	}
	hasTrailingBytes := responses.reader.Buffered() > 0 && safeguard.BytesBehind.On()
	if hasTrailingBytes && !m.NamedResponses {
		// Without request names it is undecidable which of the two responses belongs to this request.
		return MatchedResponse{}, errcode.Wrap("backend.body", errcode.AnswerMalformed, errTrailingBytes)
	}
	matched.Keep = !response.Close && !hasTrailingBytes
	switch {
	case matched.Metadata.Refusal != errcode.OK:
		matched.Outcome = message.Outcome{Kind: message.NotStarted, Code: int64(matched.Metadata.Refusal), ReachedUpstream: true}
		return matched, nil
	case matched.Metadata.Corrupt, matched.Metadata.AmbiguousRefusal && safeguard.HiddenPromise.On():
		return MatchedResponse{}, errcode.Wrap("backend.head", errcode.AnswerMalformed, errNotFromUpstream)
	}
	matched.Outcome = completedOutcome(response, body, matched.Metadata)
	return matched, nil
}

// lacksName reports whether a response names no request although every response of the protocol must.
func (m ResponseMatcher) lacksName(response *http.Response) bool {
	namer, supportsNames := m.Protocol.(RequestNamer)
	return supportsNames && m.Forward.AttemptName != "" && namer.RequestName(response) == ""
}

// completedOutcome returns the outcome for a complete response, without its hop-by-hop headers.
func completedOutcome(response *http.Response, body []byte, metadata ResponseMetadata) message.Outcome {
	outcome := message.Outcome{
		Kind:    message.Completed,
		Status:  int64(response.StatusCode),
		Headers: []message.HeaderLine{},
		Body:    body,
	}
	if running, waiting, slots := metadata.Load[0], metadata.Load[1], metadata.Load[2]; metadata.HasLoad && slots > 0 {
		outcome.Load = float64(running+waiting) / float64(slots)
	}
	hopByHop := HopByHopHeaders(response.Header)
	for name, values := range response.Header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			outcome.Headers = append(outcome.Headers, message.HeaderLine{Name: name, Value: value})
		}
	}
	return outcome
}
