// Package playbill reads and checks the settings. A file is JSON; flags go over it.
// Everything is checked whole at start and every fault is listed with its path, so
// that an operator mends a file once and not fault by fault. The bounds section
// states what must hold; every timer in the programs is a ratio to one of them, and
// those ratios stand here, in one place.
package playbill

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"beaconvane/internal/blocking"
	"beaconvane/internal/notice"
	"beaconvane/internal/script"
)

// Bounds are the promises, in milliseconds unless named otherwise.
type Bounds struct {
	LayoutInForce  int64   `json:"layout_in_force_ms"`
	KeyWithdrawal  int64   `json:"key_withdrawal_ms"`
	Drain          int64   `json:"drain_ms"`
	SlipBack       int64   `json:"slip_back_ms"`
	AnswerHold     int64   `json:"answer_hold_ms"`
	UsageLate      int64   `json:"usage_late_ms"`
	UsageWindow    int64   `json:"usage_window_ms"`
	KeeperRest     int64   `json:"keeper_rest_ms"`
	Tenure         int64   `json:"tenure_ms"` // 0: half of keeper_rest_ms
	Restore        int64   `json:"restore_ms"`
	Beat           int64   `json:"beat_ms"`
	Sync           int64   `json:"sync_ms"`
	RetryShare     float64 `json:"retry_share"`
	RetryWindow    int64   `json:"retry_window_ms"`
	RetryAllowance int64   `json:"retry_allowance"`
}

// Limits are sizes and counts.
type Limits struct {
	Pending     int64   `json:"pending"`
	Body        int64   `json:"body_bytes"`
	Answer      int64   `json:"answer_bytes"`
	Layout      int64   `json:"layout_bytes"`
	Entries     int64   `json:"layout_entries"`
	KeptLayouts int64   `json:"kept_layouts"`
	Fanout      int64   `json:"fanout"`
	Frame       int64   `json:"frame_bytes"`
	Query       int64   `json:"query_ms"`
	Grace       int64   `json:"grace_ms"`
	SpillMargin float64 `json:"spill_margin"`
	Linger      int64   `json:"linger_ms"` // a polite stop takes queries for so long yet
	Memory      int64   `json:"memory_mb"` // of the process; 0: not told
}

// Proofs of whom a query reaches, and what becomes of unknown fields in sheets.
const (
	ProofWire    = "wire"
	ProofTarget  = "target"
	FieldsRefuse = "refuse"
	FieldsKeep   = "keep"

	CountAnswered = "answered"
	CountBegun    = "begun"
)

// Config is the settings of one process.
type Config struct {
	Node      string            `json:"node"`
	Seat      string            `json:"seat"`
	Seats     []string          `json:"seats"`
	SeatCount int64             `json:"seat_count"` // instead of seat and seats: how many, found by the processes themselves
	Found     bool              `json:"found"`      // this start, with an empty disk, may found the group
	District  string            `json:"district"`
	Districts []string          `json:"districts"`
	Address   string            `json:"address"`
	Outside   string            `json:"outside"`
	Seeds     []string          `json:"seeds"`
	Data      string            `json:"data"`
	Sheets    []string          `json:"sheets"`
	Puts      string            `json:"puts"`   // rising: a lower number is a conflict; highest: it is acknowledged and alters nothing
	Slices    []string          `json:"slices"` // a usher's: districts it takes upstreams from; default all
	Collector string            `json:"collector"`
	Active    map[string]string `json:"active"`
	LogLevel  int64             `json:"log_level"`
	Service   string            `json:"service"` // a usher's: the service that calls from its machine; "": callers name theirs
	Beacon    []string          `json:"beacon"`  // a usher's: addresses of its own calls, apart from the callers'; default none apart
	Proof     string            `json:"proof"`   // of whom a query reaches: "wire" or "target"
	Fields    string            `json:"fields"`  // sheets' fields that are not known: "refuse" or "keep"
	Counted   string            `json:"counted"` // for usage: queries "answered", or "begun" by an upstream
	Bounds    Bounds            `json:"bounds"`
	Limits    Limits            `json:"limits"`
}

// Default gives the values that stand when the file is silent.
func Default() Config {
	return Config{
		Sheets: []string{"main"},
		Puts:   PutsRising,
		Active: map[string]string{},
		Proof:  ProofWire,
		Fields: FieldsRefuse, Counted: CountAnswered,
		Bounds: Bounds{
			LayoutInForce: 2000, KeyWithdrawal: 0, Drain: 2000, SlipBack: 250, AnswerHold: 200,
			UsageLate: 10000, UsageWindow: 5000, KeeperRest: 3000, Restore: 15000, Beat: 3000,
			Sync: 50, RetryShare: 0.2, RetryWindow: 10000, RetryAllowance: 10,
		},
		Limits: Limits{
			Pending: 512, Body: 4 << 20, Answer: 8 << 20, Layout: 4 << 20, Entries: 20000, KeptLayouts: 16,
			Fanout: 2, Frame: 16 << 20, Query: 5000, Grace: 10000, SpillMargin: 0.25,
		},
	}
}

// UsageTag is the tag of the usage reports; BookTag that of the promptbooks.
const (
	UsageTag = "usage"
	BookTag  = "book"
)

// seatsMost bounds a group; its roll goes with every telling.
const seatsMost = 99

// How puts are taken.
const (
	PutsRising  = "rising"
	PutsHighest = "highest"
)

// SeatNames gives the names of seats that the settings only count.
func SeatNames(count int64) []string {
	names := []string{}
	for number := range count {
		names = append(names, strconv.FormatInt(number+1, 10))
	}
	return names
}

// Read takes a file's bytes over the defaults and lists every fault. Pairs of a
// flag's name and value go over the file before the check.
func Read(role string, body []byte, flags map[string]string) (Config, []string) {
	config := Default()
	faults := []string{}
	if len(body) > 0 {
		if !gjson.ValidBytes(body) {
			return config, []string{fault(notice.ConfigUnreadable, "$", "not JSON")}
		}
		faults = append(faults, unknownKeys(body)...)
		if err := json.Unmarshal(body, &config); err != nil {
			return config, append(faults, fault(notice.ConfigBadValue, "$", err.Error()))
		}
	}
	for name, value := range flags {
		switch name {
		case "node":
			config.Node = value
		case "seat":
			config.Seat = value
		case "found":
			config.Found = value == "true"
		case "district":
			config.District = value
		case "address":
			config.Address = value
		case "outside":
			config.Outside = value
		case "data":
			config.Data = value
		case "collector":
			config.Collector = value
		case "seeds":
			config.Seeds = strings.Split(value, ",")
		}
	}
	faults = append(faults, config.check(role)...)
	if config.SeatCount > 0 {
		config.Seats = SeatNames(config.SeatCount)
	}
	sort.Strings(faults)
	return config, faults
}

// Load is Read from a path.
func Load(role, path string, flags map[string]string) (Config, error) {
	body := []byte{}
	if path != "" {
		read, err := os.ReadFile(path)
		if err != nil {
			return Config{}, notice.Wrap("playbill.load", notice.ConfigUnreadable, err)
		}
		body = read
	}
	config, faults := Read(role, body, flags)
	if len(faults) > 0 {
		return config, notice.Wrap("playbill.load", notice.ConfigBadValue, fmt.Errorf("%d faults:\n  %s", len(faults), strings.Join(faults, "\n  ")))
	}
	return config, nil
}

func fault(code notice.Code, path, text string) string {
	return fmt.Sprintf("%s: %s (%d)", path, text, int(code))
}

func unknownKeys(body []byte) []string {
	known := func(sample any) map[string]bool {
		names := map[string]bool{}
		text, _ := json.Marshal(sample)
		gjson.ParseBytes(text).ForEach(func(key, _ gjson.Result) bool { names[key.String()] = true; return true })
		return names
	}
	faults := []string{}
	walk := func(path string, value gjson.Result, names map[string]bool) {
		seen := map[string]bool{}
		value.ForEach(func(key, _ gjson.Result) bool {
			if !names[key.String()] {
				faults = append(faults, fault(notice.ConfigUnknownKey, path+key.String(), "unknown key"))
			}
			if seen[key.String()] {
				faults = append(faults, fault(notice.ConfigBadValue, path+key.String(), "key stands twice"))
			}
			seen[key.String()] = true
			return true
		})
	}
	root := gjson.ParseBytes(body)
	walk("", root, known(Default()))
	walk("bounds.", root.Get("bounds"), known(Bounds{}))
	walk("limits.", root.Get("limits"), known(Limits{}))
	return faults
}

func (c Config) check(role string) []string {
	faults := []string{}
	add := func(code notice.Code, path, text string) { faults = append(faults, fault(code, path, text)) }
	needAddress := func(path, value string) {
		if value == "" {
			add(notice.ConfigMissing, path, "missing")
			return
		}
		host, port, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			add(notice.ConfigBadValue, path, "want an IP number and a port, have "+value)
		}
	}
	if c.Node == "" {
		add(notice.ConfigMissing, "node", "missing")
	}
	if c.District == "" {
		add(notice.ConfigMissing, "district", "missing")
	}
	needAddress("address", c.Address)
	if role != script.RolePromptbook {
		needAddress("outside", c.Outside)
	}
	switch {
	case c.SeatCount > 0 && len(c.Seeds) == 0:
		add(notice.ConfigMissing, "seeds", "want at least one address")
	case c.SeatCount == 0 && len(c.Seeds) != 3:
		add(notice.ConfigBadValue, "seeds", "want three addresses")
	}
	for index, address := range c.Beacon {
		needAddress(fmt.Sprintf("beacon.%d", index), address)
	}
	if c.Proof != ProofWire && c.Proof != ProofTarget {
		add(notice.ConfigBadValue, "proof", "want wire or target")
	}
	if c.Fields != FieldsRefuse && c.Fields != FieldsKeep {
		add(notice.ConfigBadValue, "fields", "want refuse or keep")
	}
	if c.Counted != CountAnswered && c.Counted != CountBegun {
		add(notice.ConfigBadValue, "counted", "want answered or begun")
	}
	if c.Limits.Linger < 0 || c.Limits.Memory < 0 || c.Limits.Linger >= c.Limits.Grace {
		add(notice.ConfigBadValue, "limits", "linger_ms and memory_mb want 0 or more, linger_ms less than grace_ms")
	}
	for index, seed := range c.Seeds {
		needAddress(fmt.Sprintf("seeds.%d", index), seed)
	}
	if len(c.Districts) == 0 {
		add(notice.ConfigMissing, "districts", "missing: the names of all districts")
	}
	if c.District != "" && len(c.Districts) > 0 && !slices.Contains(c.Districts, c.District) {
		add(notice.ConfigBadValue, "district", "not among districts")
	}
	for _, slice := range c.Slices {
		if !slices.Contains(c.Districts, slice) {
			add(notice.ConfigBadValue, "slices", "not among districts: "+slice)
		}
	}
	if len(c.Sheets) == 0 {
		add(notice.ConfigMissing, "sheets", "want at least one")
	}
	if c.Puts != PutsRising && c.Puts != PutsHighest {
		add(notice.ConfigBadValue, "puts", "want rising or highest")
	}
	seats := c.Seats
	if c.SeatCount != 0 {
		seats = SeatNames(min(c.SeatCount, seatsMost))
		if c.SeatCount < 1 || c.SeatCount > seatsMost || c.SeatCount%2 == 0 {
			add(notice.ConfigBadValue, "seat_count", fmt.Sprintf("want an odd number from 1 to %d", seatsMost))
		}
		if c.Seat != "" || len(c.Seats) > 0 {
			add(notice.ConfigBadValue, "seat_count", "stands instead of seat and seats, not beside them")
		}
	} else if c.Found {
		add(notice.ConfigBadValue, "found", "goes with seat_count only")
	}
	if role != script.RoleUsher {
		if c.SeatCount == 0 && len(c.Seats) != 3 {
			add(notice.ConfigBadValue, "seats", "want the names of the three seats")
		}
		if c.SeatCount == 0 && (c.Seat == "" || !slices.Contains(c.Seats, c.Seat)) {
			add(notice.ConfigMissing, "seat", "want one of seats")
		}
		if c.Data == "" {
			add(notice.ConfigMissing, "data", "missing: the data folder")
		}
	}
	for tag, seat := range c.Active {
		if tag != UsageTag && tag != BookTag && !slices.Contains(c.Districts, tag) {
			add(notice.ConfigBadValue, "active."+tag, "no such tag")
		}
		if role != script.RoleUsher && !slices.Contains(seats, seat) {
			add(notice.ConfigBadValue, "active."+tag, "no such seat: "+seat)
		}
	}
	b := c.Bounds
	for path, value := range map[string]int64{
		"layout_in_force_ms": b.LayoutInForce, "drain_ms": b.Drain, "slip_back_ms": b.SlipBack, "answer_hold_ms": b.AnswerHold,
		"usage_late_ms": b.UsageLate, "usage_window_ms": b.UsageWindow, "keeper_rest_ms": b.KeeperRest, "restore_ms": b.Restore,
		"beat_ms": b.Beat, "sync_ms": b.Sync, "retry_window_ms": b.RetryWindow,
	} {
		if value <= 0 {
			add(notice.ConfigBadValue, "bounds."+path, "want more than 0")
		}
	}
	if b.Tenure < 0 || b.Tenure > b.KeeperRest/2 {
		add(notice.ConfigBadValue, "bounds.tenure_ms", "want at most half of keeper_rest_ms, or 0")
	}
	if b.KeyWithdrawal < 0 || b.RetryAllowance < 0 || b.RetryShare < 0 || b.RetryShare >= 1 {
		add(notice.ConfigBadValue, "bounds", "key_withdrawal_ms and retry_allowance want 0 or more, retry_share 0 to below 1")
	}
	for path, value := range map[string]int64{
		"pending": c.Limits.Pending, "body_bytes": c.Limits.Body, "answer_bytes": c.Limits.Answer, "layout_bytes": c.Limits.Layout,
		"layout_entries": c.Limits.Entries, "kept_layouts": c.Limits.KeptLayouts, "fanout": c.Limits.Fanout,
		"frame_bytes": c.Limits.Frame, "query_ms": c.Limits.Query, "grace_ms": c.Limits.Grace,
	} {
		if value <= 0 {
			add(notice.ConfigBadValue, "limits."+path, "want more than 0")
		}
	}
	if c.Limits.Frame > 256<<20 {
		add(notice.ConfigBadValue, "limits.frame_bytes", "want at most 268435456")
	}
	if c.Limits.Frame > 0 && (c.Limits.Frame < c.Limits.Body+65536 || c.Limits.Frame < c.Limits.Answer+65536 || c.Limits.Frame < c.Limits.Layout+65536) {
		add(notice.ConfigBoundsClash, "limits.frame_bytes", "must hold a body, an answer or a layout and 64 KiB more")
	}
	if c.Limits.Frame < int64(len(c.Sheets)+1)*(c.Limits.Layout+65536) {
		add(notice.ConfigBoundsClash, "limits.frame_bytes", "must hold the largest layout of every sheet and one more")
	}
	sound := len(faults) == 0 // ratios of broken bounds would only confuse
	clash := func(wrong bool, path, text string) {
		if wrong && sound {
			add(notice.ConfigBoundsClash, path, text)
		}
	}
	clash(c.TakeOver() >= ms(b.UsageLate)-c.SealAfter(), "bounds.usage_late_ms", "a takeover after the seal does not fit in it")
	clash(b.KeyWithdrawal > 0 && c.TakeOver() >= c.StaleGate(), "bounds.key_withdrawal_ms", "a takeover would outlast it: lower keeper_rest_ms or raise it")
	clash(c.TakeOver()*2 > ms(b.Restore), "bounds.restore_ms", "two takeovers must fit in it")
	clash(ms(b.Sync)*4 > c.Tenure(), "bounds.sync_ms", "a tenure must hold four syncs")
	clash(ms(b.Sync)*8 > ms(b.LayoutInForce), "bounds.sync_ms", "layout_in_force_ms must hold eight syncs")
	return faults
}

// Subscribed lists the districts whose slices a usher follows.
func (c Config) Subscribed() []string {
	if len(c.Slices) == 0 {
		return c.Districts
	}
	return c.Slices
}

// ByTarget says that upstreams themselves refuse a query that names another.
func (c Config) ByTarget() bool { return c.Proof == ProofTarget }

// CountsBegun says that usage is of queries that upstreams began.
func (c Config) CountsBegun() bool { return c.Counted == CountBegun }

// SheetLimits are what every reader of sheets goes by.
func (c Config) SheetLimits() blocking.Limits {
	return blocking.Limits{Bytes: c.Limits.Layout, Entries: c.Limits.Entries, Query: c.QueryLimit(), Lenient: c.Fields == FieldsKeep}
}

func ms(value int64) time.Duration { return time.Duration(value) * time.Millisecond }

// The ratios. Each timer of the system is one of these.

func (c Config) TickEvery() time.Duration   { return ms(c.Bounds.LayoutInForce) / 80 }
func (c Config) NewsEvery() time.Duration   { return ms(c.Bounds.LayoutInForce) / 10 }
func (c Config) ParentLimit() time.Duration { return ms(c.Bounds.LayoutInForce) / 4 }
func (c Config) Reparent() time.Duration    { return ms(c.Bounds.LayoutInForce) * 3 / 4 }

// StaleReady is the age of layout or roster past which a usher is unready.
func (c Config) StaleReady() time.Duration {
	if c.Bounds.KeyWithdrawal > 0 {
		return ms(c.Bounds.KeyWithdrawal) * 8 / 10
	}
	return ms(c.Bounds.Restore) * 4 / 10
}

// StaleGate is the age of layout past which a usher refuses; 0 is never.
func (c Config) StaleGate() time.Duration {
	return ms(c.Bounds.KeyWithdrawal) * 9 / 10
}

func (c Config) Tenure() time.Duration {
	if c.Bounds.Tenure > 0 {
		return ms(c.Bounds.Tenure)
	}
	return ms(c.Bounds.KeeperRest) / 2
}
func (c Config) TenureHeld() time.Duration { return c.Tenure() * 9 / 10 }
func (c Config) RenewEvery() time.Duration { return c.Tenure() / 5 }
func (c Config) KeeperRest() time.Duration { return ms(c.Bounds.KeeperRest) }
func (c Config) MoveBack() time.Duration   { return ms(c.Bounds.KeeperRest) * 4 }
func (c Config) TakeOver() time.Duration   { return c.Tenure()*2 + ms(c.Bounds.Sync)*4 }
func (c Config) BeatBound() time.Duration  { return ms(c.Bounds.Beat) }
func (c Config) BeatEvery() time.Duration  { return ms(c.Bounds.Beat) / 10 }

// HomeBound is how long a home gives an upstream work without hearing from it: it may
// have said elsewhere that it leaves. DialFresh is how long a sign of life proves who
// is at an address.
func (c Config) HomeBound() time.Duration {
	if c.ByTarget() {
		// Beats come to the home alone, and a target proves itself.
		return c.BeatBound()
	}
	return min(c.BeatBound(), ms(c.Bounds.Drain)*4/5)
}
func (c Config) DialFresh() time.Duration   { return c.BeatBound() / 30 }
func (c Config) WireIdle() time.Duration    { return c.BeatBound() * 2 / 3 }
func (c Config) LookAgain() time.Duration   { return ms(c.Bounds.Restore) / 6 }
func (c Config) ProbeEvery() time.Duration  { return ms(c.Bounds.Restore) / 60 }
func (c Config) ProbeLimit() time.Duration  { return ms(c.Bounds.Restore) / 150 }
func (c Config) SuspectFor() time.Duration  { return ms(c.Bounds.Restore) / 12 }
func (c Config) ForgetAfter() time.Duration { return ms(c.Bounds.Restore) * 4 }
func (c Config) JoinEvery() time.Duration   { return ms(c.Bounds.Restore) / 30 }
func (c Config) SealAfter() time.Duration   { return ms(c.Bounds.UsageLate) * 6 / 10 }
func (c Config) UsageLate() time.Duration   { return ms(c.Bounds.UsageLate) }
func (c Config) UsageWindow() time.Duration { return ms(c.Bounds.UsageWindow) }
func (c Config) SaveEvery() time.Duration   { return ms(c.Bounds.Sync) / 5 }
func (c Config) SlowSync() time.Duration    { return ms(c.Bounds.Sync) }

// CountEvery: counts begun at homes are told once a fortieth of their window; a home's
// death loses no more.
func (c Config) CountEvery() time.Duration {
	if c.CountsBegun() {
		return c.UsageWindow() / 40
	}
	return ms(c.Bounds.Sync) / 2
}
func (c Config) ReportEvery() time.Duration { return ms(c.Bounds.UsageLate) / 20 }
func (c Config) DigestEvery() time.Duration { return ms(c.Bounds.LayoutInForce) / 10 }
func (c Config) PutLimit() time.Duration    { return ms(c.Bounds.LayoutInForce) * 2 }
func (c Config) WireDial() time.Duration    { return ms(c.Bounds.Restore) / 60 }
func (c Config) VerdictKept() time.Duration {
	return min(ms(c.Limits.Query)*2, ms(c.Bounds.Restore)*8)
}

// AnswerKept is how long a home keeps whole answers for ushers that lost their wire and
// ask again.
func (c Config) AnswerKept() time.Duration { return min(c.VerdictKept(), c.NewsEvery()*10) }

func (c Config) QueryLimit() time.Duration  { return ms(c.Limits.Query) }
func (c Config) WarmSpan() time.Duration    { return ms(c.Bounds.Beat) * 2 / 3 }
func (c Config) Linger() time.Duration      { return ms(c.Limits.Linger) }
func (c Config) Grace() time.Duration       { return ms(c.Limits.Grace) }
func (c Config) RetryWindow() time.Duration { return ms(c.Bounds.RetryWindow) }
