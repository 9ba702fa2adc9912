// Package routeconfig checks, parses and applies configurations: the routes, services, tenants and
// limits that operators define. A configuration is JSON, accessed by gjson paths. Check lists every
// fault with its path, and Parse reads a configuration that passed Check. The configuration store uses
// the package to refuse invalid configurations; the proxies apply only checked ones.
//
// A route without a host matches a request by method and normalised path. Exact routes take precedence
// over prefixes, and longer prefixes over shorter ones; Check refuses two routes with the same method, path
// and kind of match. A route with a host matches by host and path prefix through an index, and accepts any
// method and caller unless it names some. A split distributes a route's requests among services by weight.
package routeconfig
