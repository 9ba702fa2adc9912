package checker

import "time"

// checkConfigurationArrivals checks that each acknowledged version comes into force in time on every
// node that was up and connected all the while.
func (r *Review) checkConfigurationArrivals(record Record) {
	bound := record.Bounds.ConfigurationInForce
	for _, write := range record.Writes {
		for _, span := range record.Up {
			if span.From > write.At || span.To < write.At+bound {
				continue
			}
			r.count(configurationArrival)
			at, arrived := inForceAt(record.Activations, write, span)
			if !arrived || at > write.At+bound {
				r.violate(configurationLate, "version %d acknowledged at %s is in force on %s at %s",
					write.Version, write.At, span.Name, at)
				continue
			}
			r.measure(configurationMS, float64(max(0, at-write.At).Milliseconds()))
		}
	}
}

// inForceAt returns when a node, in the incarnation of a span, first had a version or a newer one in
// force.
func inForceAt(forced []Activation, write Write, span Span) (at time.Duration, arrived bool) {
	at = -1
	for _, force := range forced {
		if force.Node != span.Name || force.ConfigName != write.ConfigName || force.Version < write.Version || force.At < span.StartedAt {
			continue
		}
		if at < 0 || force.At < at {
			at = force.At
		}
	}
	return at, at >= 0
}

// checkConfigurationOrder checks that no node goes back to an older version.
func (r *Review) checkConfigurationOrder(record Record) {
	type topic struct{ node, configName string }
	newest := map[topic]Activation{}
	for _, force := range record.Activations {
		key := topic{force.Node, force.ConfigName}
		last, known := newest[key]
		if known && force.Version < last.Version && force.At > last.At+record.Bounds.RollbackWindow {
			r.violate(configurationSlip, "%s went from %d to %d", force.Node, last.Version, force.Version)
			continue
		}
		if !known || force.Version >= last.Version {
			newest[key] = force
		}
	}
}

// storedLog is one configuration at one voter: the digest of each version that it returns.
type storedLog struct {
	digests map[int64]string
	lowest  int64
}

// discarded reports whether a voter need not have a version any more: it has as many as it must
// keep, all of them newer.
func (s *storedLog) discarded(version int64, mustKeep int) bool {
	return len(s.digests) >= mustKeep && version < s.lowest
}

// checkConfigurationCopies checks that at the end each voter returns the very bytes of every
// acknowledged version, as far as it must keep them.
func (r *Review) checkConfigurationCopies(record Record) {
	type place struct{ voter, configName string }
	logs := map[place]*storedLog{}
	for _, kept := range record.StoredVersions {
		r.count(versionReadBack)
		at := place{kept.Voter, kept.ConfigName}
		if logs[at] == nil {
			logs[at] = &storedLog{digests: map[int64]string{}, lowest: kept.Version}
		}
		logs[at].digests[kept.Version] = kept.Digest
		logs[at].lowest = min(logs[at].lowest, kept.Version)
	}
	for at, log := range logs {
		for _, write := range record.Writes {
			if write.ConfigName != at.configName {
				continue
			}
			digest, stored := log.digests[write.Version]
			switch {
			case !stored && log.discarded(write.Version, record.RetainedVersions):
			case !stored:
				r.violate(configurationLost, "%s %d was acknowledged, %s does not give it back",
					at.configName, write.Version, at.voter)
			case digest != write.Digest:
				r.violate(configurationLost, "%s %d comes back from %s with other bytes",
					at.configName, write.Version, at.voter)
			}
		}
	}
}
