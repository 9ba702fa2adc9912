package api

import (
	"encoding/json"
	"net/http"
	"strconv"

	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
)

// retryAfterSeconds is what a 503 answer, with which nothing was done yet, tells the caller.
const retryAfterSeconds = "1"

// codeResponse is the body of an answer that is only a result code.
type codeResponse struct {
	Code   errcode.Code `json:"code"`
	Detail string       `json:"detail"`
	Result string       `json:"result"`
}

// WriteCode answers with a result code: its HTTP status, its header and a JSON body.
func WriteCode(out http.ResponseWriter, code errcode.Code, detail string) {
	setCodeHeaders(out, code)
	writeJSON(out, code.Status(), codeResponse{Code: code, Detail: detail, Result: code.String()})
}

// setCodeHeaders sets the header fields of a refusal; an answer with the code OK has none.
func setCodeHeaders(out http.ResponseWriter, code errcode.Code) {
	if code == errcode.OK {
		return
	}
	out.Header().Set(frontend.CodeHeader, strconv.Itoa(int(code)))
	if code.Status() == http.StatusServiceUnavailable {
		out.Header().Set("Retry-After", retryAfterSeconds)
	}
}

// writeJSON answers with a body as JSON. A failure is not reported: the caller has gone.
func writeJSON(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}
