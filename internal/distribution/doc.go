// Package distribution replicates configurations and the roster of upstreams along a relay tree that
// the nodes build themselves. Configstores are the roots, registries are their children, and proxies
// are children of registries or of other proxies. For the roster the registries are the roots.
//
// The unit of replication is a topic: one per configuration (ConfigurationTopic) and one per zone's
// slice of the roster (SliceTopic). A node sends its parent periodic requests that contain its position
// (message.Position) in each topic. The parent answers with the updates since that position:
// consecutive differences or changes, or a snapshot if the position is no longer in its history. A
// parent also pushes each change immediately; the next request recovers a push that was lost.
//
// # Freshness
//
// Each answer contains the age of the parent's content: the time since it was last known to match the
// source. The age at the child is the time since it sent the request plus the parent's age. Only
// durations are added at each hop, so the clocks of different nodes are never compared. The position of
// a topic never decreases on a node.
//
// # Parent selection
//
// A node leaves a parent that does not answer, is no longer an alive member or is stale, that has an
// older configuration than the node itself, or whose path to the root contains the node. It then
// prefers other members for a back-off time (parentSelection). In addition, registries report newer
// configuration positions to each proxy, so that a proxy detects that it lags even if its parent does
// not (antientropy.go).
//
// # Usage
//
// A process creates one Distribution with New, registers the topics it needs with Subscribe, and passes
// on ticks, messages and broken connections. The source of a topic calls WriteConfiguration, or
// ServeSlice and SliceChanged, and calls SetFreshAt as long as its content is current.
package distribution
