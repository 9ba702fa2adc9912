package checker

import (
	"sort"
	"time"
)

// configurations checks that each acknowledged version comes into force in time on every node that
// was up and connected all the while.
func (r *Review) configurations(record Record) {
	for _, write := range record.Writes {
		for _, span := range record.Up {
			if span.From > write.At || span.To < write.At+record.Bounds.ConfigurationInForce {
				continue
			}
			r.Seen["configuration arrivals"]++
			at, arrived := inForceAt(record.Forced, write, span)
			if !arrived || at > write.At+record.Bounds.ConfigurationInForce {
				r.add("configuration-late", "version %d acknowledged at %s is in force on %s at %s", write.Version, write.At, span.Name, at)
				continue
			}
			r.worst("configuration-in-force-ms", float64(max(0, at-write.At).Milliseconds()))
		}
	}
}

// inForceAt returns when a node, in the life of a span, first had a version or a newer one in force.
func inForceAt(forced []Force, write Write, span Span) (at time.Duration, arrived bool) {
	at = -1
	for _, force := range forced {
		if force.Node != span.Name || force.ConfigName != write.ConfigName || force.Version < write.Version || force.At < span.Born {
			continue
		}
		if at < 0 || force.At < at {
			at = force.At
		}
	}
	return at, at >= 0
}

// slips checks that no node goes back to an older version.
func (r *Review) slips(record Record) {
	newest := map[string]Force{}
	for _, force := range record.Forced {
		key := force.Node + "|" + force.ConfigName
		last, known := newest[key]
		if known && force.Version < last.Version && force.At > last.At+record.Bounds.SlipBack {
			r.add("configuration-slip", "%s went from %d to %d", force.Node, last.Version, force.Version)
			continue
		}
		if !known || force.Version >= last.Version {
			newest[key] = force
		}
	}
}

// kept checks that at the end each voter returns the very bytes of every acknowledged version, as
// far as it must keep them.
func (r *Review) kept(record Record) {
	type copyOf struct{ voter, configName string }
	copies, lowest := map[copyOf]map[int64]string{}, map[copyOf]int64{}
	for _, kept := range record.Kept {
		r.Seen["versions read back"]++
		at := copyOf{kept.Voter, kept.ConfigName}
		if copies[at] == nil {
			copies[at], lowest[at] = map[int64]string{}, kept.Version
		}
		copies[at][kept.Version], lowest[at] = kept.Digest, min(lowest[at], kept.Version)
	}
	for at, versions := range copies {
		for _, write := range record.Writes {
			digest, held := versions[write.Version]
			switch {
			case write.ConfigName != at.configName || !held && len(versions) >= record.KeptMost && write.Version < lowest[at]:
			case !held:
				r.add("configuration-lost", "%s %d was acknowledged, %s does not give it back", at.configName, write.Version, at.voter)
			case digest != write.Digest:
				r.add("configuration-lost", "%s %d comes back from %s with other bytes", at.configName, write.Version, at.voter)
			}
		}
	}
}

// keys checks that a withdrawn key is not honoured past its bound.
func (r *Review) keys(record Record, asked map[string]Asked) {
	if record.Bounds.KeyWithdrawal == 0 {
		return
	}
	withdrawn := withdrawnKeys(record.Writes)
	for _, ran := range record.Ran {
		request := asked[ran.ID]
		at, gone := withdrawn[request.Key]
		if !gone || request.Key == "" {
			continue
		}
		r.Seen["withdrawn key runs"]++
		late := request.Sent - at
		if late > record.Bounds.KeyWithdrawal {
			r.add("key-late", "%s ran with a key withdrawn %s before it was sent", ran.ID, late)
		} else if late > 0 {
			r.worst("key-withdrawal-ms", float64(late.Milliseconds()))
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
