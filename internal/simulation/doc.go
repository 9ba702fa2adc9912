// Package simulation plays whole deployments in one process and one thread, on a simulated
// network, clock and disk, all from one seed. It runs the product's own state machines, frontend,
// backend and disk format; only sockets, files, timers and random sources are simulated. A seed
// plays the same way each time: every random draw and every event happens in a fixed order.
//
// A scenario makes a plan from the seed: steps that are each a fault or an order of an operator at
// a time. World plays the plan and records what callers, operators and the usage collector saw;
// package checker then holds the record against the promises. A failing plan is shrunk by leaving
// steps out.
package simulation
