package soak

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// soundRun returns the observations of a run that broke no rule: two versions, calm from 30 s on, and all
// keys taken away at 60 s.
func soundRun() *observations {
	first, second := newConfiguration(3), newConfiguration(4)
	seen := &observations{startedAt: time.Now(), calmFrom: 30 * time.Second, revokedAt: 60 * time.Second}
	seen.writes = []write{
		{version: 3, content: first, body: string(first.encode()), valid: true, sentAt: 0, endedAt: time.Second, status: 200},
		{
			version: 4, content: second, body: string(second.encode()), valid: true, sentAt: 40 * time.Second, endedAt: 41 * time.Second,
			status: 200,
		},
		{
			version: 5, body: string(newConfiguration(5).invalid().encode()),
			sentAt: 41 * time.Second, endedAt: 41 * time.Second, status: 422,
		},
	}
	seen.reads = []read{{sentAt: 50 * time.Second, status: 200, version: 4, body: string(second.encode())}}
	seen.serve("before", 10*time.Second, serviceOf(3))
	for number := range 10 {
		seen.serve(string(rune('a'+number)), 50*time.Second, serviceOf(4))
	}
	return seen
}

// serve adds a request to the main route that a service runs and answers.
func (o *observations) serve(id string, at time.Duration, service string) {
	o.executions = append(o.executions, execution{id: id, service: service, instance: service + "-0/1", path: mainPath, at: at})
	o.requests = append(o.requests, request{
		id: id, proxy: "p", path: mainPath, key: tenantKey, sentAt: at, endedAt: at + time.Millisecond, status: 200,
		answer: answerText(service, id), answered: true,
	})
}

// serveFor adds a request to the main route of an authority that a service runs and answers.
func (o *observations) serveFor(host, id string, at time.Duration, service string) {
	o.serve(id, at, service)
	o.requests[len(o.requests)-1].host = host
}

// addSilent adds requests that a machine in touch never answers.
func (o *observations) addSilent(count int) {
	for range count {
		o.requests = append(o.requests, request{
			id: "silent", proxy: "p", path: oncePath, sentAt: 40 * time.Second, endedAt: 44 * time.Second,
		})
	}
}

// brokenRules returns the rules that a run broke.
func brokenRules(seen *observations) []Rule {
	rules := []Rule{}
	for _, violation := range seen.judge(func(bound time.Duration) time.Duration { return bound }) {
		if !slices.Contains(rules, violation.Rule) {
			rules = append(rules, violation.Rule)
		}
	}
	return rules
}

// The judge finds each rule that is broken, and nothing in a sound run: a soak that finds nothing on faulty
// programs proves nothing.
func TestJudgeFindsEachBrokenRule(t *testing.T) {
	c := qt.New(t)
	c.Assert(brokenRules(soundRun()), qt.HasLen, 0)
	const calm = 50 * time.Second
	for name, test := range map[string]struct {
		rule Rule
		do   func(seen *observations)
	}{
		"runs twice": {RuleOnce, func(seen *observations) {
			seen.serve("twice", calm, serviceOf(4))
			seen.requests[len(seen.requests)-1].once = true
			seen.executions = append(seen.executions, seen.executions[len(seen.executions)-1])
		}},
		"another's answer":     {RuleAnswer, func(seen *observations) { seen.requests[1].answer = seen.requests[2].answer }},
		"part of the answer":   {RuleAnswer, func(seen *observations) { seen.requests[1].answer = seen.requests[1].answer[:3] }},
		"answer without a run": {RuleAnswer, func(seen *observations) { seen.executions = seen.executions[:1] }},
		"key shown":            {RuleKey, func(seen *observations) { seen.executions[0].keySeen = true }},
		"unknown key":          {RuleKey, func(seen *observations) { seen.requests[0].key = unknownKey }},
		"removed key":          {RuleKey, func(seen *observations) { seen.serve("late", 66*time.Second, serviceOf(4)) }},
		"invalid acknowledged": {RuleInvalid, func(seen *observations) { seen.writes[2].status = 200 }},
		"invalid in force":     {RuleInvalid, func(seen *observations) { seen.serve("bad", 10*time.Second, forbiddenService) }},
		"other content read":   {RuleInvalid, func(seen *observations) { seen.reads[0].body = "{}" }},
		"unknown version read": {RuleInvalid, func(seen *observations) { seen.reads[0].version = 5 }},
		"older version read": {RuleInForce, func(seen *observations) {
			seen.reads[0].version, seen.reads[0].body = 3, string(newConfiguration(3).encode())
		}},
		"older version in force": {RuleInForce, func(seen *observations) { seen.serve("old", calm, serviceOf(3)) }},
		"added route not served": {RuleInForce, func(seen *observations) {
			seen.requests = append(seen.requests, request{
				id: "added", path: addedPath(4), key: tenantKey, sentAt: calm, endedAt: calm, status: notFoundStatus, answered: true,
			})
		}},
		"new work after the sign-off": {RuleDrain, func(seen *observations) {
			seen.signOffs = []signOff{{serviceOf(4) + "-0/1", calm - 3*time.Second, calm + time.Second}}
		}},
		"empty success": {RuleAnswer, func(seen *observations) { seen.requests[1].answer = "" }},
		"new work after leaving": {RuleDrain, func(seen *observations) {
			seen.leavings = []leavingNotice{{serviceOf(4) + "-0/1", calm - 3*time.Second, calm + time.Second}}
			seen.disrupted = []time.Duration{calm - contactTime - time.Millisecond}
		}},
		"service of the authority without the port": {RuleRoute, func(seen *observations) {
			seen.serveFor(portHost, "port", calm, serviceOf(4))
		}},
		"authority of no configuration": {RuleRoute, func(seen *observations) {
			seen.serveFor(neverHost, "never", calm, serviceOf(4))
		}},
		"authority of a later configuration": {RuleRoute, func(seen *observations) {
			seen.serveFor(casedHost, "later", 39*time.Second, authorityService)
		}},
		"memory": {RuleMemory, func(seen *observations) { seen.excesses = []excess{{"proxy edge-1", 300, proxyMemory, calm}} }},
		"no final answer": {RuleFinal, func(seen *observations) {
			seen.addSilent(minUnanswered)
		}},
		"no service": {RuleRecovery, func(seen *observations) {
			seen.requests = append(seen.requests, request{
				id: "refused", proxy: "q", path: mainPath, key: tenantKey, sentAt: calm, endedAt: calm, status: 503, answered: true,
			})
		}},
	} {
		seen := soundRun()
		test.do(seen)
		c.Check(brokenRules(seen), qt.DeepEquals, []Rule{test.rule}, qt.Commentf(name))
	}
}

// What the bounds and excuses allow breaks no rule.
func TestJudgeKeepsToBoundsAndExcuses(t *testing.T) {
	c := qt.New(t)
	for name, do := range map[string]func(seen *observations){
		"older version while machines are out of touch": func(seen *observations) { seen.serve("old", 35*time.Second, "delta") },
		"older version just after the acknowledgement":  func(seen *observations) { seen.serve("old", 42*time.Second, serviceOf(3)) },
		"removed key within the bound":                  func(seen *observations) { seen.serve("soon", 64*time.Second, serviceOf(4)) },
		"work just after the sign-off": func(seen *observations) {
			seen.signOffs = []signOff{{serviceOf(4) + "-0/1", 49 * time.Second, 53 * time.Second}}
		},
		"work for the next incarnation": func(seen *observations) {
			seen.signOffs = []signOff{{serviceOf(4) + "-0/1", 40 * time.Second, 44 * time.Second}}
		},
		"work just after leaving": func(seen *observations) {
			seen.leavings = []leavingNotice{{serviceOf(4) + "-0/1", 49 * time.Second, 53 * time.Second}}
		},
		"work after leaving while machines are out of touch": func(seen *observations) {
			seen.leavings = []leavingNotice{{serviceOf(4) + "-0/1", 46 * time.Second, 53 * time.Second}}
			seen.disrupted = []time.Duration{48 * time.Second}
		},
		"authority in capitals": func(seen *observations) {
			seen.serveFor("SHOP.EXAMPLE:8443", "capitals", 50*time.Second, authorityService)
		},
		"authority that was removed later": func(seen *observations) {
			seen.serveFor(portHost, "removed", 50*time.Second, authorityService)
		},
		"few requests without a final answer": func(seen *observations) {
			seen.addSilent(minUnanswered - 1)
		},
		"no service before the bound": func(seen *observations) {
			seen.requests = append(seen.requests, request{
				id: "refused", proxy: "q", path: mainPath, key: tenantKey, sentAt: 40 * time.Second, endedAt: 40 * time.Second, status: 503,
				answered: true,
			})
		},
	} {
		seen := soundRun()
		do(seen)
		c.Check(brokenRules(seen), qt.HasLen, 0, qt.Commentf(name))
	}
}
