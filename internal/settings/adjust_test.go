// Bounds that leave each other little room: what is derived, what is given up, and the warnings.
package settings

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func warningsOf(cfg Settings) string {
	lines := []string{}
	for _, warning := range cfg.Warnings {
		lines = append(lines, warning.String())
	}
	return strings.Join(lines, "\n")
}

func TestBoundsWithRoomStayAsTheyAre(t *testing.T) {
	c := qt.New(t)
	fitted := Default().AdjustBounds(Expected{Contact: 3 * time.Second, WriteAcks: 4 * time.Second})
	c.Assert(fitted.Bounds, qt.DeepEquals, Default().Bounds)
	c.Assert(fitted.Warnings, qt.HasLen, 0)
}

// A lease is shortened until a takeover fits in the tightest bound; past the shortest
// lease the rule's own bound is kept, and a warning names what is given up.
func TestLeaseFollowsTheTightestBound(t *testing.T) {
	c := qt.New(t)
	for _, tried := range []struct {
		name    string
		alter   func(bounds *Bounds, expected *Expected)
		room    time.Duration // that a takeover has to stay within; 0: the shortest lease stands
		warning string
	}{
		{"usage", func(b *Bounds, _ *Expected) { b.HolderCooldown, b.UsageReportDelay = 4300, 6000 }, 2400 * time.Millisecond, ""},
		{"usage, no room", func(b *Bounds, _ *Expected) { b.UsageReportDelay = 2000 }, 0, "bounds.usage_late_ms"},
		{"keys", func(b *Bounds, _ *Expected) { b.HolderCooldown, b.KeyWithdrawal = 4300, 2000 }, 1800 * time.Millisecond, ""},
		{"keys, no room", func(b *Bounds, _ *Expected) { b.KeyWithdrawal = 1000 }, 0, "bounds.key_withdrawal_ms"},
		{"restore", func(b *Bounds, _ *Expected) { b.Restore = 5000 }, 2500 * time.Millisecond, ""},
		{"writes", func(_ *Bounds, e *Expected) { e.Contact, e.WriteAcks = time.Second, 2*time.Second }, 1800 * time.Millisecond, ""},
		{"writes, no room", func(_ *Bounds, e *Expected) { e.WriteAcks = 500 * time.Millisecond }, 0, "acknowledgement of writes"},
	} {
		cfg, expected := Default(), Expected{}
		tried.alter(&cfg.Bounds, &expected)
		rest := cfg.Bounds.HolderCooldown
		fitted := cfg.AdjustBounds(expected)
		comment := qt.Commentf("%s: lease %v, takeover %v, %s", tried.name, fitted.Lease(), fitted.LeaseTakeover(), warningsOf(fitted))
		c.Check(fitted.Bounds.HolderCooldown, qt.Equals, rest, comment)
		c.Check(fitted.Lease() >= ms(shortestLease), qt.IsTrue, comment)
		if tried.room > 0 {
			c.Check(fitted.LeaseTakeover() < tried.room, qt.IsTrue, comment)
			c.Check(fitted.Warnings, qt.HasLen, 0, comment)
			continue
		}
		c.Check(fitted.Lease(), qt.Equals, ms(shortestLease), comment)
		c.Check(warningsOf(fitted), qt.Contains, tried.warning, comment)
	}
}

// Figures below what the programs can do are lifted, and said.
func TestFloorsAreSaid(t *testing.T) {
	c := qt.New(t)
	cfg := Default()
	cfg.Bounds.ConfigurationInForce, cfg.Bounds.ResponseDelay, cfg.Bounds.HolderCooldown, cfg.Bounds.RetryShare = 10, 0, 0, 3
	fitted := cfg.AdjustBounds(Expected{})
	c.Assert(fitted.Bounds.ConfigurationInForce, qt.Equals, int64(shortestInForce))
	c.Assert(fitted.Bounds.ResponseDelay, qt.Equals, int64(shortestOther))
	c.Assert(fitted.Bounds.HolderCooldown, qt.Equals, int64(shortestLease*2))
	c.Assert(fitted.Bounds.RetryShare, qt.Equals, mostRetryShare)
	c.Assert(warningsOf(fitted), qt.Contains, "bounds.configuration_in_force_ms: 10 is below what can be kept")
	faults := Faults{}
	fitted.checkBounds(&faults)
	c.Assert(faults, qt.HasLen, 0)
}

func TestVotersForABudget(t *testing.T) {
	c := qt.New(t)
	for _, tried := range []struct {
		tolerated Tolerated
		seeds     int
		wanted    int64
	}{
		{Tolerated{}, 1, 1}, {Tolerated{}, 2, 1}, {Tolerated{}, 3, 3}, {Tolerated{Machines: 1}, 3, 3}, {Tolerated{Machines: 2}, 3, 5},
		{Tolerated{Zones: 1}, 3, 3}, {Tolerated{Zones: 2}, 3, 5}, {Tolerated{Regions: 1}, 3, 3}, {Tolerated{Machines: 4, Zones: 1}, 3, 9},
		{Tolerated{Machines: 1}, 2, 1}, {Tolerated{Machines: 1000}, 3, maxVoters},
	} {
		c.Check(VotersFor(tried.tolerated, tried.seeds), qt.Equals, tried.wanted, qt.Commentf("%+v", tried))
	}
}

// The base interval is the default's own bound, and shorter where any other bound asks for it.
func TestBaseIntervalFollowsTheTightestBound(t *testing.T) {
	c := qt.New(t)
	c.Assert(Default().BaseInterval(), qt.Equals, 2*time.Second)
	for name, tried := range map[string]struct {
		alter  func(bounds *Bounds)
		wanted time.Duration
	}{
		"in force":       {func(b *Bounds) { b.ConfigurationInForce = 1000 }, time.Second},
		"in force, long": {func(b *Bounds) { b.ConfigurationInForce = 30000 }, 2 * time.Second},
		"lease":          {func(b *Bounds) { b.Lease = 600 }, 800 * time.Millisecond},
		"catching up":    {func(b *Bounds) { b.CatchUp = 1000 }, 500 * time.Millisecond},
		"restore":        {func(b *Bounds) { b.Restore = 7500 }, time.Second},
		"keys":           {func(b *Bounds) { b.KeyWithdrawal = 2000 }, 800 * time.Millisecond},
		"keys, 5 s":      {func(b *Bounds) { b.KeyWithdrawal = 5000 }, 2 * time.Second},
		"floor":          {func(b *Bounds) { b.CatchUp = 200 }, shortestBaseInterval},
	} {
		cfg := Default()
		tried.alter(&cfg.Bounds)
		c.Check(cfg.BaseInterval(), qt.Equals, tried.wanted, qt.Commentf(name))
	}
}
