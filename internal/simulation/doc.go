// Package simulation runs deployments in one process and one thread, on a simulated network, clock
// and disk, driven by one seed. It runs the product's own state machines, frontend, backend and disk
// format; only sockets, files, timers and random sources are simulated. Runs are deterministic: with
// the same seed, every random draw and every event happens in the same order.
//
// A scenario derives a plan from the seed: steps, each of which is a fault or an operator's action at
// a given time. World executes the plan and records what callers, operators and the usage collector
// observed; package checker then checks the record against the guarantees. Shrink reduces a failing
// plan by removing steps.
package simulation
