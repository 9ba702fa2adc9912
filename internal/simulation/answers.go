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

// The dangers that the scenarios of faulty upstream connections must reach; a run that does not
// reach its danger fails. An upstream that strays sends second answers, late ones, answers without
// an ID and halves of answers, as bytes that the product's own pairing reads.
const (
	dangerDelayedStrayResponse       = "stray answers at the place of the next one"
	dangerTrailingStrayResponse      = "stray answers on a connection that is kept"
	dangerOnceOnlyResponseLost       = "once-only requests that ran and whose answer was lost"
	dangerAttemptsOnBrokenConnection = "attempts that were out on a connection that broke"
	attemptNameHeader                = "X-Run-Of" // names the request that an answer belongs to
	strayResponseShare               = 0.25       // of answers, while an upstream strays
	brokenConnectionShare            = 0.5        // of the connections between proxies, when they break
	minDangerCount                   = 3          // times that a run must reach its danger
	ruleDangerNotReached             = "danger-not-reached"
)

// wantedDangers are those without which a run of a scenario shows nothing.
var requiredDangers = map[string][]string{
	"wrong-answer": {dangerDelayedStrayResponse, dangerTrailingStrayResponse},
	"once-only":    {dangerOnceOnlyResponseLost, dangerAttemptsOnBrokenConnection},
}

func init() {
	Scenarios["wrong-answer"] = func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{
			{At: randomDuration(random, 9, 10), Do: "answers-stray", For: randomDuration(random, 6, 9)},
			{At: randomDuration(random, 18, 19), Do: "answers-stray", For: randomDuration(random, 2, 4)},
		}
		for range 2 {
			plan = append(plan, Step{At: randomDuration(random, 10, 17), Do: "freeze", Target: randomProxy(d, random), For: randomDuration(random, 0.3, 1.5)},
				Step{At: randomDuration(random, 10, 17), Do: "upstream-kill", Target: randomUpstream(d, random), For: randomDuration(random, 0.2, 1)},
				Step{At: randomDuration(random, 10, 17), Do: "connections-break"})
		}
		return append(plan, Step{
			At:     randomDuration(random, 12, 16),
			Do:     "upstream-vanish",
			Target: randomUpstream(d, random),
			For:    randomDuration(random, 0.02, 0.5),
		})
	}
	Scenarios["once-only"] = func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for _, service := range d.Services {
			for index := range service.Count {
				plan = append(plan, Step{
					At:     randomDuration(random, 9, 12),
					Do:     "upstream-faults",
					Target: fmt.Sprintf("%s/%s-%d", service.Name, service.Name, index+1),
					For:    randomDuration(random, 4, 8),
				})
			}
		}
		for range 8 {
			plan = append(plan, Step{At: randomDuration(random, 9, 20), Do: "connections-break"})
		}
		for range 5 {
			plan = append(plan, Step{At: randomDuration(random, 10, 18), Do: "kill", Target: randomProxy(d, random), For: randomDuration(random, 0.02, 0.1)},
				Step{At: randomDuration(random, 10, 18), Do: "freeze", Target: randomProxy(d, random), For: randomDuration(random, 0.3, 2)})
		}
		return plan
	}
}

// dangersReached fails a run that shows nothing.
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

// namedCallers name each request, as callers on the users' platform do.
type namingFrontendProtocol struct{ frontend.NativeProtocol }

// Metadata adds the name.
func (c namingFrontendProtocol) Metadata(request *frontend.Request) frontend.Metadata {
	metadata := c.NativeProtocol.Metadata(request)
	metadata.AttemptName = request.Header.Get(stubserver.IDHeader)
	return metadata
}

// namedUpstreams name in each answer the request that it belongs to.
type namingBackendProtocol struct{ backend.NativeProtocol }

var _ backend.RequestNamer = namingBackendProtocol{}

// RequestName gives that name.
func (namingBackendProtocol) RequestName(response *http.Response) string {
	return response.Header.Get(attemptNameHeader)
}

// Interpret reads whose answer it is.
func (u namingBackendProtocol) Interpret(response *http.Response, forward message.Forward, _ backend.Target) backend.ResponseMetadata {
	return backend.ResponseMetadata{OtherRequest: u.RequestName(response) != "" && u.RequestName(response) != forward.AttemptName}
}

// upstreamStream is what an upstream has put on one connection and nobody has read.
type upstreamStream struct {
	segments [][]byte
	delayed  []byte // comes once the next request is on its way
	closed   bool   // the upstream has closed it
	reusable bool   // it may carry another request
}

// Read gives one piece; with none left, the time is up.
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

// quiet says that nothing has arrived on the connection that the proxy sees before it sends.
func (s *upstreamStream) idle() bool {
	return s == nil || !s.closed && (len(s.segments) == 0 || !safeguard.QuietConnection.On())
}

// sent notes that a request has gone out: what was late comes first.
func (s *upstreamStream) requestSent(w *World) {
	if s.delayed != nil {
		s.segments, s.delayed = append(s.segments, s.delayed), nil
		w.dangers[dangerDelayedStrayResponse]++
	}
}

// answerBytes is an answer as it stands on the connection; without a name where that is "".
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

// say puts a run's whole answer on the connection and has the serving proxy read it. It
// gives the outcome as the proxy has it, and whether the answer went out whole.
func (s *upstreamStream) respond(w *World, strayResponses bool, decision backend.Decision, outcome message.Outcome) (read message.Outcome, complete bool) {
	name := decision.Forward.AttemptName
	response := encodeResponse(name, outcome)
	stray := encodeResponse(name, message.Outcome{Status: http.StatusOK, Body: []byte("a stray answer of " + name)})
	complete = true
	variant := -1
	if strayResponses && w.random.Float64() < strayResponseShare {
		variant = w.random.IntN(5)
	}
	switch variant {
	case 0: // behind it, in one piece
		s.segments = append(s.segments, append(response, stray...))
	case 1: // behind it, a moment later: before the next request
		s.segments = append(s.segments, response, stray)
		w.dangers[dangerTrailingStrayResponse]++
	case 2: // in the place of the next one
		s.segments, s.delayed = append(s.segments, response), stray
	case 3: // the same, without a name
		s.segments, s.delayed = append(s.segments, response), encodeResponse("", message.Outcome{Status: http.StatusOK, Body: []byte("nobody's answer")})
	case 4: // half of it, and the end
		s.segments, s.closed, complete = append(s.segments, response[:len(response)-2]), true, false
	default:
		s.segments = append(s.segments, response)
	}
	matcher := backend.ResponseMatcher{Protocol: namingBackendProtocol{}, Forward: decision.Forward, Target: decision.Target, NamedResponses: true}
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

// answerFaults returns the faults of answers and connections, by the name that plans use.
func responseFaults() map[string]fault {
	return map[string]fault{
		"answers-stray":     func(w *World, step Step) { w.strayResponsesUntil = max(w.strayResponsesUntil, w.now+step.For) },
		"connections-break": func(w *World, _ Step) { w.breakConnections() },
	}
}

// breakConnections ends some of the connections between proxies, as resets would.
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

// brokenHold is how long an answer may take round a broken connection: its end is told
// some time later, then it is asked about.
const brokenConnectionSettleTime = 300 * time.Millisecond

// countUnsure counts, from the record, the once-only requests whose answer was lost.
func (w *World) countLostOnceOnlyResponses(executions map[string]int) {
	for _, request := range w.record.Requests {
		if request.Once && executions[request.ID] > 0 && (request.Connection || request.Code/100 == 32) {
			w.dangers[dangerOnceOnlyResponseLost]++
		}
	}
}
