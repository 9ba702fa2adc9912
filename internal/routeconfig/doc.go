// Package routeconfig reads, checks and applies configurations: the operators' routes, services,
// tenants and limits. A configuration is JSON, read and checked by gjson paths. Check lists every
// fault by its path; Parse reads a configuration that passed. The same code serves the configstore,
// which refuses bad configurations, and the proxies, which only apply checked ones.
//
// A request is matched by one normalised path: exact routes go before prefixes, longer prefixes
// before shorter, and no two routes could both win. A route may be bound to a host instead: it is
// then found by that host alone, through an index, and any method and caller will do unless it
// names some. A split shares a route's requests among services by weight.
package routeconfig
