package checker

import "sort"

// acts checks that once a holder of a higher epoch has acted, no lower one does.
func (r *Review) acts(record Record) {
	highest := map[string]int64{}
	for _, act := range record.Acts {
		r.Seen["holder acts"]++
		if act.Epoch < highest[act.Tag] {
			r.add("stale-act", "%s: %s acted in epoch %d after %d", act.Tag, act.Voter, act.Epoch, highest[act.Tag])
		}
		highest[act.Tag] = max(highest[act.Tag], act.Epoch)
	}
}

// holders checks that no epoch of a lease has two holders, and that no voter gets a lease back from
// another within the rest.
func (r *Review) holders(record Record) {
	byTag := map[string][]Keeping{}
	for _, keeping := range record.Keeping {
		byTag[keeping.Tag] = append(byTag[keeping.Tag], keeping)
	}
	for tag, list := range byTag {
		sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
		owner := map[int64]string{}
		for index, keeping := range list {
			r.Seen["leases"]++
			if voter, known := owner[keeping.Epoch]; known && voter != keeping.Voter {
				r.add("two-holders", "%s epoch %d: %s and %s", tag, keeping.Epoch, voter, keeping.Voter)
			}
			owner[keeping.Epoch] = keeping.Voter
			if index == 0 || list[index-1].Voter == keeping.Voter {
				continue
			}
			r.Seen["takeovers"]++
			for back := index - 2; back >= 0; back-- {
				if list[back].Voter == keeping.Voter && keeping.At-list[back+1].At < record.Bounds.HolderRest {
					r.add("back-and-forth", "%s: %s, %s, %s within %s",
						tag, keeping.Voter, list[back+1].Voter, keeping.Voter, keeping.At-list[back+1].At)
				}
				if list[back].Voter != list[back+1].Voter {
					break
				}
			}
		}
	}
}
