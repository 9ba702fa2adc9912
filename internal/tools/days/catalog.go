package main

// span is a closed interval of numbers. The zero span means that the field is absent.
type span struct{ low, high float64 }

// entryKind describes one kind of entry in a day file, a fault or a planned action, and the values
// that a random entry of this kind may have. A zero span leaves its field out of the entry.
type entryKind struct {
	kind      string
	planned   bool     // written to the day's plan instead of its faults
	weight    int      // relative probability of being drawn from its catalogue
	variants  []string // values of the entry's "how"; "" leaves the field out
	modifiers []string // optional suffixes of "how" after a variant: meet, race, hard, drain
	classes   []string // machine classes for the entry's "on": "" for machines beside upstreams, "core"
	duration  span     // the entry's "for_s", in seconds
	share     span     // fraction of the candidates to affect, 0 to 1
	count     span     // rounded to an integer
	strength  span     // the entry's "x"; its unit depends on the kind
	gap       span     // the entry's "gap_s", in seconds
}

// Machine classes that an entry may affect.
var (
	anyClass  = []string{"", "core"}
	coreClass = []string{"core"}
)

// lossModifiers lists the modifiers of entries that stop or disconnect a machine.
var lossModifiers = []string{"meet", "race", "race hard", "drain", "meet drain", "race drain", "hard"}

// controlEntries lists the kinds that affect the core machines, the operators and the disks. Together,
// the two catalogues contain every kind that the bench lists for the current deployments.
var controlEntries = []entryKind{
	{
		kind: "core_cut", weight: 10,
		variants: []string{
			"", "leader", "leader one_way", "one_way", "all", "near", "oldest", "seeds",
			"both", "lure", "reset", "leader reset", "refuse", "turn", "leader all", "leader near",
		},
		modifiers: lossModifiers, duration: span{1, 20}, count: span{1, 1},
	},
	{
		kind: "kill_leader", weight: 6,
		variants:  []string{"kill", "freeze", "power", "cut"},
		modifiers: []string{"race", "meet", "race hard"}, duration: span{0.3, 12},
	},
	{kind: "after_ack_kill", weight: 4, variants: []string{"", "kill", "timed", "taken"}, duration: span{0.5, 6}, count: span{1, 1}},
	{kind: "after_ack_wipe", weight: 5, variants: []string{"", "timed", "taken", "oldest"}, duration: span{0.5, 5}},
	{kind: "replace_core", weight: 5, variants: []string{"", "planned", "oldest", "oldest planned"}, strength: span{0.3, 4}},
	{
		kind: "node_kill", weight: 4,
		variants:  []string{"", "leader", "power", "leader power", "turn"},
		modifiers: lossModifiers, classes: coreClass, duration: span{0.5, 8}, count: span{1, 1},
	},
	{
		kind: "node_freeze", weight: 4,
		variants:  []string{"", "leader"},
		modifiers: []string{"race", "meet"}, classes: coreClass, duration: span{0.5, 12}, count: span{1, 1},
	},
	{
		kind: "node_slow", weight: 2,
		variants: []string{"", "leader"},
		classes:  coreClass, duration: span{2, 10}, count: span{1, 1}, strength: span{2, 10},
	},
	{
		kind: "herd_kill", weight: 3,
		variants: []string{"", "power", "taken", "taken all"},
		classes:  coreClass, duration: span{0.3, 3}, share: span{0.4, 1},
	},
	{
		kind: "roll_term", planned: true, weight: 2,
		variants: []string{"", "busy", "turn busy"},
		classes:  coreClass, share: span{0.3, 1}, strength: span{1, 1}, gap: span{1, 4},
	},
	{kind: "seed_turnover", weight: 2},
	{kind: "disk_slow", weight: 3, variants: []string{"", "leader"}, duration: span{2, 10}, count: span{1, 1}, strength: span{5, 60}},
	{kind: "disk_full", weight: 3, variants: []string{"", "leader"}, duration: span{1, 8}, count: span{1, 1}},
	{kind: "disk_stall", weight: 3, variants: []string{"", "leader"}, duration: span{0.5, 6}, count: span{1, 1}},
	{
		kind: "clock_step", weight: 3,
		variants: []string{"", "back", "ahead"},
		duration: span{2, 12}, share: span{0.1, 0.6}, strength: span{200, 8000},
	},
	{kind: "reset_conns", weight: 2, classes: anyClass, share: span{0.1, 1}, strength: span{0.3, 1}},
	{kind: "config_race", planned: true, weight: 8, count: span{2, 40}, gap: span{0.2, 2}},
	{kind: "config_change", planned: true, weight: 6, variants: []string{"route", "weights", "timeout", "tenant", "quota", "idle"}},
	{
		kind: "bad_config", planned: true, weight: 3,
		variants: []string{
			"", "cut_short", "unknown_service", "same_place", "no_weight",
			"no_timeout", "old_version", "same_version", "stale_match", "shared_key",
		},
		count: span{1, 4}, gap: span{0.2, 1.5},
	},
	{kind: "big_config", planned: true, weight: 1, count: span{100, 500}},
	{kind: "revoke", planned: true, weight: 2, count: span{1, 3}, gap: span{0.5, 2}},
	{kind: "ack_lost", weight: 5, duration: span{3, 14}, strength: span{0.3, 0.9}},
	{kind: "cloud_down", weight: 2, variants: []string{"", "silent", "busy", "reset"}, duration: span{1, 7}},
	{kind: "cloud_slow", weight: 1, duration: span{2, 7}, strength: span{10, 60}},
}

// trafficEntries lists the kinds that affect the proxies, the upstreams and the callers.
var trafficEntries = []entryKind{
	{
		kind: "node_kill", weight: 3,
		variants:  []string{"", "power", "turn"},
		modifiers: []string{"meet", "drain"}, duration: span{0.5, 5}, share: span{0.1, 0.4},
	},
	{kind: "node_freeze", weight: 3, duration: span{0.5, 5}, share: span{0.1, 0.4}},
	{kind: "node_slow", weight: 1, duration: span{1, 5}, share: span{0.1, 0.3}, strength: span{2, 8}},
	{
		kind: "node_cut", weight: 4,
		variants:  []string{"", "all", "servers", "reset", "refuse"},
		modifiers: []string{"meet"}, duration: span{1, 10}, share: span{0.1, 0.4},
	},
	{kind: "herd_kill", weight: 2, variants: []string{"", "power"}, duration: span{0.5, 2}, share: span{0.3, 0.7}},
	{
		kind: "roll_term", planned: true, weight: 3,
		variants: []string{"", "busy", "remove"},
		share:    span{0.2, 0.6}, strength: span{1, 2}, gap: span{0.5, 2},
	},
	{kind: "hup", planned: true, weight: 2, share: span{0.2, 1}, gap: span{0.05, 0.5}},
	{kind: "release", planned: true, weight: 3, share: span{0.2, 0.6}, strength: span{1, 2}, gap: span{0.4, 1.5}},
	{kind: "scale_in", planned: true, weight: 2, variants: []string{"", "spot"}, share: span{0.1, 0.2}},
	{kind: "scale_out", planned: true, weight: 1, share: span{0.1, 0.4}, gap: span{0.3, 1}},
	{kind: "replace_with_reuse", weight: 3, variants: []string{"", "drain", "dark"}, share: span{0.1, 0.25}},
	{
		kind: "answer_lost", weight: 3,
		variants: []string{"", "reset"},
		duration: span{3, 10}, share: span{0.3, 0.7}, strength: span{0.01, 0.08},
	},
	{
		kind: "garble", weight: 3,
		variants: []string{"", "extra", "extra late", "unframed", "early"},
		duration: span{3, 10}, share: span{0.3, 0.7}, strength: span{0.01, 0.08},
	},
	{kind: "srv_crash", weight: 2, variants: []string{"", "dark", "gone"}, duration: span{1, 5}, share: span{0.1, 0.2}},
	{kind: "srv_slow", weight: 1, duration: span{2, 6}, share: span{0.1, 0.3}, strength: span{2, 5}},
	{
		kind: "srv_grey", weight: 1,
		variants: []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"},
		duration: span{2, 6}, share: span{0.1, 0.2},
	},
	{kind: "srv_flap", weight: 1, duration: span{3, 8}, share: span{0.1, 0.2}, gap: span{0.5, 2}},
	{
		kind: "srv_lying_health", weight: 1,
		variants: []string{"errors", "hang", "reset", "bad"},
		duration: span{2, 6}, share: span{0.1, 0.2},
	},
	{kind: "idle_race", weight: 1, duration: span{3, 8}, share: span{0.3, 0.7}, strength: span{100, 500}},
	{kind: "burst", weight: 1, duration: span{2, 5}, strength: span{1.2, 2}},
	{kind: "retry_abuse", weight: 1, duration: span{2, 6}, share: span{0.1, 0.4}, strength: span{1, 3}},
	{kind: "give_up", weight: 1, duration: span{2, 8}, share: span{0.1, 0.5}},
}

// closings lists the faults that may end a day. The kind "" means that the day ends without one.
var closings = []struct {
	kind     string
	variants []string
}{
	{"", []string{""}},
	{"power_off_all", []string{"", "timed", "taken"}},
	{"kill_all", []string{"", "timed", "taken"}},
	{"wipe_after_ack", []string{"", "aimed", "timed", "taken", "oldest"}},
}
