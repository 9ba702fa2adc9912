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
	// maxHeadBytes limits a response head. Together with the limit on the body it limits a response.
	maxHeadBytes = 64 << 10

	// maxInterimResponses limits the interim (1xx) responses before a final response.
	maxInterimResponses = 8
)

// Causes for which a response is malformed.
var (
	errTooManyInterim = fmt.Errorf("no final response after %d interim (1xx) responses", maxInterimResponses)
	errUnframed       = errors.New("response body has neither a content length nor chunked encoding")
)

// statusError reports a status that is invalid in a final response.
type statusError struct{ status int }

func (e statusError) Error() string {
	return fmt.Sprintf("invalid status %d in a response: expected 100 to 599 except 101", e.status)
}

// ResponseReader reads responses from a connection and limits the size of each.
type ResponseReader struct {
	limit  *io.LimitedReader
	reader *bufio.Reader
}

// NewResponseReader returns a reader of the responses in a stream.
func NewResponseReader(stream io.Reader) *ResponseReader {
	limit := &io.LimitedReader{R: stream}
	return &ResponseReader{limit: limit, reader: bufio.NewReader(limit)}
}

// readWhole reads one complete response and its body. A response is complete only if its head is valid
// and a content length or chunked encoding delimits its body.
func (m ResponseMatcher) readWhole(responses *ResponseReader) (*http.Response, []byte, error) {
	response, err := readFinalResponse(responses.reader, m.request)
	if err != nil {
		return nil, nil, errcode.Wrap("backend.head", headErrorCode(err), err)
	}
	// Closing the body does not close the connection.
	defer func() { _ = response.Body.Close() }()
	if !isFramed(response, m.Forward.Method) && safeguard.WholeAnswer.On() {
		return nil, nil, errcode.Wrap("backend.body", errcode.AnswerMalformed, errUnframed)
	}
	if response.ContentLength > m.Forward.MaxResponseBytes {
		return nil, nil, errcode.Wrap("backend.body", errcode.AnswerTooLarge, nil)
	}
	body, err := m.memory.read(response, m.Forward.MaxResponseBytes, m.deadline)
	if err != nil && safeguard.WholeAnswer.On() {
		return nil, nil, errcode.Wrap("backend.body", errcode.AnswerMalformed, err)
	}
	if int64(len(body)) > m.Forward.MaxResponseBytes {
		m.memory.release(int64(len(body)))
		return nil, nil, errcode.Wrap("backend.body", errcode.AnswerTooLarge, nil)
	}
	return response, body, nil
}

// headErrorCode returns UnknownOutcome for a closed or broken connection, and AnswerMalformed for bytes
// that are not a valid response head.
func headErrorCode(err error) errcode.Code {
	var networkError *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &networkError) {
		return errcode.UnknownOutcome
	}
	return errcode.AnswerMalformed
}

// readFinalResponse reads the head of a final response, and skips up to maxInterimResponses interim ones.
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

// isFramed reports whether the end of the body can be distinguished from a lost connection.
func isFramed(response *http.Response, method string) bool {
	bodiless := method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
	chunked := len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
	return bodiless || chunked || response.ContentLength >= 0
}
