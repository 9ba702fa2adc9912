// Package scaletest measures what a fleet costs at each size, and how that grows. It runs hollow fleets:
// the real control machines of proxies, registries and configuration stores, with their connections,
// datagrams and disks, but without requests of callers. Many proxies share a process; a core voter has
// a process of its own, so that its processor time can be read by itself.
//
// Measure runs one size through the phases of a Course; Table fits and prints what was found at all
// sizes.
package scaletest
