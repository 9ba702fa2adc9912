// Package scaletest measures the resource usage and latency of a fleet's control plane by fleet size,
// and how they grow. It runs hollow fleets: the real control machines of proxies, registries and
// configuration stores, with their connections, datagrams and disks, but without requests of callers.
// Many proxies share a process. Each core process of a voter runs separately, so that its processor
// time can be measured individually.
//
// Measure runs a fleet of one size through the phases of a Course. Table fits and prints the results of
// all sizes.
package scaletest
