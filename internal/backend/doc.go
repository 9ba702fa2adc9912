// Package backend is the serving side of a proxy's traffic: the proxy beside an upstream keeps the
// facts of it, which are its slots, whether it leaves, and what became of each attempt.
//
// The Backend decides, under one short lock and with the time given to it, so that the simulator
// runs it as it stands. The UpstreamClient carries out its decisions to start: it keeps the
// connections to upstreams and makes the exchanges on them. A ResponseMatcher finds, in what an
// upstream sends, the answer to one request.
//
// A registration is bound to address, service and incarnation. Another announcement from its
// address ends it at once. After a broken connection nothing is dialled until a heartbeat of the
// same incarnation that is newer than the break, and without a heartbeat within its bound nothing
// is started. The outcome of each attempt is kept for a while, and asking for an attempt never
// seen bars it from starting later (docs/request-safety.md).
package backend
