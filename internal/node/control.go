package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"beaconvane/internal/statemachine"
)

// eventControlLate is the event of a control goroutine that was held up.
const eventControlLate = "control-late"

// runControl applies commands to the machine one after the other, and carries out their effects.
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

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = crand.Read(seed[:]) // never fails: the runtime ends a process that gets no random bytes
	return binary.BigEndian.Uint64(seed[:])
}

// tick lets the machine look at the clock. Messages that have come are applied before, so that no
// peer is judged silent whose message is already here.
func (n *Node) tick(env *statemachine.Env) {
	for range len(n.commands) {
		n.apply(env, <-n.commands)
	}
	n.apply(env, statemachine.Ticked{})
	n.recordLateTick()
}

func (n *Node) apply(env *statemachine.Env, command statemachine.Command) {
	env.Now, env.Wall = n.Group.Now(), n.Group.Wall()
	command.Apply(n.machine, env)
	for _, effect := range env.Drain() {
		n.perform(effect)
	}
	n.load.addCommand(n.Group.Now() - env.Now)
}

// recordLateTick records that the control goroutine was held up for longer than the interval of
// updates.
func (n *Node) recordLateTick() {
	now := n.Group.Now()
	gap := n.load.addTick(now)
	if gap <= n.Settings.UpdatesEvery() {
		return
	}
	cause := fmt.Sprintf("%d ms since the last tick, %d commands waiting", gap.Milliseconds(), len(n.commands))
	n.record(statemachine.Event{At: now, EventName: eventControlLate, Cause: cause})
}
