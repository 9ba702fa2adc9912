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
	dangerStray   = "stray answers at the place of the next one"
	dangerBehind  = "stray answers on a connection that is kept"
	dangerUnsure  = "once-only requests that ran and whose answer was lost"
	dangerAsked   = "attempts that were out on a connection that broke"
	strayName     = "X-Run-Of" // names the request that an answer belongs to
	strayShare    = 0.25       // of answers, while an upstream strays
	brokenShare   = 0.5        // of the connections between proxies, when they break
	dangerLeast   = 3          // times that a run must reach its danger
	dangerMissing = "danger-not-reached"
)

// wantedDangers are those without which a run of a scenario shows nothing.
var wantedDangers = map[string][]string{
	"wrong-answer": {dangerStray, dangerBehind},
	"once-only":    {dangerUnsure, dangerAsked},
}

func init() {
	Scenarios["wrong-answer"] = func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{
			{At: span(random, 9, 10), Do: "answers-stray", For: span(random, 6, 9)},
			{At: span(random, 18, 19), Do: "answers-stray", For: span(random, 2, 4)},
		}
		for range 2 {
			plan = append(plan, Step{At: span(random, 10, 17), Do: "freeze", Target: edge(d, random), For: span(random, 0.3, 1.5)},
				Step{At: span(random, 10, 17), Do: "upstream-kill", Target: upstreamName(d, random), For: span(random, 0.2, 1)},
				Step{At: span(random, 10, 17), Do: "connections-break"})
		}
		return append(plan, Step{
			At:     span(random, 12, 16),
			Do:     "upstream-vanish",
			Target: upstreamName(d, random),
			For:    span(random, 0.02, 0.5),
		})
	}
	Scenarios["once-only"] = func(d workload.Deployment, random *rand.Rand) []Step {
		plan := []Step{}
		for _, service := range d.Services {
			for index := range service.Count {
				plan = append(plan, Step{
					At:     span(random, 9, 12),
					Do:     "upstream-faults",
					Target: fmt.Sprintf("%s/%s-%d", service.Name, service.Name, index+1),
					For:    span(random, 4, 8),
				})
			}
		}
		for range 8 {
			plan = append(plan, Step{At: span(random, 9, 20), Do: "connections-break"})
		}
		for range 5 {
			plan = append(plan, Step{At: span(random, 10, 18), Do: "kill", Target: edge(d, random), For: span(random, 0.02, 0.1)},
				Step{At: span(random, 10, 18), Do: "freeze", Target: edge(d, random), For: span(random, 0.3, 2)})
		}
		return plan
	}
}

// dangersReached fails a run that shows nothing.
func (r *Result) dangersReached() {
	for _, danger := range wantedDangers[r.Scenario] {
		if count := r.Review.Seen["danger: "+danger]; count < dangerLeast {
			r.Review.Violations = append(r.Review.Violations, checker.Violation{
				Rule:   dangerMissing,
				Detail: fmt.Sprintf("%s: %d, want at least %d", danger, count, dangerLeast),
			})
		}
	}
}

// namedCallers name each request, as callers on the users' platform do.
type namedCallers struct{ frontend.NativeProtocol }

// Metadata adds the name.
func (c namedCallers) Metadata(request *frontend.Request) frontend.Metadata {
	claims := c.NativeProtocol.Metadata(request)
	claims.AttemptName = request.Header.Get(stubserver.IDHeader)
	return claims
}

// namedUpstreams name in each answer the request that it belongs to.
type namedUpstreams struct{ backend.NativeProtocol }

var _ backend.RequestNamer = namedUpstreams{}

// RequestName gives that name.
func (namedUpstreams) RequestName(answer *http.Response) string { return answer.Header.Get(strayName) }

// Interpret reads whose answer it is.
func (u namedUpstreams) Interpret(answer *http.Response, forward message.Forward, _ backend.Target) backend.ResponseMetadata {
	return backend.ResponseMetadata{OtherRequest: u.RequestName(answer) != "" && u.RequestName(answer) != forward.AttemptName}
}

// upstreamStream is what an upstream has put on one connection and nobody has read.
type upstreamStream struct {
	pieces [][]byte
	late   []byte // comes once the next request is on its way
	ended  bool   // the upstream has closed it
	kept   bool   // it may carry another request
}

// Read gives one piece; with none left, the time is up.
func (s *upstreamStream) Read(into []byte) (int, error) {
	if len(s.pieces) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		return 0, os.ErrDeadlineExceeded
	}
	size := copy(into, s.pieces[0])
	if s.pieces[0] = s.pieces[0][size:]; len(s.pieces[0]) == 0 {
		s.pieces = s.pieces[1:]
	}
	return size, nil
}

// quiet says that nothing has arrived on the connection that the proxy sees before it sends.
func (s *upstreamStream) quiet() bool {
	return s == nil || !s.ended && (len(s.pieces) == 0 || !safeguard.QuietConnection.On())
}

// sent notes that a request has gone out: what was late comes first.
func (s *upstreamStream) sent(w *World) {
	if s.late != nil {
		s.pieces, s.late = append(s.pieces, s.late), nil
		w.dangers[dangerStray]++
	}
}

// answerBytes is an answer as it stands on the connection; without a name where that is "".
func answerBytes(name string, outcome message.Outcome) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", outcome.Status, len(outcome.Body))
	if name != "" {
		head += strayName + ": " + name + "\r\n"
	}
	for _, line := range outcome.Headers {
		head += line.Name + ": " + line.Value + "\r\n"
	}
	return append([]byte(head+"\r\n"), outcome.Body...)
}

// say puts a run's whole answer on the connection and has the serving proxy read it. It
// gives the outcome as the proxy has it, and whether the answer went out whole.
func (s *upstreamStream) say(w *World, strays bool, order backend.Decision, outcome message.Outcome) (read message.Outcome, whole bool) {
	name := order.Forward.AttemptName
	own := answerBytes(name, outcome)
	stray := answerBytes(name, message.Outcome{Status: http.StatusOK, Body: []byte("a stray answer of " + name)})
	whole = true
	chosen := -1
	if strays && w.random.Float64() < strayShare {
		chosen = w.random.IntN(5)
	}
	switch chosen {
	case 0: // behind it, in one piece
		s.pieces = append(s.pieces, append(own, stray...))
	case 1: // behind it, a moment later: before the next request
		s.pieces = append(s.pieces, own, stray)
		w.dangers[dangerBehind]++
	case 2: // in the place of the next one
		s.pieces, s.late = append(s.pieces, own), stray
	case 3: // the same, without a name
		s.pieces, s.late = append(s.pieces, own), answerBytes("", message.Outcome{Status: http.StatusOK, Body: []byte("nobody's answer")})
	case 4: // half of it, and the end
		s.pieces, s.ended, whole = append(s.pieces, own[:len(own)-2]), true, false
	default:
		s.pieces = append(s.pieces, own)
	}
	pairing := backend.ResponseMatcher{Protocol: namedUpstreams{}, Forward: order.Forward, Target: order.Target, NamedResponses: true}
	found, err := pairing.Read(backend.NewResponseReader(s))
	s.kept = err == nil && found.Keep
	if err != nil {
		return message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.CodeOf(err))}, whole
	}
	for index, line := range found.Outcome.Headers {
		if line.Name == strayName {
			found.Outcome.Headers = append(found.Outcome.Headers[:index:index], found.Outcome.Headers[index+1:]...)
			break
		}
	}
	return found.Outcome, whole
}

// answerFaults returns the faults of answers and connections, by the name that plans use.
func answerFaults() map[string]fault {
	return map[string]fault{
		"answers-stray":     func(w *World, step Step) { w.strayUntil = max(w.strayUntil, w.now+step.For) },
		"connections-break": func(w *World, _ Step) { w.breakConnections() },
	}
}

// breakConnections ends some of the connections between proxies, as resets would.
func (w *World) breakConnections() {
	for _, node := range w.nodesOf(message.RoleProxy) {
		for _, connection := range node.connections {
			if !connection.attached || connection.closed || w.random.Float64() >= brokenShare {
				continue
			}
			w.dangers[dangerAsked] += node.tracker.AttemptsOn(connection)
			connection.drop()
			w.record.Disconnected = append(w.record.Disconnected,
				checker.Span{Name: connection.to.machine, From: w.now, To: w.now + brokenHold})
		}
	}
}

// brokenHold is how long an answer may take round a broken connection: its end is told
// some time later, then it is asked about.
const brokenHold = 300 * time.Millisecond

// countUnsure counts, from the record, the once-only requests whose answer was lost.
func (w *World) countUnsure(runs map[string]int) {
	for _, asked := range w.record.Requests {
		if asked.Once && runs[asked.ID] > 0 && (asked.Connection || asked.Code/100 == 32) {
			w.dangers[dangerUnsure]++
		}
	}
}
