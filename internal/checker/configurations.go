package checker

import "time"

// checkConfigurationArrivals checks that each acknowledged version is in force within
// Bounds.ConfigurationInForce on every node that was running and connected during that time.
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
				r.addViolation(configurationLate, "version %d was acknowledged at %s and in force on %s at %s (-1ns: never), bound %s",
					write.Version, write.At, span.Name, at, bound)
				continue
			}
			r.recordWorst(configurationMS, float64(max(0, at-write.At).Milliseconds()))
		}
	}
}

// inForceAt returns when the written version, or a newer one, was first in force on the node of a span
// in the incarnation of that span. If it never was, at is -1 and arrived is false.
func inForceAt(activations []Activation, write Write, span Span) (at time.Duration, arrived bool) {
	at = -1
	for _, activation := range activations {
		if activation.Node != span.Name || activation.ConfigName != write.ConfigName ||
			activation.Version < write.Version || activation.At < span.StartedAt {
			continue
		}
		if at < 0 || activation.At < at {
			at = activation.At
		}
	}
	return at, at >= 0
}

// checkConfigurationOrder checks that no node returns to an older version of a configuration later than
// Bounds.RollbackWindow after the newest one came into force.
func (r *Review) checkConfigurationOrder(record Record) {
	type nodeConfig struct{ node, configName string }
	latest := map[nodeConfig]Activation{}
	for _, activation := range record.Activations {
		key := nodeConfig{activation.Node, activation.ConfigName}
		last, known := latest[key]
		if known && activation.Version < last.Version && activation.At > last.At+record.Bounds.RollbackWindow {
			r.addViolation(configurationRolledBack, "%s returned from version %d to version %d",
				activation.Node, last.Version, activation.Version)
			continue
		}
		if !known || activation.Version >= last.Version {
			latest[key] = activation
		}
	}
}

// storedLog holds the versions of one configuration that one voter returned: their digests, and the
// lowest version among them.
type storedLog struct {
	digests map[int64]string
	lowest  int64
}

// mayLack reports whether the voter is allowed to have discarded a version: it returned at least as
// many versions as it has to retain, and all of them are newer.
func (s *storedLog) mayLack(version int64, retained int) bool {
	return len(s.digests) >= retained && version < s.lowest
}

// checkConfigurationCopies checks that at the end of the run each voter returns every acknowledged
// version that it has to retain, byte for byte.
func (r *Review) checkConfigurationCopies(record Record) {
	type voterConfig struct{ voter, configName string }
	logs := map[voterConfig]*storedLog{}
	for _, stored := range record.StoredVersions {
		r.count(versionReadBack)
		key := voterConfig{stored.Voter, stored.ConfigName}
		if logs[key] == nil {
			logs[key] = &storedLog{digests: map[int64]string{}, lowest: stored.Version}
		}
		logs[key].digests[stored.Version] = stored.Digest
		logs[key].lowest = min(logs[key].lowest, stored.Version)
	}
	for key, log := range logs {
		for _, write := range record.Writes {
			if write.ConfigName != key.configName {
				continue
			}
			digest, stored := log.digests[write.Version]
			switch {
			case !stored && log.mayLack(write.Version, record.RetainedVersions):
			case !stored:
				r.addViolation(configurationLost, "%s version %d was acknowledged, but %s does not return it",
					key.configName, write.Version, key.voter)
			case digest != write.Digest:
				r.addViolation(configurationLost, "%s version %d is returned by %s with a different digest",
					key.configName, write.Version, key.voter)
			}
		}
	}
}
