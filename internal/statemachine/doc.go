// Package statemachine defines the interface between the control state machines and their drivers.
// A machine is deterministic: it takes commands and returns effects.
//
// A command is a value with an Apply method: a received message, a tick, a completed write or a
// request from the machine's own process. Apply calls one method of a Machine and passes it an Env.
// The Env holds all external inputs that a machine may read (the time and a seeded random source)
// and collects its outputs: each output method of Env adds one Effect. A machine never uses a clock,
// the network, the disk, a goroutine or the global random source, so the same commands in the same
// order, with the same times and the same seed, produce the same effects.
//
// The driver applies one command at a time and then carries out the effects in order. There are
// three drivers: package node runs one machine in a process; packages simulation and explore run
// many machines in a simulated network.
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
// An effect is carried out after the command that produced it, never during it. A machine that needs
// the outcome waits for the command that reports it. Synced follows every Write. Arrived may follow a
// Send, but need not, since messages can be lost.
package statemachine
