// Package locking provides the mutex of the traffic side, whose lock order a machine can check.
//
// The rule is: no component calls another one while it holds a lock. So locks aren't nested, but for
// these, which are taken in this order:
//
//   - a lock, and then that of a part which the same type owns and which calls nothing, such as
//     api.callerConn and the caller limits, or transport.Transport and its connections;
//   - Backend.lock, under which the backend calls its Authorizer: that one reads an immutable snapshot
//     and takes no lock.
//
// With the build tag lockorder a Mutex reports locks that are taken in both orders, as soon as both
// orders were seen, whether or not the goroutines met, and locks that are awaited for too long:
//
//	go test -race -tags lockorder ./internal/frontend ./internal/backend
package locking
