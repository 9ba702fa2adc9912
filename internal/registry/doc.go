// Package registry is the control state of a registry process. Every registry holds the
// registrations (the roster) of all zones; one of them holds the lease of each zone and
// alone changes that zone's part.
//
//   - Heartbeats come from the proxies to every registry, so that a registry which acquires
//     a lease already knows who was heard lately (heartbeats.go, proxies.go).
//   - The holder of a zone's lease registers, changes, drains and expires upstreams. A change
//     is synced to its disk first, then takes effect, then is broadcast (reconcile.go,
//     changes.go).
//   - The other registries follow the broadcasts, compare digests with the holder's and pull
//     a whole copy where they differ (replication.go).
//   - The holder of the usage lease seals the usage windows and reports them (the files that
//     begin with usage).
//   - Questions of operators are answered here, or forwarded to the configstore that holds
//     the lease of the configurations (questions.go, operator_requests.go, status.go).
//
// Machine is a statemachine.Machine: it is driven by one goroutine, and takes time and random
// numbers from the Env only.
package registry
