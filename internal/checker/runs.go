package checker

// landing is a service at which a configuration lets requests of a route run.
type landing struct{ route, service string }

// checkRuns checks each run at an upstream: a caller sent the request, a configuration allowed it
// there, and the upstream saw tenant and caller but not the key.
func (r *Review) checkRuns(record Record, requests map[string]CallerRequest) {
	allowed := allowedLandings(record.Writes)
	for _, ran := range record.Executions {
		r.count(runSeen)
		request, known := requests[ran.ID]
		if !known {
			r.violate(strayRun, "%s ran unknown request %q", ran.Instance, ran.ID)
			continue
		}
		if ran.Tenant != request.Tenant || ran.Caller != request.Caller {
			r.violate(wrongIdentity, "%s ran as tenant %q caller %q, want %q %q",
				ran.ID, ran.Tenant, ran.Caller, request.Tenant, request.Caller)
		}
		if ran.KeySeen {
			r.violate(keySeen, "%s showed the key to %s", ran.ID, ran.Instance)
		}
		mayLand := len(allowed) == 0 || allowed[landing{request.Route, ran.Service}]
		if ran.Service != request.Service || !mayLand {
			r.violate(wrongService, "%s for %s landed at %s %s", ran.ID, request.Service, ran.Service, ran.Address)
		}
	}
}

// allowedLandings returns what any of the acknowledged versions allows.
func allowedLandings(writes []Write) map[landing]bool {
	allowed := map[landing]bool{}
	for _, write := range writes {
		for route, service := range write.Services {
			allowed[landing{route, service}] = true
		}
	}
	return allowed
}
