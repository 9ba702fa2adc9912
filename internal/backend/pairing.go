// This file is the one place that pairs answers with requests. One request goes out on a
// connection at a time, so the next whole answer should be its own; but an upstream in
// trouble speaks twice, late, or in part. Each answer on the connection is therefore one of
// few things (docs/request-safety.md, "At the upstream"): this request's own whole answer,
// the word that it did not run, another's answer, or nothing that anybody may rely on. Of
// the last it is never concluded that the request did not run.

package backend

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// othersPassed is how many answers to other requests are passed over on a connection.
const othersPassed = 3

// ResponseMatcher finds, in what an upstream sends on a connection, the answer to one request.
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
	Received ResponseMetadata
	Keep     bool // the connection may carry another request
}

// ResponseReader is the readable end of a connection, with a bound on each answer.
type ResponseReader struct {
	limit  *io.LimitedReader
	reader *bufio.Reader
}

// NewResponseReader reads answers from a stream.
func NewResponseReader(stream io.Reader) *ResponseReader {
	limit := &io.LimitedReader{R: stream}
	return &ResponseReader{limit: limit, reader: bufio.NewReader(limit)}
}

// Read gives this request's own answer, or an error where it is not known to have run or not.
func (p ResponseMatcher) Read(answers *ResponseReader) (MatchedResponse, error) {
	for range othersPassed {
		answers.limit.N = p.Forward.MaxResponseBytes + headCap
		found, err := p.next(answers)
		if err != nil || !found.Received.OtherRequest {
			return found, err
		}
	}
	return MatchedResponse{}, errcode.Wrap("backend.head", errcode.AnswerMalformed, errors.New("answers to other requests only"))
}

// next reads one answer whole, then says whose it is and what it means.
func (p ResponseMatcher) next(answers *ResponseReader) (MatchedResponse, error) {
	response, body, err := p.whole(answers)
	if err != nil {
		return MatchedResponse{}, err
	}
	found := MatchedResponse{Received: p.Protocol.Interpret(response, p.Forward, p.Target)}
	if found.Received.OtherRequest && safeguard.AnswerOfAnother.On() {
		return found, nil
	}
	found.Received.OtherRequest = false
	if p.nameless(response) && safeguard.AnswerWithoutName.On() {
		if response.StatusCode < http.StatusMultipleChoices {
			// A stray one: the own answer, which bears the name, may come behind it.
			found.Received.OtherRequest = true
			return found, nil
		}
		return MatchedResponse{}, errcode.Wrap("backend.head", errcode.AnswerMalformed, errors.New("an answer that names no request"))
	}
	behind := answers.reader.Buffered() > 0 && safeguard.BytesBehind.On()
	if behind && !p.NamedResponses {
		// Without a name in the answer nobody can say which of the two is this one's.
		return MatchedResponse{}, errcode.Wrap("backend.body", errcode.AnswerMalformed, errors.New("bytes behind the answer"))
	}
	found.Keep = !response.Close && !behind
	switch {
	case found.Received.Refusal != errcode.OK:
		found.Outcome = message.Outcome{Kind: message.NotStarted, Code: int64(found.Received.Refusal), ReachedUpstream: true}
		return found, nil
	case found.Received.Corrupt, found.Received.AmbiguousRefusal && safeguard.HiddenPromise.On():
		return MatchedResponse{}, errcode.Wrap("backend.head", errcode.AnswerMalformed, errors.New("not the upstream's own whole answer"))
	}
	found.Outcome = ownAnswer(response, body, found.Received)
	return found, nil
}

// nameless: every answer names its request, and this one names none.
func (p ResponseMatcher) nameless(response *http.Response) bool {
	namer, names := p.Protocol.(RequestNamer)
	return names && p.Forward.Name != "" && namer.RequestName(response) == ""
}

// whole reads one answer to its end.
func (p ResponseMatcher) whole(answers *ResponseReader) (*http.Response, []byte, error) {
	fail := func(step string, code errcode.Code, cause error) (*http.Response, []byte, error) {
		return nil, nil, errcode.Wrap(step, code, cause)
	}
	response, err := readHead(answers.reader, p.request)
	if err != nil {
		if broken(err) {
			return fail("backend.head", errcode.UnknownOutcome, err)
		}
		return fail("backend.head", errcode.AnswerMalformed, err)
	}
	defer response.Body.Close()
	if !framed(response, p.Forward.Method) && safeguard.WholeAnswer.On() {
		return fail("backend.body", errcode.AnswerMalformed, errors.New("neither length nor chunks"))
	}
	if response.ContentLength > p.Forward.MaxResponseBytes {
		return fail("backend.body", errcode.AnswerTooLarge, nil)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, p.Forward.MaxResponseBytes+1))
	if err != nil && safeguard.WholeAnswer.On() {
		return fail("backend.body", errcode.AnswerMalformed, err)
	}
	if int64(len(body)) > p.Forward.MaxResponseBytes {
		return fail("backend.body", errcode.AnswerTooLarge, nil)
	}
	return response, body, nil
}

// ownAnswer is the upstream's whole answer, less what ends at this hop.
func ownAnswer(response *http.Response, body []byte, received ResponseMetadata) message.Outcome {
	outcome := message.Outcome{Kind: message.Completed, Status: int64(response.StatusCode), Headers: []message.HeaderLine{}, Body: body}
	if received.HasLoad && received.Load[2] > 0 {
		outcome.Load = float64(received.Load[0]+received.Load[1]) / float64(received.Load[2])
	}
	dropped := HopByHopHeaders(response.Header)
	for name, values := range response.Header {
		if dropped[name] {
			continue
		}
		for _, value := range values {
			outcome.Headers = append(outcome.Headers, message.HeaderLine{Name: name, Value: value})
		}
	}
	return outcome
}
