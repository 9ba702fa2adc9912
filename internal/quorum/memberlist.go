package quorum

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
)

// memberList maps each voter of a group to the identity that holds it.
type memberList map[string]string

// voters returns the voters in the order of their names.
func (l memberList) voters() []string { return slices.Sorted(maps.Keys(l)) }

// identities returns the holders in no particular order.
func (l memberList) identities() []string { return slices.Collect(maps.Values(l)) }

// digest returns a hash of all voters and holders of the list.
func (l memberList) digest() string {
	hash := fnv.New64a()
	for _, voter := range l.voters() {
		fmt.Fprintf(hash, "%q=%q;", voter, l[voter])
	}
	return strconv.FormatUint(hash.Sum64(), randomBase)
}

// withHolder returns a copy of the list in which a voter has another holder.
func (l memberList) withHolder(voter, holder string) memberList {
	changed := maps.Clone(l)
	changed[voter] = holder
	return changed
}

// merge returns a copy that has, for each voter, the later holder of the two lists. changed reports whether the
// other list had a later holder of any voter.
func (l memberList) merge(other memberList) (merged memberList, changed bool) {
	merged = maps.Clone(l)
	for voter, holder := range other {
		if holder > merged[voter] {
			merged[voter], changed = holder, true
		}
	}
	return merged, changed
}
