// Package backend implements the serving side of a proxy. It admits requests to the upstreams that
// announce themselves to this proxy, and tracks their registrations, slots and drain states and the
// outcome of each attempt.
//
// Backend makes the decisions. It does no I/O, receives the current time as a parameter and holds
// one mutex briefly, so that the simulator runs the same code. Under that mutex it calls nothing but its
// Authorizer, which takes no lock (package locking has the rule). UpstreamClient executes the decisions
// to start: it maintains connections to upstreams and sends requests on them. ResponseMatcher
// identifies the response to a request in the bytes that an upstream sends.
//
// A registration is bound to an address, a service and an incarnation. An announcement of another
// upstream at its address ends it immediately. After a connection loss nothing is dialled until a
// heartbeat of the same incarnation arrives that is newer than the loss, and no request starts when
// the last heartbeat is older than its timeout. The outcome of each attempt is retained for a limited
// time, and querying the outcome of an unknown attempt bars that attempt from starting later
// (docs/request-safety.md).
package backend
