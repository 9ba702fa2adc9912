package simulation

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
	"beaconvane/internal/stubserver"
	"beaconvane/internal/workload"
)

// Dangers are the situations that a scenario of faulty upstream connections must bring about at
// least minDangerCount times; otherwise the run fails. While stray responses are on, an upstream
// sends extra responses, delayed ones, ones without an attempt name and truncated ones, as bytes
// that backend.ResponseMatcher parses.
const (
	dangerDelayedStrayResponse       = "stray answers at the place of the next one"
	dangerTrailingStrayResponse      = "stray answers on a connection that is kept"
	dangerOnceOnlyResponseLost       = "once-only requests that ran and whose answer was lost"
	dangerAttemptsOnBrokenConnection = "attempts that were out on a connection that broke"
	attemptNameHeader                = "X-Run-Of" // header that names the request a response belongs to
	strayResponseShare               = 0.25       // share of responses affected while stray responses are on
	brokenConnectionShare            = 0.5        // share of the connections between proxies that one step breaks
	minDangerCount                   = 3          // times a run must reach each required danger
	ruleDangerNotReached             = "danger-not-reached"
)

// requiredDangers lists, by scenario, the dangers without which a run proves nothing.
var requiredDangers = map[string][]string{
	"wrong-answer": {dangerDelayedStrayResponse, dangerTrailingStrayResponse},
	"once-only":    {dangerOnceOnlyResponseLost, dangerAttemptsOnBrokenConnection},
}

func init() {
	Scenarios["wrong-answer"] = func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{
			{At: between(random, 9, 10), Do: "answers-stray", For: between(random, 6, 9)},
			{At: between(random, 18, 19), Do: "answers-stray", For: between(random, 2, 4)},
		}
		for range 2 {
			plan = append(plan,
				Step{At: between(random, 10, 17), Do: "freeze", Target: randomProxy(d, random), For: between(random, 0.3, 1.5)},
				Step{At: between(random, 10, 17), Do: "upstream-kill", Target: randomUpstream(d, random), For: between(random, 0.2, 1)},
				Step{At: between(random, 10, 17), Do: "connections-break"})
		}
		return append(plan, Step{
			At:     between(random, 12, 16),
			Do:     "upstream-vanish",
			Target: randomUpstream(d, random),
			For:    between(random, 0.02, 0.5),
		})
	}
	Scenarios["once-only"] = func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for _, service := range d.Services {
			for index := range service.Count {
				plan = append(plan, Step{
					At:     between(random, 9, 12),
					Do:     "upstream-faults",
					Target: fmt.Sprintf("%s/%s-%d", service.Name, service.Name, index+1),
					For:    between(random, 4, 8),
				})
			}
		}
		for range 8 {
			plan = append(plan, Step{At: between(random, 9, 20), Do: "connections-break"})
		}
		for range 5 {
			plan = append(plan,
				Step{At: between(random, 10, 18), Do: "kill", Target: randomProxy(d, random), For: between(random, 0.02, 0.1)},
				Step{At: between(random, 10, 18), Do: "freeze", Target: randomProxy(d, random), For: between(random, 0.3, 2)})
		}
		return plan
	}
}

// checkDangersReached adds a violation for each required danger that the run did not reach often enough.
func (r *Result) checkDangersReached() {
	for _, danger := range requiredDangers[r.Scenario] {
		if count := r.Review.Seen["danger: "+danger]; count < minDangerCount {
			r.Review.Violations = append(r.Review.Violations, checker.Violation{
				Rule:   ruleDangerNotReached,
				Detail: fmt.Sprintf("%s: %d, want at least %d", danger, count, minDangerCount),
			})
		}
	}
}

// namingFrontendProtocol names each request, as callers on the users' platform do.
type namingFrontendProtocol struct{ frontend.NativeProtocol }

// Metadata sets the attempt name from the request's ID header.
func (c namingFrontendProtocol) Metadata(request *frontend.Request) frontend.Metadata {
	metadata := c.NativeProtocol.Metadata(request)
	metadata.AttemptName = request.Header.Get(stubserver.IDHeader)
	return metadata
}

// namingBackendProtocol reads from each response the name of the request it belongs to.
type namingBackendProtocol struct{ backend.NativeProtocol }

var _ backend.RequestNamer = namingBackendProtocol{}

// RequestName returns the name of the request that a response belongs to.
func (namingBackendProtocol) RequestName(response *http.Response) string {
	return response.Header.Get(attemptNameHeader)
}

// Interpret reports a response that names another request than the forwarded one.
func (u namingBackendProtocol) Interpret(response *http.Response, forward message.Forward, _ backend.Target) backend.ResponseMetadata {
	return backend.ResponseMetadata{OtherRequest: u.RequestName(response) != "" && u.RequestName(response) != forward.AttemptName}
}

// upstreamStream holds the bytes that an upstream has sent on one connection and the proxy has not
// read yet. It implements io.Reader.
type upstreamStream struct {
	segments [][]byte
	delayed  []byte // arrives after the next request has been sent
	closed   bool   // the upstream has closed the connection
	reusable bool   // the connection may carry another request
}

// Read returns bytes of one segment; with no segment left it returns io.EOF on a closed connection,
// and a deadline error on an open one.
func (s *upstreamStream) Read(buffer []byte) (int, error) {
	if len(s.segments) == 0 {
		if s.closed {
			return 0, io.EOF
		}
		return 0, os.ErrDeadlineExceeded
	}
	size := copy(buffer, s.segments[0])
	if s.segments[0] = s.segments[0][size:]; len(s.segments[0]) == 0 {
		s.segments = s.segments[1:]
	}
	return size, nil
}

// idle reports whether the connection is open and, as far as the proxy checks before it sends,
// has no unread bytes.
func (s *upstreamStream) idle() bool {
	return s == nil || !s.closed && (len(s.segments) == 0 || !safeguard.QuietConnection.On())
}

// requestSent makes a delayed response readable, before the response to the request just sent.
func (s *upstreamStream) requestSent(w *World) {
	if s.delayed != nil {
		s.segments, s.delayed = append(s.segments, s.delayed), nil
		w.dangers[dangerDelayedStrayResponse]++
	}
}

// encodeResponse returns a response as HTTP/1.1 bytes, without the name header if attemptName is empty.
func encodeResponse(attemptName string, outcome message.Outcome) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", outcome.Status, len(outcome.Body))
	if attemptName != "" {
		head += attemptNameHeader + ": " + attemptName + "\r\n"
	}
	for _, header := range outcome.Headers {
		head += header.Name + ": " + header.Value + "\r\n"
	}
	return append([]byte(head+"\r\n"), outcome.Body...)
}

// respond writes the response to a request to the connection, possibly with a stray one, and has the
// serving proxy read it. It returns the outcome as the proxy reads it, and whether the upstream sent
// its own response completely.
func (s *upstreamStream) respond(w *World, strayResponses bool, decision backend.Decision,
	outcome message.Outcome) (read message.Outcome, complete bool) {
	name := decision.Forward.AttemptName
	response := encodeResponse(name, outcome)
	stray := encodeResponse(name, message.Outcome{Status: http.StatusOK, Body: []byte("a stray answer of " + name)})
	complete = true
	variant := -1
	if strayResponses && w.random.Float64() < strayResponseShare {
		variant = w.random.IntN(5)
	}
	switch variant {
	case 0: // stray response after it, in one segment
		s.segments = append(s.segments, append(response, stray...))
	case 1: // stray response after it, in its own segment, before the next request
		s.segments = append(s.segments, response, stray)
		w.dangers[dangerTrailingStrayResponse]++
	case 2: // stray response in place of the next one
		s.segments, s.delayed = append(s.segments, response), stray
	case 3: // the same, without a name header
		s.segments = append(s.segments, response)
		s.delayed = encodeResponse("", message.Outcome{Status: http.StatusOK, Body: []byte("nobody's answer")})
	case 4: // truncated by two bytes, then closed
		s.segments, s.closed, complete = append(s.segments, response[:len(response)-2]), true, false
	default:
		s.segments = append(s.segments, response)
	}
	matcher := backend.ResponseMatcher{
		Protocol:       namingBackendProtocol{},
		Forward:        decision.Forward,
		Target:         decision.Target,
		NamedResponses: true,
	}
	matched, err := matcher.Read(backend.NewResponseReader(s))
	s.reusable = err == nil && matched.Keep
	if err != nil {
		return message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.CodeOf(err))}, complete
	}
	for index, header := range matched.Outcome.Headers {
		if header.Name == attemptNameHeader {
			matched.Outcome.Headers = append(matched.Outcome.Headers[:index:index], matched.Outcome.Headers[index+1:]...)
			break
		}
	}
	return matched.Outcome, complete
}

// responseFaults returns the faults of responses and connections, by the name that plans use.
func responseFaults() map[string]fault {
	return map[string]fault{
		"answers-stray":     func(w *World, step Step) { w.strayResponsesUntil = max(w.strayResponsesUntil, w.now+step.For) },
		"connections-break": func(w *World, _ Step) { w.breakConnections() },
	}
}

// breakConnections closes a random share of the connections between proxies, as TCP resets do.
func (w *World) breakConnections() {
	for _, node := range w.nodesByRole(message.RoleProxy) {
		for _, connection := range node.connections {
			if !connection.established || connection.closed || w.random.Float64() >= brokenConnectionShare {
				continue
			}
			w.dangers[dangerAttemptsOnBrokenConnection] += node.dispatcher.AttemptsOn(connection)
			connection.drop()
			w.record.Disconnected = append(w.record.Disconnected,
				checker.Span{Name: connection.to.machine, From: w.now, To: w.now + brokenConnectionSettleTime})
		}
	}
}

// brokenConnectionSettleTime bounds the delay of a response after its connection broke: the loss is
// reported some time later, and only then is the attempt's outcome queried.
const brokenConnectionSettleTime = 300 * time.Millisecond

// countLostOnceOnlyResponses counts, from the record, the once-only requests that ran and whose response was lost.
func (w *World) countLostOnceOnlyResponses(executions map[string]int) {
	for _, request := range w.record.Requests {
		if request.Once && executions[request.ID] > 0 && (request.Connection || request.Code/100 == 32) {
			w.dangers[dangerOnceOnlyResponseLost]++
		}
	}
}
