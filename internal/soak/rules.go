package soak

import (
	"fmt"
	"strings"
	"time"
)

// Rule names a promise to callers, upstreams or operators.
type Rule string

// The rules that a soak judges.
const (
	RuleOnce     Rule = "ONCE"     // a request of an at-most-once route runs once at most
	RuleAnswer   Rule = "ANSWER"   // a caller gets the whole answer of a run of its own request
	RuleKey      Rule = "KEY"      // no upstream sees a key; no request with an invalid key runs
	RuleInvalid  Rule = "INVALID"  // no invalid configuration is acknowledged or in force
	RuleInForce  Rule = "IN-FORCE" // an acknowledged version is in force and read back in time
	RuleDrain    Rule = "DRAIN"    // an upstream gets no new work after its acknowledged sign-off
	RuleFinal    Rule = "FINAL"    // a request gets a final answer at its deadline
	RuleRoute    Rule = "ROUTE"    // a request runs at a service to which some configuration sends its authority
	RuleMemory   Rule = "MEMORY"   // no process holds more than its memory
	RuleRecovery Rule = "RECOVERY" // service is back in time after the machines are
)

// Bounds of the rules in time.
const (
	inForceBound    = 2 * time.Second
	contactTime     = 3 * time.Second
	drainBound      = 2 * time.Second
	revocationBound = 5 * time.Second
	recoveryBound   = 15 * time.Second
	finalSlack      = 500 * time.Millisecond
	drainSlack      = 300 * time.Millisecond
	readBound       = 2 * time.Second
)

// minUnanswered is the number of requests without a final answer from which FINAL is broken, if they are
// also more than a quarter of those that lasted longer than their deadline.
const minUnanswered = 8

// Violation is a broken rule.
type Violation struct {
	Rule    Rule
	At      time.Duration // since the start of the run
	Problem string
	Lines   []string // of the record
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f: %s\n    %s", v.Rule, v.At.Seconds(), v.Problem, strings.Join(v.Lines, "\n    "))
}

// judge checks the observations of a run against the rules, whose bounds in time are stretched.
type judge struct {
	seen    *observations
	stretch func(bound time.Duration) time.Duration

	violations []Violation
	writes     map[int64]write     // valid versions, by number
	runs       map[string]int      // runs by id of the request
	services   map[string][]string // services that ran a request, by its id
}

// maxViolations bounds the violations that are reported of each rule.
const maxViolations = 3

// contextLines is the number of lines of the record that a violation quotes.
const contextLines = 12

// Judge returns the violations of a run.
func (o *observations) judge(stretch func(bound time.Duration) time.Duration) []Violation {
	j := &judge{seen: o, stretch: stretch, writes: map[int64]write{}, runs: map[string]int{}, services: map[string][]string{}}
	for _, sent := range o.writes {
		if sent.valid {
			j.writes[sent.version] = sent
		}
	}
	for _, began := range o.executions {
		j.runs[began.id]++
		j.services[began.id] = append(j.services[began.id], began.service)
	}
	for _, check := range []func(){
		j.checkWrites, j.checkExecutions, j.checkRequests, j.checkReads, j.checkSignOffs, j.checkLeavings, j.checkAuthorities,
		j.checkMemory, j.checkFinalAnswers, j.checkRecovery,
	} {
		check()
	}
	return j.violations
}

// add adds a violation with the lines of the record that contain one of the texts.
func (j *judge) add(rule Rule, at time.Duration, problem string, mentions ...string) {
	count := 0
	for _, violation := range j.violations {
		if violation.Rule == rule {
			count++
		}
	}
	if count >= maxViolations {
		return
	}
	lines := j.seen.mentioning(contextLines, func(line string) bool {
		for _, mention := range mentions {
			if strings.Contains(line, mention) {
				return true
			}
		}
		return false
	})
	j.violations = append(j.violations, Violation{rule, at, problem, lines})
}

// checkWrites checks that no invalid configuration was acknowledged.
func (j *judge) checkWrites() {
	for _, sent := range j.seen.writes {
		if !sent.valid && sent.acknowledged() {
			problem := fmt.Sprintf("the invalid version %d was acknowledged", sent.version)
			j.add(RuleInvalid, sent.endedAt, problem, fmt.Sprintf("version %d,", sent.version))
		}
	}
}

// checkExecutions checks what upstreams saw.
func (j *judge) checkExecutions() {
	for _, began := range j.seen.executions {
		if began.service == forbiddenService {
			j.add(RuleInvalid, began.at, "a service that only invalid configurations name ran "+began.id, " "+began.id+" ")
		}
		if began.keySeen {
			j.add(RuleKey, began.at, began.instance+" saw a key of "+began.id, " "+began.id+" ")
		}
	}
}

// checkRequests checks the answer to each request.
func (j *judge) checkRequests() {
	for _, sent := range j.seen.requests {
		if sent.once && j.runs[sent.id] > 1 {
			j.add(RuleOnce, sent.sentAt, fmt.Sprintf("%s ran %d times", sent.id, j.runs[sent.id]), " "+sent.id+" ")
		}
		if sent.status == successStatus {
			j.checkAnswer(sent)
			j.checkRequestKey(sent)
		}
		j.checkVersion(sent)
	}
}

// successStatus is the status of an answer of the stand-in upstreams.
const successStatus = 200

// checkAnswer checks that an answer is that of a run of the request.
func (j *judge) checkAnswer(sent request) {
	for _, service := range j.services[sent.id] {
		if sent.answer == answerText(service, sent.id) {
			return
		}
	}
	j.add(RuleAnswer, sent.endedAt, fmt.Sprintf("%s got %q", sent.id, sent.answer), " "+sent.id+" ")
}

// checkRequestKey checks that no request with an invalid key was served.
func (j *judge) checkRequestKey(sent request) {
	if sent.key == unknownKey {
		j.add(RuleKey, sent.endedAt, sent.id+" was served with a key that no configuration has", " "+sent.id+" ")
	}
	if revoked := j.seen.revokedAt; revoked > 0 && sent.sentAt > revoked+j.stretch(revocationBound) {
		j.add(RuleKey, sent.endedAt, sent.id+" was served after all keys were taken away", " "+sent.id+" ", "operator writes")
	}
}

// inTouch reports whether all machines are in touch at a time.
func (j *judge) inTouch(at time.Duration) bool {
	return j.seen.calmFrom > 0 && at > j.seen.calmFrom+j.stretch(2*contactTime)
}

// newestAcknowledged returns the highest valid version that was acknowledged before a time, or 0.
func (j *judge) newestAcknowledged(before time.Duration) int64 {
	newest := int64(0)
	for version, sent := range j.writes {
		if sent.acknowledged() && sent.endedAt < before {
			newest = max(newest, version)
		}
	}
	return newest
}

// checkVersion checks that a machine in touch served a request by a version that may be in force.
func (j *judge) checkVersion(sent request) {
	if !j.inTouch(sent.sentAt) || sent.key != tenantKey {
		return
	}
	oldest := j.newestAcknowledged(sent.sentAt - j.stretch(inForceBound))
	switch {
	case sent.isMain():
		for _, service := range j.services[sent.id] {
			if !j.mayServe(service, oldest, sent.endedAt) {
				problem := fmt.Sprintf("%s was run by %s, which only versions before %d name", sent.id, service, oldest)
				j.add(RuleInForce, sent.sentAt, problem, " "+sent.id+" ", "operator writes")
			}
		}
	case sent.path == addedPath(oldest) && sent.status == notFoundStatus && j.newestSent(sent.endedAt) == oldest:
		problem := fmt.Sprintf("the route that version %d added is not served at %s", oldest, sent.proxy)
		j.add(RuleInForce, sent.sentAt, problem, " "+sent.id+" ", "operator writes")
	}
}

// notFoundStatus is the status of an answer to a request without a route.
const notFoundStatus = 404

// mayServe reports whether a version from oldest on that was sent before a time sends mainPath to a service.
func (j *judge) mayServe(service string, oldest int64, before time.Duration) bool {
	for version, sent := range j.writes {
		if version >= oldest && sent.sentAt < before && serviceOf(version) == service {
			return true
		}
	}
	return false
}

// newestSent returns the highest valid version that was sent before a time.
func (j *judge) newestSent(before time.Duration) int64 {
	newest := int64(0)
	for version, sent := range j.writes {
		if sent.sentAt < before {
			newest = max(newest, version)
		}
	}
	return newest
}

// checkReads checks that reads return an acknowledged version or a newer one, with the content that was sent.
func (j *judge) checkReads() {
	for _, seen := range j.seen.reads {
		if seen.status != successStatus {
			continue
		}
		oldest := j.newestAcknowledged(seen.sentAt - j.stretch(readBound))
		mention := fmt.Sprintf("version %d,", seen.version)
		if seen.version < oldest {
			problem := fmt.Sprintf("a read returned version %d after version %d was acknowledged", seen.version, oldest)
			j.add(RuleInForce, seen.sentAt, problem, mention, fmt.Sprintf("version %d,", oldest))
		}
		if sent, known := j.writes[seen.version]; !known || sent.body != seen.body {
			j.add(RuleInvalid, seen.sentAt, fmt.Sprintf("a read returned other content as version %d", seen.version), mention)
		}
	}
}

// checkSignOffs checks that an upstream gets no new work after its sign-off.
func (j *judge) checkSignOffs() {
	for _, ended := range j.seen.signOffs {
		from := ended.acknowledgedAt + j.stretch(drainBound+drainSlack)
		for _, began := range j.seen.executions {
			if began.instance == ended.instance && began.at > from && began.at < ended.servesUntil {
				late := (began.at - ended.acknowledgedAt).Seconds()
				problem := fmt.Sprintf("%s ran %s %.1f s after its sign-off", ended.instance, began.id, late)
				j.add(RuleDrain, began.at, problem, "sign-off of "+ended.instance, " "+began.id+" ")
			}
		}
	}
}

// isCalm reports whether no process was signalled, started or has ended in the contact time before a request was sent.
func (j *judge) isCalm(sentAt time.Duration) bool {
	for _, at := range j.seen.disrupted {
		if at <= sentAt && at > sentAt-contactTime {
			return false
		}
	}
	return true
}

// checkLeavings checks that machines in touch send an upstream no new work after it was acknowledged that it leaves.
func (j *judge) checkLeavings() {
	sentAt := map[string]time.Duration{}
	for _, sent := range j.seen.requests {
		sentAt[sent.id] = sent.sentAt
	}
	for _, leaving := range j.seen.leavings {
		from := leaving.acknowledgedAt + j.stretch(drainBound+drainSlack)
		for _, began := range j.seen.executions {
			sent, known := sentAt[began.id]
			if began.instance != leaving.instance || began.at <= from || began.at >= leaving.servesUntil || !known || !j.isCalm(sent) {
				continue
			}
			late := (began.at - leaving.acknowledgedAt).Seconds()
			problem := fmt.Sprintf("%s ran %s %.1f s after its leaving was acknowledged", leaving.instance, began.id, late)
			j.add(RuleDrain, began.at, problem, "leaving of "+leaving.instance, " "+began.id+" ", "SIG")
		}
	}
}

// checkAuthorities checks that each request ran at a service to which a configuration that was sent before sends exactly
// its authority.
func (j *judge) checkAuthorities() {
	allowed := map[string]time.Duration{} // by authority, path and service: when it was sent first
	for _, sent := range j.writes {
		for _, route := range sent.content.Routes {
			key := authorityKey(route.Host, route.Prefix, route.Service)
			if first, known := allowed[key]; !known || sent.sentAt < first {
				allowed[key] = sent.sentAt
			}
		}
	}
	for _, sent := range j.seen.requests {
		if sent.host == "" || sent.path != mainPath {
			continue
		}
		for _, service := range j.services[sent.id] {
			first, known := allowed[authorityKey(sent.host, mainPrefix, service)]
			if !known || first > sent.endedAt {
				problem := fmt.Sprintf("%s for %s was run by %s, to which no configuration sends it", sent.id, sent.host, service)
				j.add(RuleRoute, sent.sentAt, problem, " "+sent.id+" ")
			}
		}
	}
}

// authorityKey identifies a route by what ROUTE compares.
func authorityKey(host, prefix, service string) string {
	return strings.ToLower(host) + " " + prefix + " " + service
}

// checkMemory checks that no process held more than its memory. It reports the first excess of each role.
func (j *judge) checkMemory() {
	reported := map[string]bool{}
	for _, seen := range j.seen.excesses {
		role, _, _ := strings.Cut(seen.process, " ")
		if reported[role] {
			continue
		}
		reported[role] = true
		problem := fmt.Sprintf("the %s held %d MiB of %d", seen.process, seen.held, seen.limit)
		j.add(RuleMemory, seen.at, problem, seen.process)
	}
}

// checkFinalAnswers checks that requests at machines in touch have a final answer at their deadline.
func (j *judge) checkFinalAnswers() {
	lasting, unanswered := 0, []request{}
	deadline := time.Duration(routeTimeoutMS) * time.Millisecond
	for _, sent := range j.seen.requests {
		if !j.inTouch(sent.sentAt) || sent.endedAt-sent.sentAt <= deadline {
			continue
		}
		lasting++
		if !sent.answered {
			unanswered = append(unanswered, sent)
		}
	}
	if len(unanswered) >= minUnanswered && len(unanswered)*4 > lasting {
		first := unanswered[0]
		problem := fmt.Sprintf("%d of %d requests beyond their deadline have no final answer, the first at %s",
			len(unanswered), lasting, first.proxy)
		j.add(RuleFinal, first.sentAt, problem, " at "+first.proxy+" ", "SIG")
	}
}

// checkRecovery checks that every proxy serves requests in time after all processes are back.
func (j *judge) checkRecovery() {
	if j.seen.calmFrom == 0 {
		return
	}
	deadline := j.seen.calmFrom + j.stretch(recoveryBound)
	sent, served := map[string]int{}, map[string]int{}
	for _, request := range j.seen.requests {
		revoked := j.seen.revokedAt > 0 && request.sentAt > j.seen.revokedAt
		if request.sentAt < deadline || !request.isMain() || request.key != tenantKey || revoked {
			continue
		}
		sent[request.proxy]++
		if request.status == successStatus {
			served[request.proxy]++
		}
	}
	for proxy, count := range sent {
		if served[proxy] == 0 {
			problem := fmt.Sprintf("%s served none of %d requests sent later than %s after all machines were back",
				proxy, count, j.stretch(recoveryBound))
			j.add(RuleRecovery, deadline, problem, " at "+proxy+" ", "SIG")
		}
	}
}
