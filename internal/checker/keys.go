package checker

import (
	"sort"
	"time"
)

// checkWithdrawnKeys checks that no request with a withdrawn key ran if it was sent later than
// Bounds.KeyWithdrawal after the withdrawal.
func (r *Review) checkWithdrawnKeys(record Record, requests map[string]CallerRequest) {
	if record.Bounds.KeyWithdrawal == 0 {
		return
	}
	withdrawnAt := withdrawnKeys(record.Writes)
	for _, execution := range record.Executions {
		request := requests[execution.ID]
		at, withdrawn := withdrawnAt[request.Key]
		if !withdrawn || request.Key == "" {
			continue
		}
		r.count(withdrawnKeyRun)
		delay := request.Sent - at
		if delay > record.Bounds.KeyWithdrawal {
			r.addViolation(withdrawnKeyAccepted, "%s ran with a key that was withdrawn %s before the request was sent", execution.ID, delay)
		} else if delay > 0 {
			r.recordWorst(keyWithdrawalMS, float64(delay.Milliseconds()))
		}
	}
}

// withdrawnKeys returns, for each key that the newest acknowledged version lacks, when the version that
// removed it was acknowledged.
func withdrawnKeys(acknowledged []Write) map[string]time.Duration {
	withdrawn := map[string]time.Duration{}
	writes := append([]Write{}, acknowledged...)
	sort.Slice(writes, func(i, j int) bool { return writes[i].Version < writes[j].Version })
	for index := 1; index < len(writes); index++ {
		for key := range writes[index-1].Keys {
			if _, present := writes[index].Keys[key]; !present {
				withdrawn[key] = writes[index].At
			}
		}
		for key := range writes[index].Keys {
			delete(withdrawn, key)
		}
	}
	return withdrawn
}
