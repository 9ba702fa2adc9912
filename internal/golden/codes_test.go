// Result codes: their numbers, names, texts and HTTP statuses, and the bodies that bear them.
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

func codes() []errcode.Code { return slices.Sorted(maps.Keys(errcode.Entries)) }

func TestCodes(t *testing.T) {
	c := qt.New(t)
	text := strings.Builder{}
	for _, code := range codes() {
		entry := errcode.Entries[code]
		fmt.Fprintf(&text, "%d %s %d %d %s\n", code, entry.Name, entry.Status, code.Status(), entry.Text)
	}
	golden.Check(c, "codes.txt", text.String())
}

// A code as the answer of the programs' own paths.
func TestCodeAnswers(t *testing.T) {
	c := qt.New(t)
	text := strings.Builder{}
	for _, code := range codes() {
		out := httptest.NewRecorder()
		api.WriteCode(out, code, "a detail")
		text.WriteString(golden.Response(out.Code, out.Result().Header, out.Body.String()))
	}
	golden.Check(c, "code-answers.txt", text.String())
}

// A code as the refusal of a caller's request, in the product's own protocol.
func TestRefusalsOfCallers(t *testing.T) {
	c := qt.New(t)
	text := strings.Builder{}
	for _, code := range codes() {
		out := httptest.NewRecorder()
		frontend.NativeProtocol{}.WriteResponse(out, frontend.NewRefusal(code))
		text.WriteString(golden.Response(out.Code, out.Result().Header, out.Body.String()))
	}
	golden.Check(c, "caller-refusals.txt", text.String())
}

// The text of an error that carries a code.
func TestErrorTexts(t *testing.T) {
	c := qt.New(t)
	inner := errcode.Wrap("storage.sync", errcode.DiskFault, nil)
	outer := errcode.Wrap("node.run", errcode.Internal, inner)
	golden.Check(c, "error-texts.txt", inner.Error()+"\n"+outer.Error()+"\n")
}
