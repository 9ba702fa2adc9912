package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"beaconvane/internal/errcode"
	"beaconvane/internal/safeguard"
)

const (
	// maxHeadBytes bounds an answer's head, and with the cap on its body the whole answer.
	maxHeadBytes = 64 << 10

	// maxInterimResponses is how many interim answers (1xx) are read before an answer is given up.
	maxInterimResponses = 8
)

// Why an answer can't be read.
var (
	errTooManyInterim = errors.New("too many interim answers")
	errUnframed       = errors.New("neither length nor chunks")
)

// statusError is an answer whose status no final answer has.
type statusError struct{ status int }

func (e statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

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

// readWhole reads one answer to its end. An answer is whole only if its head can be read, and a
// length or chunks tell where its body ends.
func (m ResponseMatcher) readWhole(responses *ResponseReader) (*http.Response, []byte, error) {
	response, err := readFinalResponse(responses.reader, m.request)
	if err != nil {
		return nil, nil, errcode.Wrap("backend.head", headErrorCode(err), err)
	}
	// Its body reads from the connection, which outlives it.
	defer func() { _ = response.Body.Close() }()
	if !isFramed(response, m.Forward.Method) && safeguard.WholeAnswer.On() {
		return nil, nil, errcode.Wrap("backend.body", errcode.AnswerMalformed, errUnframed)
	}
	if response.ContentLength > m.Forward.MaxResponseBytes {
		return nil, nil, errcode.Wrap("backend.body", errcode.AnswerTooLarge, nil)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, m.Forward.MaxResponseBytes+1))
	if err != nil && safeguard.WholeAnswer.On() {
		return nil, nil, errcode.Wrap("backend.body", errcode.AnswerMalformed, err)
	}
	if int64(len(body)) > m.Forward.MaxResponseBytes {
		return nil, nil, errcode.Wrap("backend.body", errcode.AnswerTooLarge, nil)
	}
	return response, body, nil
}

// headErrorCode tells a connection that ended from bytes that are no answer.
func headErrorCode(err error) errcode.Code {
	var networkError *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &networkError) {
		return errcode.UnknownOutcome
	}
	return errcode.AnswerMalformed
}

// readFinalResponse reads the head of a final answer, and passes over interim ones.
func readFinalResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols || response.StatusCode < 100 || response.StatusCode > 599:
			return nil, statusError{response.StatusCode}
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, errTooManyInterim
}

// isFramed reports whether the end of the body can be told from a broken connection.
func isFramed(response *http.Response, method string) bool {
	bodiless := method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
	chunked := len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
	return bodiless || chunked || response.ContentLength >= 0
}
