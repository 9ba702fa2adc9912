package checker

import (
	"sort"
	"time"
)

// checkWithdrawnKeys checks that a withdrawn key stops working in time.
func (r *Review) checkWithdrawnKeys(record Record, requests map[string]CallerRequest) {
	if record.Bounds.KeyWithdrawal == 0 {
		return
	}
	withdrawnAt := withdrawnKeys(record.Writes)
	for _, ran := range record.Executions {
		request := requests[ran.ID]
		at, withdrawn := withdrawnAt[request.Key]
		if !withdrawn || request.Key == "" {
			continue
		}
		r.count(withdrawnKeyRun)
		late := request.Sent - at
		if late > record.Bounds.KeyWithdrawal {
			r.violate(keyLate, "%s ran with a key withdrawn %s before it was sent", ran.ID, late)
		} else if late > 0 {
			r.measure(keyWithdrawalMS, float64(late.Milliseconds()))
		}
	}
}

// withdrawnKeys returns when each key that the newest version does not have was withdrawn.
func withdrawnKeys(acknowledged []Write) map[string]time.Duration {
	withdrawn := map[string]time.Duration{}
	writes := append([]Write{}, acknowledged...)
	sort.Slice(writes, func(i, j int) bool { return writes[i].Version < writes[j].Version })
	for index := 1; index < len(writes); index++ {
		for key := range writes[index-1].Keys {
			if _, still := writes[index].Keys[key]; !still {
				withdrawn[key] = writes[index].At
			}
		}
		for key := range writes[index].Keys {
			delete(withdrawn, key)
		}
	}
	return withdrawn
}
