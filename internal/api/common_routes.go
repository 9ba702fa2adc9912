package api

import (
	"net/http"

	"github.com/gorilla/mux"

	"beaconvane/internal/errcode"
	"beaconvane/internal/node"
)

// processCounters is the response body of the counters route of a core program.
type processCounters struct {
	Process map[string]int64 `json:"process"`
}

// journalResponse is the response body of the journal route.
type journalResponse struct {
	Entries []node.Entry `json:"entries"`
}

// addCommonRoutes adds the routes that every program serves: live, counters and journal. The counters
// function returns the response body of the counters route.
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
