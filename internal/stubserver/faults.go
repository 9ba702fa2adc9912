package stubserver

import (
	"fmt"
	"math/rand/v2"
	"net/http"
)

// OtherStatuses are the statuses besides 200 with which a stub server may answer. An upstream's error
// statuses are complete answers too, which the mesh has to deliver.
var OtherStatuses = []int{
	http.StatusCreated,
	http.StatusNotFound,
	http.StatusUnprocessableEntity,
	http.StatusInternalServerError,
	http.StatusServiceUnavailable,
}

// UsualOtherShare is the share of runs that are answered with one of OtherStatuses in load tests and in
// the simulator.
const UsualOtherShare = 1.0 / 12

// Status draws the status of an answer: one of OtherStatuses with probability otherShare, otherwise 200.
// uniform returns numbers that are uniformly distributed in [0, 1), as rand.Float64 does.
func Status(uniform func() float64, otherShare float64) int {
	chance := uniform()
	if chance >= otherShare {
		return http.StatusOK
	}
	return OtherStatuses[int(chance/otherShare*float64(len(OtherStatuses)))]
}

// Faults are the shares of runs that fail in each way, between 0 and 1.
type Faults struct {
	Lose     float64 // run the request, then close the connection without an answer
	Garbage  float64 // answer with bytes that are not HTTP
	Truncate float64 // send fewer bytes than Content-Length
	Excess   float64 // send more bytes than Content-Length
	Slow     float64 // take slowFactor times as long
}

// slowFactor is the factor by which the work of a slow run takes longer.
const slowFactor = 10

// draw decides at random whether a run's answer is faulty. It returns the raw bytes to send in place of
// the answer, which are empty if the answer is lost.
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

// writeRaw writes bytes to the connection, bypassing the HTTP server, and closes it.
func writeRaw(out http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write([]byte(raw)) // the caller may have closed the connection
	conn.Close()
}
