package statemachine

// Machine is a deterministic state machine. Its driver calls one method at a time; see the package
// comment.
type Machine interface {
	// Handle takes a message from the process at an address.
	Handle(env *Env, from string, message any)
	// Tick is called once in each tick interval of the settings.
	Tick(env *Env)
	// Synced reports that the write with this request ID is on disk, or why it failed.
	Synced(env *Env, requestID int64, failure error)
	// HandleRequest takes a question or a notice from the process itself. The machine answers a question by
	// Env.Reply, during this call or a later one.
	HandleRequest(env *Env, requestID int64, question any)
}

// Command is one input of a machine: applying it changes the machine's state and adds effects to
// the Env.
type Command interface {
	Apply(machine Machine, env *Env)
}

// Arrived is the command for a message from another process.
type Arrived struct {
	From    string // its address, "ip:port"
	Message any
}

// Apply calls Machine.Handle.
func (c Arrived) Apply(machine Machine, env *Env) { machine.Handle(env, c.From, c.Message) }

// Ticked is the command for the passing of one tick interval.
type Ticked struct{}

// Apply calls Machine.Tick.
func (c Ticked) Apply(machine Machine, env *Env) { machine.Tick(env) }

// Synced is the command that reports a write to be on disk, or failed.
type Synced struct {
	RequestID int64 // as Env.Append or Env.Compact returned it
	Failure   error
}

// Apply calls Machine.Synced.
func (c Synced) Apply(machine Machine, env *Env) { machine.Synced(env, c.RequestID, c.Failure) }

// LocalRequest is the command for a question or a notice from the process itself.
type LocalRequest struct {
	RequestID int64 // carried by the Reply; 0 when no answer is wanted
	Request   any
}

// Apply calls Machine.HandleRequest.
func (c LocalRequest) Apply(machine Machine, env *Env) {
	machine.HandleRequest(env, c.RequestID, c.Request)
}

// ConnectionClosed is the notice, sent as a LocalRequest command, that a control connection which this
// process had opened has ended, as it does at once when the process at the other end stops.
type ConnectionClosed struct{ Address string }

// SeedsChanged is the notice, sent as a LocalRequest command, that the settings name other seeds now.
type SeedsChanged struct{ Seeds []string }
