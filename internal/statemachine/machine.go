package statemachine

// Machine is a deterministic state machine, as described in the package comment. Its driver calls one
// method at a time.
type Machine interface {
	// Handle processes a message from the process at the address from ("ip:port").
	Handle(env *Env, from string, message any)
	// Tick is called once per tick interval, which the settings define.
	Tick(env *Env)
	// Synced is called when the write with this request ID is durable, or with the error that prevented
	// it.
	Synced(env *Env, requestID int64, failure error)
	// HandleRequest processes a request or a notice from the machine's own process. The machine answers a
	// request with Env.Reply, during this call or a later one.
	HandleRequest(env *Env, requestID int64, request any)
}

// Command is one input of a machine. Applying it may change the state of the machine and add effects
// to the Env.
type Command interface {
	Apply(machine Machine, env *Env)
}

// Arrived is the command that delivers a message from another process.
type Arrived struct {
	From    string // address of that process, "ip:port"
	Message any
}

// Apply calls Machine.Handle.
func (c Arrived) Apply(machine Machine, env *Env) { machine.Handle(env, c.From, c.Message) }

// Ticked is the command that marks the end of a tick interval.
type Ticked struct{}

// Apply calls Machine.Tick.
func (c Ticked) Apply(machine Machine, env *Env) { machine.Tick(env) }

// Synced is the command that reports the outcome of a write.
type Synced struct {
	RequestID int64 // as Env.Append or Env.Compact returned it
	Failure   error // nil if the write is durable
}

// Apply calls Machine.Synced.
func (c Synced) Apply(machine Machine, env *Env) { machine.Synced(env, c.RequestID, c.Failure) }

// LocalRequest is the command that delivers a request or a notice from the machine's own process.
type LocalRequest struct {
	RequestID int64 // of the Reply that answers it; 0 for a notice, which has no reply
	Request   any
}

// Apply calls Machine.HandleRequest.
func (c LocalRequest) Apply(machine Machine, env *Env) {
	machine.HandleRequest(env, c.RequestID, c.Request)
}

// ConnectionClosed is the notice, sent as a LocalRequest command, that a control connection opened by this
// process has closed. This happens immediately when the remote process stops.
type ConnectionClosed struct{ Address string }

// SeedsChanged is the notice, sent as a LocalRequest command, that a settings reload has changed the seeds.
type SeedsChanged struct{ Seeds []string }
