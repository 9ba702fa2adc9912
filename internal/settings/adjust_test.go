// Tests of AdjustBounds: the values derived from tight bounds, and the warnings for bounds that are not kept.
package settings

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// warningLines returns the warnings of some settings, one a line.
func warningLines(cfg Settings) string {
	lines := []string{}
	for _, warning := range cfg.Warnings {
		lines = append(lines, warning.String())
	}
	return strings.Join(lines, "\n")
}

func TestCompatibleBoundsAreUnchanged(t *testing.T) {
	c := qt.New(t)
	adjusted := Default().AdjustBounds(Expected{Contact: 3 * time.Second, WriteAcks: 4 * time.Second})
	c.Assert(adjusted.Bounds, qt.DeepEquals, Default().Bounds)
	c.Assert(adjusted.Warnings, qt.HasLen, 0)
}

// A lease is shortened until a takeover fits in the tightest bound, but not below the minimum lease. There
// HolderCooldown still stays as it is, and a warning names the bound that is not kept.
func TestLeaseFollowsTheTightestBound(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name    string
		change  func(bounds *Bounds, expected *Expected)
		limit   time.Duration // for a takeover; 0: the minimum lease is expected
		warning string
	}{
		{"usage", func(b *Bounds, _ *Expected) { b.HolderCooldown, b.UsageReportDelay = 4300, 6000 }, 2400 * time.Millisecond, ""},
		{"usage, too short", func(b *Bounds, _ *Expected) { b.UsageReportDelay = 2000 }, 0, "bounds.usage_late_ms"},
		{"keys", func(b *Bounds, _ *Expected) { b.HolderCooldown, b.KeyWithdrawal = 4300, 2000 }, 1800 * time.Millisecond, ""},
		{"keys, too short", func(b *Bounds, _ *Expected) { b.KeyWithdrawal = 1000 }, 0, "bounds.key_withdrawal_ms"},
		{"restore", func(b *Bounds, _ *Expected) { b.Restore = 5000 }, 2500 * time.Millisecond, ""},
		{"writes", func(_ *Bounds, e *Expected) { e.Contact, e.WriteAcks = time.Second, 2*time.Second }, 1800 * time.Millisecond, ""},
		{"writes, too short", func(_ *Bounds, e *Expected) { e.WriteAcks = 500 * time.Millisecond }, 0, "acknowledgement of writes"},
	} {
		cfg, expected := Default(), Expected{}
		test.change(&cfg.Bounds, &expected)
		holderCooldown := cfg.Bounds.HolderCooldown
		adjusted := cfg.AdjustBounds(expected)
		comment := qt.Commentf("%s: lease %v, takeover %v, %s",
			test.name, adjusted.Lease(), adjusted.LeaseTakeover(), warningLines(adjusted))
		c.Check(adjusted.Bounds.HolderCooldown, qt.Equals, holderCooldown, comment)
		c.Check(adjusted.Lease() >= milliseconds(minLeaseMillis), qt.IsTrue, comment)
		if test.limit > 0 {
			c.Check(adjusted.LeaseTakeover() < test.limit, qt.IsTrue, comment)
			c.Check(adjusted.Warnings, qt.HasLen, 0, comment)
			continue
		}
		c.Check(adjusted.Lease(), qt.Equals, milliseconds(minLeaseMillis), comment)
		c.Check(warningLines(adjusted), qt.Contains, test.warning, comment)
	}
}

// Bounds below the programs' minimums are raised, and each raise is reported by a warning.
func TestRaisedMinimumsAreReported(t *testing.T) {
	c := qt.New(t)
	cfg := Default()
	cfg.Bounds.ConfigurationInForce, cfg.Bounds.ResponseDelay, cfg.Bounds.HolderCooldown, cfg.Bounds.RetryShare = 10, 0, 0, 3
	adjusted := cfg.AdjustBounds(Expected{})
	c.Assert(adjusted.Bounds.ConfigurationInForce, qt.Equals, int64(minInForceMillis))
	c.Assert(adjusted.Bounds.ResponseDelay, qt.Equals, int64(minNonzeroMillis))
	c.Assert(adjusted.Bounds.HolderCooldown, qt.Equals, int64(minLeaseMillis*2))
	c.Assert(adjusted.Bounds.RetryShare, qt.Equals, maxRetryShare)
	c.Assert(warningLines(adjusted), qt.Contains, "bounds.configuration_in_force_ms: 10 is below the minimum and is raised to 400")
	faults := Faults{}
	adjusted.checkBounds(&faults)
	c.Assert(faults, qt.HasLen, 0)
}

func TestVotersForTolerated(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		tolerated Tolerated
		seeds     int
		expected  int64
	}{
		{Tolerated{}, 1, 1}, {Tolerated{}, 2, 1}, {Tolerated{}, 3, 3}, {Tolerated{Machines: 1}, 3, 3}, {Tolerated{Machines: 2}, 3, 5},
		{Tolerated{Zones: 1}, 3, 3}, {Tolerated{Zones: 2}, 3, 5}, {Tolerated{Regions: 1}, 3, 3}, {Tolerated{Machines: 4, Zones: 1}, 3, 9},
		{Tolerated{Machines: 1}, 2, 1}, {Tolerated{Machines: 1000}, 3, maxVoters},
	} {
		c.Check(VotersFor(test.tolerated, test.seeds), qt.Equals, test.expected, qt.Commentf("%+v", test))
	}
}

// The base interval is that of the default bounds, and shorter where any bound requires it.
func TestBaseIntervalFollowsTheTightestBound(t *testing.T) {
	c := qt.New(t)
	c.Assert(Default().BaseInterval(), qt.Equals, 2*time.Second)
	for name, test := range map[string]struct {
		change   func(bounds *Bounds)
		expected time.Duration
	}{
		"in force":       {func(b *Bounds) { b.ConfigurationInForce = 1000 }, time.Second},
		"in force, long": {func(b *Bounds) { b.ConfigurationInForce = 30000 }, 2 * time.Second},
		"lease":          {func(b *Bounds) { b.Lease = 600 }, 800 * time.Millisecond},
		"catching up":    {func(b *Bounds) { b.CatchUp = 1000 }, 500 * time.Millisecond},
		"restore":        {func(b *Bounds) { b.Restore = 7500 }, time.Second},
		"keys":           {func(b *Bounds) { b.KeyWithdrawal = 2000 }, 800 * time.Millisecond},
		"keys, 5 s":      {func(b *Bounds) { b.KeyWithdrawal = 5000 }, 2 * time.Second},
		"floor":          {func(b *Bounds) { b.CatchUp = 200 }, minBaseInterval},
	} {
		cfg := Default()
		test.change(&cfg.Bounds)
		c.Check(cfg.BaseInterval(), qt.Equals, test.expected, qt.Commentf(name))
	}
}
