package api

import (
	"encoding/json"
	"net/http"
	"strconv"

	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
)

// retryAfterSeconds is the Retry-After header of a 503 response. Such a request had no effect and may be
// retried.
const retryAfterSeconds = "1"

// codeResponse is the body of a response that consists of a result code and a detail.
type codeResponse struct {
	Code   errcode.Code `json:"code"`
	Detail string       `json:"detail"`
	Result string       `json:"result"`
}

// WriteCode responds with a result code: its HTTP status, its headers and a JSON body.
func WriteCode(out http.ResponseWriter, code errcode.Code, detail string) {
	setCodeHeaders(out, code)
	writeJSON(out, code.Status(), codeResponse{Code: code, Detail: detail, Result: code.String()})
}

// setCodeHeaders sets the header fields of a result code. OK has none.
func setCodeHeaders(out http.ResponseWriter, code errcode.Code) {
	if code == errcode.OK {
		return
	}
	out.Header().Set(frontend.CodeHeader, strconv.Itoa(int(code)))
	if code.Status() == http.StatusServiceUnavailable {
		out.Header().Set("Retry-After", retryAfterSeconds)
	}
}

// writeJSON responds with a body encoded as JSON. A write error is ignored, since it means that the
// caller has disconnected.
func writeJSON(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}
