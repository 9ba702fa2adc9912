// Tests that the linearizability check rejects histories that are not linearizable, and accepts others.
package simulation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
)

func TestLinearizabilityCheckRejectsInvalidHistories(t *testing.T) {
	c := qt.New(t)
	write := func(calledAt, answeredAt int, version int64, entry string, code errcode.Code) *configLogOperation {
		return &configLogOperation{
			request:    configLogRequest{write: true, version: version, entry: entry},
			answer:     configLogAnswer{code: code},
			calledAt:   time.Duration(calledAt),
			answeredAt: time.Duration(answeredAt),
			answered:   true,
		}
	}
	read := func(calledAt, answeredAt int, digest string) *configLogOperation {
		return &configLogOperation{
			answer:     configLogAnswer{code: errcode.OK, digest: digest},
			calledAt:   time.Duration(calledAt),
			answeredAt: time.Duration(answeredAt),
			answered:   true,
		}
	}
	unansweredWrite := write(1, 2, 2, "2:b", errcode.OK)
	unansweredWrite.answered = false
	firstWrite := write(0, 1, 1, "1:a", errcode.OK)
	for name, history := range map[string]struct {
		operations []*configLogOperation
		sound      bool
	}{
		"in turn": {
			[]*configLogOperation{firstWrite, read(2, 3, "a"), write(4, 5, 2, "2:b", errcode.OK), read(6, 7, "b")},
			true,
		},
		"the same bytes again": {[]*configLogOperation{firstWrite, write(2, 3, 1, "1:a", errcode.OK), read(4, 5, "a")}, true},
		"unknown, took effect": {[]*configLogOperation{firstWrite, unansweredWrite, read(9, 10, "b")}, true},
		"unknown, took none":   {[]*configLogOperation{firstWrite, unansweredWrite, read(9, 10, "a")}, true},
		"a read goes back":     {[]*configLogOperation{firstWrite, write(2, 3, 2, "2:b", errcode.OK), read(4, 5, "a")}, false},
		"two win one number":   {[]*configLogOperation{write(0, 9, 1, "1:a", errcode.OK), write(0, 9, 1, "1:b", errcode.OK)}, false},
		"refused, yet settled": {
			[]*configLogOperation{write(0, 1, 1, "1:a", errcode.ConfigurationConflict), read(2, 3, "a")},
			false,
		},
		"unknown goes back and forth": {[]*configLogOperation{firstWrite, unansweredWrite, read(9, 10, "b"), read(11, 12, "a")}, false},
	} {
		linearizable, _ := (&World{operatorRecord: operatorRecord{configLogOperations: history.operations}}).checkLinearizability()
		c.Check(linearizable, qt.Equals, history.sound, qt.Commentf(name))
	}
}
