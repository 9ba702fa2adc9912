// Golden tests of the result codes: their numbers, names, texts and HTTP statuses, and the responses
// that contain them.
package golden_test

import (
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/api"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/golden"
)

// sortedCodes returns every result code in ascending order.
func sortedCodes() []errcode.Code { return slices.Sorted(maps.Keys(errcode.Entries)) }

// TestCodes records the number, name, HTTP status and text of each code.
func TestCodes(t *testing.T) {
	c := qt.New(t)
	text := strings.Builder{}
	for _, code := range sortedCodes() {
		entry := errcode.Entries[code]
		fmt.Fprintf(&text, "%d %s %d %d %s\n", code, entry.Name, entry.Status, code.Status(), entry.Text)
	}
	golden.Check(c, "codes.txt", text.String())
}

// TestCodeResponses records the response of the API paths for each code.
func TestCodeResponses(t *testing.T) {
	c := qt.New(t)
	text := strings.Builder{}
	for _, code := range sortedCodes() {
		recorder := httptest.NewRecorder()
		api.WriteCode(recorder, code, "a detail")
		text.WriteString(golden.Response(recorder.Code, recorder.Result().Header, recorder.Body.String()))
	}
	golden.Check(c, "code-answers.txt", text.String())
}

// TestCallerRefusalResponses records the response that a caller gets for each code in the native
// protocol.
func TestCallerRefusalResponses(t *testing.T) {
	c := qt.New(t)
	text := strings.Builder{}
	for _, code := range sortedCodes() {
		recorder := httptest.NewRecorder()
		frontend.NativeProtocol{}.WriteResponse(recorder, frontend.NewRefusal(code))
		text.WriteString(golden.Response(recorder.Code, recorder.Result().Header, recorder.Body.String()))
	}
	golden.Check(c, "caller-refusals.txt", text.String())
}

// TestErrorTexts records the text of an error with a code, and of an error that wraps another one.
func TestErrorTexts(t *testing.T) {
	c := qt.New(t)
	inner := errcode.Wrap("storage.sync", errcode.DiskFault, nil)
	outer := errcode.Wrap("node.run", errcode.Internal, inner)
	golden.Check(c, "error-texts.txt", inner.Error()+"\n"+outer.Error()+"\n")
}
