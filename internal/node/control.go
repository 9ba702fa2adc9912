package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"beaconvane/internal/statemachine"
)

// eventControlLate is recorded when the control goroutine was delayed (recordLateTick).
const eventControlLate = "control-late"

// runControl applies commands to the machine sequentially and performs their effects, until ctx ends.
func (n *Node) runControl(ctx context.Context) {
	env := statemachine.NewEnv(randomSeed())
	ticker := time.NewTicker(n.Settings.TickEvery())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.tick(env)
		case command := <-n.commands:
			n.apply(env, command)
		case next := <-n.replacements:
			n.installReplacement(next)
		}
	}
}

// randomSeed returns a seed for the machine's random source.
func randomSeed() uint64 {
	var seed [8]byte
	_, _ = crand.Read(seed[:]) // never fails: the runtime aborts the process if no random bytes are available
	return binary.BigEndian.Uint64(seed[:])
}

// tick applies a Ticked command, on which the machine evaluates its timeouts. Queued commands are applied
// first, so that no peer times out while its message is in the queue.
func (n *Node) tick(env *statemachine.Env) {
	for range len(n.commands) {
		n.apply(env, <-n.commands)
	}
	n.apply(env, statemachine.Ticked{})
	n.recordLateTick()
}

// apply applies a command to the machine, performs its effects, and records how long this took.
func (n *Node) apply(env *statemachine.Env, command statemachine.Command) {
	env.Now, env.Wall = n.Group.Now(), n.Group.Wall()
	command.Apply(n.machine, env)
	for _, effect := range env.Drain() {
		n.perform(effect)
	}
	n.load.addCommand(n.Group.Now() - env.Now)
}

// recordLateTick records an event if the last tick was more than an update interval ago.
func (n *Node) recordLateTick() {
	now := n.Group.Now()
	gap := n.load.addTick(now)
	if gap <= n.Settings.UpdatesEvery() {
		return
	}
	cause := fmt.Sprintf("%d ms since the last tick, %d commands waiting", gap.Milliseconds(), len(n.commands))
	n.record(statemachine.Event{At: now, EventName: eventControlLate, Cause: cause})
}
