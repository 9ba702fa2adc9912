package api

import (
	"net/http"

	"github.com/gorilla/mux"

	"beaconvane/internal/errcode"
	"beaconvane/internal/node"
)

// processCounters is the body of a core program's counters.
type processCounters struct {
	Process map[string]int64 `json:"process"`
}

// journalResponse is the body of the journal.
type journalResponse struct {
	Entries []node.Entry `json:"entries"`
}

// addCommonRoutes adds the paths that every program has; counters returns the body of one of them.
func addCommonRoutes(router *mux.Router, prefix string, process *node.Node, counters func() any) {
	router.HandleFunc(prefix+"/live", func(out http.ResponseWriter, _ *http.Request) {
		WriteCode(out, errcode.OK, "live")
	}).Methods(http.MethodGet)
	router.HandleFunc(prefix+"/counters", func(out http.ResponseWriter, _ *http.Request) {
		writeJSON(out, http.StatusOK, counters())
	}).Methods(http.MethodGet)
	router.HandleFunc(prefix+"/journal", func(out http.ResponseWriter, _ *http.Request) {
		writeJSON(out, http.StatusOK, journalResponse{Entries: process.Journal()})
	}).Methods(http.MethodGet)
}
