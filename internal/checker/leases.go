package checker

import "sort"

// checkHolderActions checks that no holder acts under an epoch that is lower than one under which a
// holder of the same lease acted before.
func (r *Review) checkHolderActions(record Record) {
	highest := map[string]int64{}
	for _, action := range record.HolderActions {
		r.count(holderAction)
		if action.Epoch < highest[action.LeaseName] {
			r.addViolation(staleHolderAction, "%s: %s acted in epoch %d after an action in epoch %d",
				action.LeaseName, action.Voter, action.Epoch, highest[action.LeaseName])
		}
		highest[action.LeaseName] = max(highest[action.LeaseName], action.Epoch)
	}
}

// checkLeaseHolders checks that no epoch of a lease has two holders, and that no voter gets a lease
// back from another one before Bounds.HolderCooldown has passed.
func (r *Review) checkLeaseHolders(record Record) {
	byLease := map[string][]LeaseTenure{}
	for _, tenure := range record.LeaseTenures {
		byLease[tenure.LeaseName] = append(byLease[tenure.LeaseName], tenure)
	}
	for leaseName, tenures := range byLease {
		sort.SliceStable(tenures, func(i, j int) bool { return tenures[i].At < tenures[j].At })
		voterOf := map[int64]string{}
		for index, tenure := range tenures {
			r.count(leaseTenure)
			if voter, known := voterOf[tenure.Epoch]; known && voter != tenure.Voter {
				r.addViolation(twoHolders, "%s: epoch %d is held by %s and by %s", leaseName, tenure.Epoch, voter, tenure.Voter)
			}
			voterOf[tenure.Epoch] = tenure.Voter
			if index == 0 || tenures[index-1].Voter == tenure.Voter {
				continue
			}
			r.count(leaseTakeover)
			r.checkFlapping(record.Bounds, leaseName, tenures[:index+1])
		}
	}
}

// checkFlapping checks that the voter of the last tenure, which took the lease over, did not lose it to
// its predecessor less than Bounds.HolderCooldown before. It goes back only as far as the tenure of the
// voter that held the lease before the predecessor.
func (r *Review) checkFlapping(bounds Bounds, leaseName string, tenures []LeaseTenure) {
	last := tenures[len(tenures)-1]
	for index := len(tenures) - 3; index >= 0; index-- {
		earlier, between := tenures[index], tenures[index+1]
		if earlier.Voter == last.Voter && last.At-between.At < bounds.HolderCooldown {
			r.addViolation(leaseFlapped, "%s: went from %s to %s and back to %s within %s",
				leaseName, last.Voter, between.Voter, last.Voter, last.At-between.At)
		}
		if earlier.Voter != between.Voter {
			return
		}
	}
}
