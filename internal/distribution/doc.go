// Package distribution carries configurations and rosters down a relay tree that the nodes form
// themselves. Configstores are at its top, registries below them, and proxies below the registries
// or below each other. For rosters the registries are the roots.
//
// What travels are topics: each configuration, and each zone's slice of the roster (Topic names are
// made by ConfigurationTopic and SliceTopic). A node sends its parent a request in a steady rhythm,
// with the position (message.Position) that it has of each topic. The parent answers with what came
// since: a row of differences or changes, or a snapshot where it does not know the child's position
// any more. A parent also pushes each change at once; the next request repairs a push that was lost.
//
// # Freshness
//
// Each answer says how old the parent's own knowledge of a topic is. The age at the child is the
// time since it sent the request plus the parent's age: durations only, added hop by hop, so that
// no clocks are compared. The position of a topic never goes back on a node.
//
// # Choice of the parent
//
// A node leaves a parent that is silent, gone or stale, that knows less than it does, or whose path
// to the root holds the node itself, and prefers others for a while (parentSelection). Registries
// besides tell each proxy of newer positions of configurations, so that it finds out that it is
// behind whatever its parent says (antientropy.go).
//
// # Use
//
// A process makes one Distribution with New, names what it wants with Subscribe, and hands it
// its ticks, messages and broken connections. A source of a topic calls WriteConfiguration, or
// ServeSlice and SliceChanged, and SetFreshAt for as long as it knows its content to be current.
package distribution
