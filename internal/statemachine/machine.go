// Package statemachine is the shape of all control state: a deterministic machine takes commands,
// each a type with an Apply method, and leaves effects on the Env that it is given. No clock,
// network, disk, random source or goroutine is inside a machine: time and random numbers come with
// the Env, and the effects are carried out by the process's loop (package node) or by the simulator
// (package simulation). The same commands in the same order give the same effects.
package statemachine

// Machine is what a process's control goroutine, or the simulator, drives. Its methods are called
// one at a time.
type Machine interface {
	// Handle takes a message from the process at an address.
	Handle(env *Env, from string, message any)
	// Tick is called once a tick interval of the settings.
	Tick(env *Env)
	// Synced says that the write of a request id is on disk, or that it failed.
	Synced(env *Env, requestID int64, failure error)
	// Asked takes a question from the process itself; it answers by Env.Reply, if the question
	// wants an answer.
	Asked(env *Env, requestID int64, question any)
}

// Command changes a machine's state and leaves effects on the Env.
type Command interface {
	Apply(machine Machine, env *Env)
}

// Arrived is a message from another process.
type Arrived struct {
	From    string // its address, "ip:port"
	Message any
}

// Apply hands the message to the machine.
func (c Arrived) Apply(machine Machine, env *Env) { machine.Handle(env, c.From, c.Message) }

// Ticked is the passing of one tick interval.
type Ticked struct{}

// Apply ticks the machine.
func (c Ticked) Apply(machine Machine, env *Env) { machine.Tick(env) }

// Synced says that a write is on disk, or that it failed.
type Synced struct {
	RequestID int64 // as Env.Append or Env.Compact returned it
	Failure   error
}

// Apply tells the machine.
func (c Synced) Apply(machine Machine, env *Env) { machine.Synced(env, c.RequestID, c.Failure) }

// Asked is a question or a notice from the process itself.
type Asked struct {
	RequestID int64 // the Reply bears it; 0: no answer is wanted
	Question  any
}

// Apply hands the question to the machine.
func (c Asked) Apply(machine Machine, env *Env) { machine.Asked(env, c.RequestID, c.Question) }

// ConnectionBroke is the notice that a control connection which this process had opened has ended,
// as it does at once when the process at the other end stops.
type ConnectionBroke struct{ Address string }

// Reseeded is the notice that the settings name other seeds now.
type Reseeded struct{ Seeds []string }
