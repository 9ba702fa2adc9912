package quorum

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
)

// memberList says which identity holds each voter.
type memberList map[string]string

// voters lists the voters by name.
func (l memberList) voters() []string { return slices.Sorted(maps.Keys(l)) }

// identities lists the holders, in no order.
func (l memberList) identities() []string { return slices.Collect(maps.Values(l)) }

// digest is a hash of the whole list.
func (l memberList) digest() string {
	hash := fnv.New64a()
	for _, voter := range l.voters() {
		fmt.Fprintf(hash, "%q=%q;", voter, l[voter])
	}
	return strconv.FormatUint(hash.Sum64(), randomBase)
}

// with is a copy in which a voter has another holder.
func (l memberList) with(voter, holder string) memberList {
	changed := maps.Clone(l)
	changed[voter] = holder
	return changed
}

// join is a copy that has, for each voter, the later holder of the two lists; grown says that the other list
// had a later one.
func (l memberList) join(other memberList) (joined memberList, grown bool) {
	joined = maps.Clone(l)
	for voter, holder := range other {
		if holder > joined[voter] {
			joined[voter], grown = holder, true
		}
	}
	return joined, grown
}
