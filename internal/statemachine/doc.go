// Package statemachine defines the shape of all control state: a deterministic state machine that
// takes commands and returns effects.
//
// A command is a value with an Apply method: a message that has arrived, a tick, a write that has
// been synced, a request of the process itself. Apply calls one method of a Machine and passes it an
// Env. The Env holds what a machine may read of the world (the time and a seeded random source) and
// collects what the machine wants done: each method of Env adds one Effect. A machine never touches
// a clock, the network, the disk, a goroutine or the global random source, so the same commands in
// the same order, with the same times and the same seed, give the same effects.
//
// The driver applies one command at a time and then carries out the effects in order. There are
// three drivers: package node runs a machine in a process, packages simulation and explore run
// many of them in a simulated network.
//
//	env := statemachine.NewEnv(seed)
//	for len(queue) > 0 {
//		command := queue[0]
//		queue = queue[1:]
//		env.Now = clock.Now()
//		command.Apply(machine, env)
//		for _, effect := range env.Drain() {
//			switch effect := effect.(type) {
//			case statemachine.Send:
//				network.Send(effect.To, effect.Message)
//			case statemachine.Write:
//				failure := disk.Write(effect)
//				queue = append(queue, statemachine.Synced{RequestID: effect.RequestID, Failure: failure})
//			}
//		}
//	}
//
// An effect is done after the command that asked for it, never during it. A machine that needs the
// outcome waits for the command that reports it: Synced follows a Write, and Arrived may follow a
// Send, or may not, since messages can be lost.
package statemachine
