// Package registry implements the control state of a registry process. Every registry replicates
// the registrations (the roster) of all zones. Each zone has a lease, and only the registry that
// holds it changes that zone's slice of the roster.
//
//   - Proxies send heartbeats to every registry, so that a registry that acquires a lease already
//     has the recent heartbeats of the zone's upstreams (heartbeats.go, proxies.go).
//   - The holder of a zone's lease registers, changes, drains and expires upstreams. Each change
//     is first synced to the holder's disk, then applied, then broadcast (reconcile.go,
//     changes.go).
//   - The other registries apply the broadcasts, compare their digests with the holder's and pull
//     a snapshot where they differ (replication.go).
//   - The holder of the usage lease seals the usage windows and reports them to the collector (the
//     files whose names begin with usage).
//   - Operators' requests are answered here, or forwarded to the configstore that holds the lease
//     of the configurations (requests.go, forwarded_requests.go, status.go).
//
// Machine is a statemachine.Machine: a single goroutine drives it, and it takes time and random
// numbers only from the Env.
package registry
