package checker

import "sort"

// checkLeaseActs checks that once a holder of a higher epoch has acted, no lower one does.
func (r *Review) checkLeaseActs(record Record) {
	highest := map[string]int64{}
	for _, act := range record.HolderActions {
		r.count(leaseAct)
		if act.Epoch < highest[act.LeaseName] {
			r.violate(staleAct, "%s: %s acted in epoch %d after %d", act.LeaseName, act.Voter, act.Epoch, highest[act.LeaseName])
		}
		highest[act.LeaseName] = max(highest[act.LeaseName], act.Epoch)
	}
}

// checkLeaseHolders checks that no epoch of a lease has two holders, and that no voter gets a lease
// back from another too soon.
func (r *Review) checkLeaseHolders(record Record) {
	byTag := map[string][]LeaseTenure{}
	for _, holder := range record.LeaseTenures {
		byTag[holder.LeaseName] = append(byTag[holder.LeaseName], holder)
	}
	for tag, holders := range byTag {
		sort.SliceStable(holders, func(i, j int) bool { return holders[i].At < holders[j].At })
		voterOf := map[int64]string{}
		for index, holder := range holders {
			r.count(leaseSeen)
			if voter, known := voterOf[holder.Epoch]; known && voter != holder.Voter {
				r.violate(twoHolders, "%s epoch %d: %s and %s", tag, holder.Epoch, voter, holder.Voter)
			}
			voterOf[holder.Epoch] = holder.Voter
			if index == 0 || holders[index-1].Voter == holder.Voter {
				continue
			}
			r.count(leaseTakeover)
			r.checkFlapping(record.Bounds, tag, holders[:index+1])
		}
	}
}

// checkFlapping checks that the last of the holders, which took the lease over, did not hold it
// itself shortly before: of the holders before it, only the two last voters are looked at.
func (r *Review) checkFlapping(bounds Bounds, tag string, holders []LeaseTenure) {
	last := holders[len(holders)-1]
	for index := len(holders) - 3; index >= 0; index-- {
		earlier, between := holders[index], holders[index+1]
		if earlier.Voter == last.Voter && last.At-between.At < bounds.HolderCooldown {
			r.violate(leaseFlapped, "%s: %s, %s, %s within %s", tag, last.Voter, between.Voter, last.Voter, last.At-between.At)
		}
		if earlier.Voter != between.Voter {
			return
		}
	}
}
