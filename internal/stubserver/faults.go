package stubserver

import (
	"fmt"
	"math/rand/v2"
	"net/http"
)

// OtherStatuses are the statuses besides 200 that a stub server may answer with: its own refusals
// and failures are whole answers too.
var OtherStatuses = []int{
	http.StatusCreated,
	http.StatusNotFound,
	http.StatusUnprocessableEntity,
	http.StatusInternalServerError,
	http.StatusServiceUnavailable,
}

// UsualOtherShare is the share of runs that load tests and the simulator answer with one of
// OtherStatuses.
const UsualOtherShare = 1.0 / 12

// Status draws the status of an answer: 200, or for a share of them one of OtherStatuses.
// It takes a source of uniform numbers from 0 to 1, as rand.Float64 is.
func Status(uniform func() float64, otherShare float64) int {
	chance := uniform()
	if chance >= otherShare {
		return http.StatusOK
	}
	return OtherStatuses[int(chance/otherShare*float64(len(OtherStatuses)))]
}

// Faults are shares of runs that go wrong, each between 0 and 1.
type Faults struct {
	Lose     float64 // run, then close without an answer
	Garbage  float64 // bytes that are no HTTP
	Truncate float64 // fewer bytes than the length says
	Excess   float64 // more bytes than the length says
	Slow     float64 // ten times the work
}

// slowFactor is how many times as long a slow run takes.
const slowFactor = 10

// draw decides by chance whether a run goes wrong, and returns the bytes that it sends then; none
// where the answer is lost.
func (f Faults) draw(answer string) (raw string, faulty bool) {
	switch chance := rand.Float64(); {
	case chance < f.Lose:
		return "", true
	case chance < f.Lose+f.Garbage:
		return "\x00\x01 this is no answer\r\n\r\n", true
	case chance < f.Lose+f.Garbage+f.Truncate:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer)+50, answer), true
	case chance < f.Lose+f.Garbage+f.Truncate+f.Excess:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s and more", len(answer), answer), true
	}
	return "", false
}

// writeRaw writes bytes past the HTTP server, and closes the connection.
func writeRaw(out http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write([]byte(raw)) // the caller may have gone
	conn.Close()
}
