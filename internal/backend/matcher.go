package backend

import (
	"errors"
	"net/http"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// maxSkippedResponses is how many answers to other requests are passed over on a connection.
const maxSkippedResponses = 3

// Why what came on a connection is not the answer to a request.
var (
	errOtherRequestsOnly = errors.New("answers to other requests only")
	errNoRequestName     = errors.New("an answer that names no request")
	errBytesBehind       = errors.New("bytes behind the answer")
	errNotOwnAnswer      = errors.New("not the upstream's own whole answer")
)

// ResponseMatcher finds, in what an upstream sends on a connection, the answer to one request. One
// request is out on a connection at a time, so the next whole answer should be its own; but an
// upstream in trouble speaks twice, late, or in part. Each answer is therefore one of few things
// (docs/request-safety.md, "At the upstream"): this request's own whole answer, the word that it
// did not run, another's answer, or nothing to rely on. Of the last it is never concluded that the
// request did not run.
type ResponseMatcher struct {
	Protocol       Protocol
	Forward        message.Forward
	Target         Target
	NamedResponses bool // upstreams name the request that they answer
	request        *http.Request
}

// MatchedResponse is what was found. The outcome bears no id yet.
type MatchedResponse struct {
	Outcome  message.Outcome
	Metadata ResponseMetadata
	Keep     bool // the connection may carry another request
}

// Read returns this request's own answer, or an error where nobody knows whether it ran.
func (m ResponseMatcher) Read(responses *ResponseReader) (MatchedResponse, error) {
	for range maxSkippedResponses {
		responses.limit.N = m.Forward.MaxResponseBytes + maxHeadBytes
		matched, err := m.readNext(responses)
		if err != nil || !matched.Metadata.OtherRequest {
			return matched, err
		}
	}
	return MatchedResponse{}, errcode.Wrap("backend.head", errcode.AnswerMalformed, errOtherRequestsOnly)
}

// readNext reads one answer whole, and says whose it is and what it means.
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
			// A stray one: the own answer, which bears the name, may come behind it.
			matched.Metadata.OtherRequest = true
			return matched, nil
		}
		return MatchedResponse{}, errcode.Wrap("backend.head", errcode.AnswerMalformed, errNoRequestName)
	}
	bytesBehind := responses.reader.Buffered() > 0 && safeguard.BytesBehind.On()
	if bytesBehind && !m.NamedResponses {
		// Without a name in the answer nobody can say which of the two is this one's.
		return MatchedResponse{}, errcode.Wrap("backend.body", errcode.AnswerMalformed, errBytesBehind)
	}
	matched.Keep = !response.Close && !bytesBehind
	switch {
	case matched.Metadata.Refusal != errcode.OK:
		matched.Outcome = message.Outcome{Kind: message.NotStarted, Code: int64(matched.Metadata.Refusal), ReachedUpstream: true}
		return matched, nil
	case matched.Metadata.Corrupt, matched.Metadata.AmbiguousRefusal && safeguard.HiddenPromise.On():
		return MatchedResponse{}, errcode.Wrap("backend.head", errcode.AnswerMalformed, errNotOwnAnswer)
	}
	matched.Outcome = answeredOutcome(response, body, matched.Metadata)
	return matched, nil
}

// lacksName reports whether an answer names no request although every answer of this protocol does.
func (m ResponseMatcher) lacksName(response *http.Response) bool {
	namer, names := m.Protocol.(RequestNamer)
	return names && m.Forward.AttemptName != "" && namer.RequestName(response) == ""
}

// answeredOutcome is the upstream's whole answer, without the headers that end at this hop.
func answeredOutcome(response *http.Response, body []byte, metadata ResponseMetadata) message.Outcome {
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
