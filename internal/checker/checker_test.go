// These tests guard against a check that never reports anything: a valid record passes, and for each
// rule one changed entry of the record is reported as a violation of that rule.
package checker

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const sec = time.Second

// validRecord returns a record that violates no rule.
func validRecord() Record {
	return Record{
		Requests: []CallerRequest{
			{
				ID: "a", Proxy: "e1", Route: "send", Service: "pay", Tenant: "t", Caller: "c", Key: "k", Once: true,
				Sent: 10 * sec, Done: 11 * sec, Status: 200, Body: "by one", ResponseMark: "m",
			},
			{
				ID: "b", Proxy: "e1", Route: "send", Service: "pay", Tenant: "t", Caller: "c", Key: "k", Once: true,
				Sent: 12 * sec, Done: 12 * sec, Status: 503, Code: 3103, Retry: true,
			},
		},
		Executions: []Execution{{
			ID: "a", Service: "pay", Instance: "one", Tenant: "t", Caller: "c",
			At: 10 * sec, ResponseSent: 11 * sec, Answer: "by one", Status: 200, ResponseMark: "m", Incarnation: 1, ServingProxy: "e1",
		}},
		Writes: []Write{
			{
				ConfigName: "main", Version: 1, At: sec, Services: map[string]string{"send": "pay"},
				Keys: map[string]string{"k": "t", "old": "t"}, Digest: "one",
			},
			{
				ConfigName: "main", Version: 2, At: 3 * sec, Services: map[string]string{"send": "pay"},
				Keys: map[string]string{"k": "t"}, Digest: "two",
			},
		},
		Activations: []Activation{
			{Node: "e1", ConfigName: "main", Version: 1, At: sec},
			{Node: "e1", ConfigName: "main", Version: 2, At: 4 * sec},
		},
		Up:          []Span{{Name: "e1", From: 0, To: 60 * sec}},
		DrainStarts: []DrainStart{{Service: "pay", Instance: "one", Incarnation: 1, At: 20 * sec}},
		Reported: []Reported{
			{Window: 2, From: "s1", Counts: map[string]int64{"t": 1}, At: 16 * sec, End: 15 * sec},
			{Window: 2, From: "s2", Counts: map[string]int64{"t": 1}, At: 17 * sec, End: 15 * sec},
		},
		LeaseTenures: []LeaseTenure{
			{LeaseName: "x", Voter: "s1", Epoch: 1, At: sec},
			{LeaseName: "x", Voter: "s2", Epoch: 2, At: 10 * sec},
			{LeaseName: "x", Voter: "s1", Epoch: 3, At: 20 * sec},
		},
		HolderActions: []LeaseTenure{
			{LeaseName: "x", Voter: "s1", Epoch: 1, At: sec},
			{LeaseName: "x", Voter: "s2", Epoch: 2, At: 11 * sec},
		},
		StoredUsage: []Reported{{Window: 2, From: "s3", Counts: map[string]int64{"t": 1}}},
		StoredVersions: []StoredVersion{
			{"s1", "main", 1, "one"}, {"s1", "main", 2, "two"}, {"s2", "main", 2, "two"}, {"s2", "main", 1, "one"},
		},
		RetainedVersions: 16,
		End:              60 * sec,
		Bounds:           BriefBounds(true),
		Window:           5 * sec,
	}
}

func TestEachCheckCanFail(t *testing.T) {
	c := qt.New(t)
	c.Assert(Check(validRecord()).Violations, qt.HasLen, 0)
	for rule, breakRule := range map[string]func(r *Record){
		"once": func(r *Record) { r.Executions = append(r.Executions, r.Executions[0]) },
		"busy-ran": func(r *Record) {
			r.Executions = append(r.Executions, Execution{ID: "b", Service: "pay", Tenant: "t", Caller: "c"})
		},
		"retry-after":        func(r *Record) { r.Requests[1].Retry = false },
		"own-answer":         func(r *Record) { r.Requests[0].Body = "by another" },
		"answer-hold":        func(r *Record) { r.Requests[0].Done += 300 * time.Millisecond },
		"stray":              func(r *Record) { r.Executions = append(r.Executions, Execution{ID: "?"}) },
		"identity":           func(r *Record) { r.Executions[0].Tenant = "other" },
		"key-seen":           func(r *Record) { r.Executions[0].KeySeen = true },
		"landing":            func(r *Record) { r.Executions[0].Service = "other" },
		"configuration-late": func(r *Record) { r.Activations[1].At = 6 * sec },
		"configuration-slip": func(r *Record) {
			r.Activations = append(r.Activations, Activation{Node: "e1", ConfigName: "main", Version: 1, At: 9 * sec})
		},
		"configuration-lost": func(r *Record) { r.StoredVersions = r.StoredVersions[:3] },
		"key-late":           func(r *Record) { r.Requests[0].Key = "old" },
		"drain-late":         func(r *Record) { r.DrainStarts[0].At = 7 * sec },
		"usage-late":         func(r *Record) { r.Reported[0].At = 26 * sec },
		"usage-twice":        func(r *Record) { r.Reported[1].Counts = map[string]int64{"t": 2} },
		"usage-off":          func(r *Record) { r.Reported[0].Counts["t"], r.Reported[1].Counts["t"] = 5, 5 },
		"back-and-forth":     func(r *Record) { r.LeaseTenures[2].At = 12 * sec },
		"two-holders":        func(r *Record) { r.LeaseTenures[2].Epoch = 2 },
		"stale-act": func(r *Record) {
			r.HolderActions = append(r.HolderActions, LeaseTenure{LeaseName: "x", Voter: "s1", Epoch: 1, At: 12 * sec})
		},
		"slots": func(r *Record) { r.Peaks = []Peak{{Instance: "one", MaxRunning: 5, Slots: 4}} },
		"dropped": func(r *Record) {
			r.Requests[0].Connection, r.Requests[0].Done = true, 0
			r.Stopped = []Span{{Name: "e1", From: 11 * sec, To: 12 * sec}}
		},
		"dropped ": func(r *Record) {
			r.Requests[0].Code, r.Requests[0].Status, r.Requests[0].Done = 3201, 502, 12*sec
		},
		"own-answer ":         func(r *Record) { r.Requests[0].Status = 201 },
		"own-answer  ":        func(r *Record) { r.Requests[0].ResponseMark = "other" },
		"configuration-lost ": func(r *Record) { r.StoredVersions[2].Digest = "other" },
		"usage-twice ":        func(r *Record) { r.StoredUsage[0].Counts = map[string]int64{"t": 2} },
		"usage-missing":       func(r *Record) { r.Reported = nil },
		"usage-missing ":      func(r *Record) { r.Reported = append(r.Reported, Reported{Window: 4, Counts: map[string]int64{}}) },
		"usage-off ": func(r *Record) {
			r.Reported[0].Counts, r.Reported[1].Counts = map[string]int64{"other": 1}, map[string]int64{"other": 1}
		},
		"retry-share ": func(r *Record) {
			for range 12 {
				r.Attempts = append(r.Attempts, Attempt{Service: "pay", At: sec, Retry: true})
			}
		},
		"retry-share": func(r *Record) {
			r.Requests[0].Once = false
			for range 12 {
				r.Executions = append(r.Executions, r.Executions[0])
			}
		},
	} {
		record := validRecord()
		breakRule(&record)
		rules := map[string]bool{}
		for _, violation := range Check(record).Violations {
			rules[violation.Rule] = true
		}
		c.Check(rules[strings.TrimSpace(rule)], qt.IsTrue, qt.Commentf("the record violates %s, the review reports %v", rule, rules))
	}
}
