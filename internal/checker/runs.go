package checker

// routeTarget is a service to which a configuration sends the requests of a route.
type routeTarget struct{ route, service string }

// checkRuns checks each run at an upstream: a caller sent the request, some acknowledged configuration
// routes it to that service, and the upstream received tenant and caller but not the key.
func (r *Review) checkRuns(record Record, requests map[string]CallerRequest) {
	allowed := allowedTargets(record.Writes)
	for _, execution := range record.Executions {
		r.count(runRecorded)
		request, known := requests[execution.ID]
		if !known {
			r.addViolation(runOfUnknownRequest, "%s ran unknown request %q", execution.Instance, execution.ID)
			continue
		}
		if execution.Tenant != request.Tenant || execution.Caller != request.Caller {
			r.addViolation(wrongIdentity, "%s ran with tenant %q and caller %q, want %q and %q",
				execution.ID, execution.Tenant, execution.Caller, request.Tenant, request.Caller)
		}
		if execution.KeySeen {
			r.addViolation(keyExposed, "%s exposed the tenant's key to %s", execution.ID, execution.Instance)
		}
		targetAllowed := len(allowed) == 0 || allowed[routeTarget{request.Route, execution.Service}]
		if execution.Service != request.Service || !targetAllowed {
			r.addViolation(wrongTarget, "%s for service %s ran at service %s, address %s",
				execution.ID, request.Service, execution.Service, execution.Address)
		}
	}
}

// allowedTargets returns the services of each route in any of the acknowledged versions.
func allowedTargets(writes []Write) map[routeTarget]bool {
	allowed := map[routeTarget]bool{}
	for _, write := range writes {
		for route, service := range write.Services {
			allowed[routeTarget{route, service}] = true
		}
	}
	return allowed
}
