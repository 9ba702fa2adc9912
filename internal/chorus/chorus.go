// Package chorus carries news down a tree of relays that the nodes form themselves.
// A child asks its parent in a steady rhythm for the topics it wants, naming the
// position it has; the parent answers with what came since, or the view, and with
// how old its own knowledge is. The child's age for a topic is the time since it
// asked plus the parent's age: durations only, hop by hop, no shared clock. Changes
// are pushed at once besides; a lost push is mended by the next ask. Positions never
// go down on a node. Each answer bears the path to the root, and a child leaves a
// parent whose path holds it. Callboards are the roots for ushers; for sheets they
// are themselves children of the promptbook that holds the tenure.
package chorus

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"beaconvane/internal/company"
	"beaconvane/internal/cue"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// Topic names.
func SheetTopic(sheet string) string    { return "sheet:" + sheet }
func SliceTopic(district string) string { return "slice:" + district }

// IsSheet tells the two kinds apart.
func IsSheet(topic string) bool { return strings.HasPrefix(topic, "sheet:") }

const never = time.Duration(-1 << 62)

type shelf struct {
	known   bool
	slice   *Slice
	mark    script.Mark
	body    []byte
	freshAt time.Duration
}

func (h *shelf) at() script.Mark {
	if h.slice != nil {
		return h.slice.Mark
	}
	return h.mark
}

type child struct {
	address string
	name    string
	heardAt time.Duration
	marks   map[string]script.Mark
	round   int64                // of its last ask; a lower one is another life's
	sent    map[string]sentWhole // views on their way to it
}

// sentWhole is a view that was sent: a child on a narrow link asks again before it is
// there, and must not be sent it anew each time.
type sentWhole struct {
	mark script.Mark
	at   time.Duration
}

// underway notes a view that goes to a child, and says that the same one went a short
// while ago.
func (c *Chorus) underway(now time.Duration, known *child, item script.NewsItem) bool {
	if !item.View || item.Offset > 0 {
		return false
	}
	last, sent := known.sent[item.Mark.Topic]
	if sent && last.mark.Same(item.Mark) && now-last.at < c.config.NewsEvery()*4 {
		return true
	}
	known.sent[item.Mark.Topic] = sentWhole{item.Mark, now}
	return false
}

type collecting struct {
	mark    script.Mark
	buffer  []byte
	total   int64
	movedAt time.Duration
}

// Chorus is one node's part in the tree.
type Chorus struct {
	config    playbill.Config
	company   *company.Company
	shelves   map[string]*shelf
	own       map[string]bool // topics this node wants for itself
	children  map[string]*child
	parent    string // name
	parentAt  string // address
	path      []string
	resort    bool
	joinedAt  time.Duration
	answered  time.Duration
	asks      map[int64]time.Duration
	round     int64
	askAt     time.Duration
	avoid     map[string]time.Duration
	failed    map[string]time.Duration // those avoided for what they are, not for being full
	spoilt    map[string]time.Duration // those whose knowledge is old, so that every way from them is
	moves     int64
	dwell     time.Duration
	lastRoot  string
	collects  map[string]*collecting
	partBytes int
	changed   func(s *cue.Stage, topic string)
	source    func(now time.Duration) bool // promptbook: may it serve now
	hint      func() []string
}

// New makes the machine; changed is called when a topic's content moved on.
func New(config playbill.Config, members *company.Company, changed func(s *cue.Stage, topic string)) *Chorus {
	return &Chorus{config: config, company: members, shelves: map[string]*shelf{}, own: map[string]bool{}, children: map[string]*child{},
		asks: map[int64]time.Duration{}, avoid: map[string]time.Duration{}, failed: map[string]time.Duration{}, spoilt: map[string]time.Duration{}, dwell: config.NewsEvery() * 2, collects: map[string]*collecting{},
		partBytes: int(config.Limits.Frame / 64), changed: changed}
}

// Want subscribes this node itself.
func (c *Chorus) Want(topics ...string) {
	for _, topic := range topics {
		c.own[topic] = true
		c.shelf(topic)
	}
}

// ServeWhen limits serving to moments when a check holds, with a hint where to go.
func (c *Chorus) ServeWhen(source func(now time.Duration) bool, hint func() []string) {
	c.source, c.hint = source, hint
}

func (c *Chorus) shelf(topic string) *shelf {
	held, found := c.shelves[topic]
	if !found {
		held = &shelf{mark: script.Mark{Topic: topic}, freshAt: never}
		if !IsSheet(topic) {
			held.slice = NewSlice(topic)
		}
		c.shelves[topic] = held
	}
	return held
}

// PutSheet sets a sheet's content at its source.
func (c *Chorus) PutSheet(s *cue.Stage, sheet string, version int64, body []byte) {
	topic := SheetTopic(sheet)
	held := c.shelf(topic)
	if held.known && held.mark.Seq >= version {
		return
	}
	held.mark, held.body, held.known = sheetMark(topic, version, body), body, true
	c.changed(s, topic)
	c.push(s, topic)
}

func sheetMark(topic string, version int64, body []byte) script.Mark {
	hash := fnv.New64a()
	hash.Write(body)
	return script.Mark{Topic: topic, Seq: version, Count: 1, Hash: int64(hash.Sum64())}
}

// ShareSlice makes a slice that another part changes a source here.
func (c *Chorus) ShareSlice(slice *Slice) {
	held := c.shelf(slice.Mark.Topic)
	held.slice, held.known = slice, true
}

// SliceMoved pushes after the owner of a shared slice has changed it.
func (c *Chorus) SliceMoved(s *cue.Stage, topic string) { c.push(s, topic) }

// Fresh sets how current a source's content is.
func (c *Chorus) Fresh(topic string, at time.Duration) {
	held := c.shelf(topic)
	held.freshAt = max(held.freshAt, at)
}

// Age says how long ago the content was known to be current; false: never yet.
func (c *Chorus) Age(topic string, now time.Duration) (time.Duration, bool) {
	held, found := c.shelves[topic]
	if !found || !held.known || held.freshAt == never {
		return 0, false
	}
	return now - held.freshAt, true
}

// FreshAt is the instant as of which a topic is known current.
func (c *Chorus) FreshAt(topic string) (time.Duration, bool) {
	held, found := c.shelves[topic]
	if !found || !held.known || held.freshAt == never {
		return 0, false
	}
	return held.freshAt, true
}

// Sheet gives a sheet's number and bytes.
func (c *Chorus) Sheet(sheet string) (int64, []byte, bool) {
	held, found := c.shelves[SheetTopic(sheet)]
	if !found || !held.known {
		return 0, nil, false
	}
	return held.mark.Seq, held.body, true
}

// Slice gives a district's registrations.
func (c *Chorus) Slice(district string) ([]script.Registration, bool) {
	held, found := c.shelves[SliceTopic(district)]
	if !found || !held.known {
		return nil, false
	}
	return held.slice.List(), true
}

// Marks lists the positions of this node's own topics.
func (c *Chorus) Marks() []script.Mark {
	marks := []script.Mark{}
	for _, topic := range c.topics() {
		if held := c.shelves[topic]; held.known && c.own[topic] {
			marks = append(marks, held.at())
		}
	}
	return marks
}

// Parent tells the status page where the news comes from.
func (c *Chorus) Parent() (string, []string, int64) { return c.parent, c.path, c.moves }

func (c *Chorus) topics() []string { return slices.Sorted(maps.Keys(c.shelves)) }

// wanted: own topics and those of living children, less what this node is a source of.
func (c *Chorus) wanted() []string {
	wanted := []string{}
	for _, topic := range c.topics() {
		if c.company.Self().Role == script.RoleCallboard && !IsSheet(topic) {
			continue
		}
		needed := c.own[topic]
		for _, known := range c.children {
			if _, asked := known.marks[topic]; asked {
				needed = true
			}
		}
		if needed {
			wanted = append(wanted, topic)
		}
	}
	return wanted
}

// Tick asks, and moves to another parent when this one is silent or stale.
func (c *Chorus) Tick(s *cue.Stage) {
	for name, known := range c.children {
		if s.Now-known.heardAt > c.config.ParentLimit()*2 {
			delete(c.children, name)
		}
	}
	if c.company.Self().Role == script.RolePromptbook {
		return
	}
	for _, shunned := range []map[string]time.Duration{c.avoid, c.failed, c.spoilt} {
		for name, until := range shunned {
			if s.Now > until {
				delete(shunned, name)
			}
		}
	}
	// One that has never answered is given up sooner: it may have been dead before.
	unanswered := c.parent != "" && len(c.path) == 0 && s.Now-c.answered > c.config.NewsEvery()
	if s.Now < c.askAt && !unanswered {
		return
	}
	if c.parent != "" {
		patience, missed := c.config.ParentLimit(), 3
		if unanswered {
			patience, missed = c.config.NewsEvery(), 1
		}
		silent := s.Now-c.answered > patience && len(c.asks) >= missed
		member, found := c.company.Find(c.parent)
		gone := !found || member.State >= script.Dead || member.Address != c.parentAt
		late := c.late(s.Now)
		stale := late && s.Now-c.joinedAt > c.dwell
		switch {
		case stale:
			// All on the way to that root are as stale; each fruitless move makes
			// the next one slower, for the fault may lie with the source itself.
			for _, name := range c.path {
				c.avoid[name] = s.Now + c.config.Reparent()*2
				c.failed[name], c.spoilt[name] = c.avoid[name], c.avoid[name]
			}
			c.dwell = min(c.dwell*2, c.config.Reparent()*4)
		case !late:
			c.dwell = c.config.NewsEvery()*2 + time.Duration(s.Dice.Int64N(int64(c.config.NewsEvery())))
		}
		if silent || gone || stale {
			c.leaveParent(s, fmt.Sprintf("silent=%t gone=%t stale=%t", silent, gone, stale), c.config.Reparent()*2)
		}
	}
	if c.parent == "" {
		c.choose(s)
	}
	if c.parent != "" {
		c.ask(s)
	}
}

// late: some topic has not been known current for longer than a change of its source
// takes. A slice whose keeper died is nowhere fresher until another is active for it.
func (c *Chorus) late(now time.Duration) bool {
	for _, topic := range c.wanted() {
		limit := c.config.Reparent()
		if !IsSheet(topic) {
			limit += c.config.TakeOver()
		}
		if held := c.shelves[topic]; held.known && held.freshAt != never && now-held.freshAt > limit {
			return true
		}
	}
	return false
}

// noFresher: what a new parent tells at first is no news of any sheet.
func (c *Chorus) noFresher(now, askedAt time.Duration, items []script.NewsItem) bool {
	for _, item := range items {
		if held, known := c.shelves[item.Mark.Topic]; known && IsSheet(item.Mark.Topic) && held.at().Before(item.Mark) {
			// It knows a newer one, however long ago that was known current.
			return false
		}
	}
	for _, item := range items {
		held, known := c.shelves[item.Mark.Topic]
		if !IsSheet(item.Mark.Topic) || !known || !held.known || now-held.freshAt <= c.config.Reparent() {
			continue
		}
		if item.Age < 0 || now-askedAt+time.Duration(item.Age) > c.config.Reparent() {
			return true
		}
	}
	return false
}

func (c *Chorus) leaveParent(s *cue.Stage, cause string, avoidFor time.Duration) {
	s.Note("relay-left", 0, 0, c.parent+": "+cause)
	c.avoid[c.parent] = s.Now + avoidFor
	c.failed[c.parent] = c.avoid[c.parent]
	c.lastRoot = c.parent
	if len(c.path) > 0 {
		c.lastRoot = c.path[0]
	}
	c.parent, c.parentAt, c.path = "", "", nil
	c.moves++
}

func (c *Chorus) choose(s *cue.Stage) {
	self := c.company.Self()
	type candidate struct {
		member script.Member
		tier   int
		score  uint64
	}
	candidates := []candidate{}
	consider := func(member script.Member, tier int) {
		if _, avoided := c.avoid[member.Name]; avoided || member.Name == self.Name || member.State != script.Alive {
			return
		}
		hash := fnv.New64a()
		hash.Write([]byte(self.Name + "|" + member.Name))
		candidates = append(candidates, candidate{member, tier, hash.Sum64()})
	}
	rootRole := script.RoleCallboard
	if self.Role == script.RoleCallboard {
		rootRole = script.RolePromptbook
	}
	roots := c.company.Alive(rootRole)
	for _, root := range roots {
		if root.District == self.District {
			consider(root, 0)
		} else {
			consider(root, 2)
		}
	}
	if self.Role == script.RoleUsher {
		for _, usher := range c.company.Alive(script.RoleUsher) {
			if usher.District == self.District {
				consider(usher, 1)
			} else {
				consider(usher, 3)
			}
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].tier != candidates[j].tier {
			return candidates[i].tier < candidates[j].tier
		}
		return candidates[i].score < candidates[j].score
	})
	c.resort = false
	switch {
	case len(candidates) > 0:
		c.parent, c.parentAt = candidates[0].member.Name, candidates[0].member.Address
	case len(roots) > 0:
		others := slices.DeleteFunc(slices.Clone(roots), func(root script.Member) bool { return root.Name == c.lastRoot || s.Now < c.failed[root.Name] })
		if len(others) > 0 {
			roots = others
		}
		chosenRoot := roots[s.Dice.IntN(len(roots))]
		c.parent, c.parentAt, c.resort = chosenRoot.Name, chosenRoot.Address, true
	default:
		return
	}
	c.answered, c.joinedAt = s.Now, s.Now
	c.asks = map[int64]time.Duration{}
}

func (c *Chorus) ask(s *cue.Stage) {
	c.askAt = s.Now + c.config.NewsEvery()
	if c.hungry() {
		c.askAt = s.Now + c.config.NewsEvery()/4
	}
	c.round++
	c.asks[c.round] = s.Now
	delete(c.asks, c.round-64)
	marks := []script.Mark{}
	for _, topic := range c.wanted() {
		marks = append(marks, c.shelves[topic].at())
	}
	self := c.company.Self()
	s.Send(c.parentAt, script.NewsAsk{Round: c.round, Child: self.Name, Role: self.Role, Resort: c.resort, Marks: marks})
	for _, topic := range c.topics() {
		if held, under := c.collects[topic]; under && s.Now-held.movedAt > c.config.NewsEvery()*2 {
			held.movedAt = s.Now
			c.askPart(s, topic, held)
		}
	}
}

// hungry: some topic that is wanted here has never been known current in this life.
func (c *Chorus) hungry() bool {
	for topic := range c.own {
		if held := c.shelves[topic]; !held.known || held.freshAt == never {
			return true
		}
	}
	return false
}

func (c *Chorus) askPart(s *cue.Stage, topic string, held *collecting) {
	self := c.company.Self()
	s.Send(c.parentAt, script.NewsAsk{Round: -1, Child: self.Name, Role: self.Role, Marks: []script.Mark{held.mark}, PartOf: topic, Part: int64(len(held.buffer))})
}

// Hear takes a news message; false when it is another part's.
func (c *Chorus) Hear(s *cue.Stage, from string, message any) bool {
	switch heard := message.(type) {
	case script.NewsAsk:
		c.hearAsk(s, from, heard)
	case script.NewsTold:
		c.hearTold(s, heard)
	default:
		return false
	}
	return true
}

func (c *Chorus) hearAsk(s *cue.Stage, from string, ask script.NewsAsk) {
	self := c.company.Self()
	refuse := func(reason string, try []string) {
		s.Send(from, script.NewsTold{Round: ask.Round, Parent: self.Name, Path: []string{}, Refused: true, Reason: reason, Try: try, Items: []script.NewsItem{}})
	}
	path := []string{self.Name}
	if self.Role == script.RoleUsher {
		if c.parent == "" || len(c.path) == 0 {
			refuse(script.RefusedNoPath, []string{})
			return
		}
		for _, name := range c.path {
			if name == ask.Child {
				refuse(script.RefusedLoop, []string{})
				return
			}
		}
		path = append(append([]string{}, c.path...), self.Name)
	}
	if c.source != nil && !c.source(s.Now) {
		refuse(script.RefusedNoTenure, c.hint())
		return
	}
	known, isChild := c.children[ask.Child]
	full := int64(len(c.children)) >= c.config.Limits.Fanout
	if !isChild && full && self.Role != script.RolePromptbook && !(ask.Resort && self.Role == script.RoleCallboard) {
		refuse(script.RefusedFull, c.childNames())
		return
	}
	if ask.PartOf != "" {
		if held, found := c.shelves[ask.PartOf]; found && held.known && len(ask.Marks) == 1 {
			offset := ask.Part
			if !held.at().Same(ask.Marks[0]) {
				offset = 0
			}
			s.Send(from, script.NewsTold{Round: -1, Parent: self.Name, Path: path, Try: []string{}, Items: []script.NewsItem{c.viewItem(held, offset)}})
		}
		return
	}
	if !isChild {
		known = &child{name: ask.Child}
		c.children[ask.Child] = known
	}
	if known.sent == nil || ask.Round < known.round || known.address != from {
		known.sent = map[string]sentWhole{}
	}
	known.round = ask.Round
	known.address, known.heardAt = from, s.Now
	known.marks = map[string]script.Mark{}
	told := script.NewsTold{Round: ask.Round, Parent: self.Name, Path: path, Try: []string{}, Items: []script.NewsItem{}}
	for _, mark := range ask.Marks {
		known.marks[mark.Topic] = mark
		item := c.itemFor(s, mark)
		if c.underway(s.Now, known, item) {
			item.View, item.Body = false, []byte{}
		}
		told.Items = append(told.Items, item)
	}
	s.Send(from, told)
}

func (c *Chorus) childNames() []string { return slices.Sorted(maps.Keys(c.children)) }

// itemFor: what a child at a position needs to be where this node is.
func (c *Chorus) itemFor(s *cue.Stage, mark script.Mark) script.NewsItem {
	held := c.shelf(mark.Topic)
	item := script.NewsItem{Mark: script.Mark{Topic: mark.Topic}, Age: -1, Body: []byte{}, Changes: []script.RosterChange{}}
	if !held.known {
		return item
	}
	item.Known, item.Mark = true, held.at()
	if held.freshAt != never {
		item.Age = int64(s.Now - held.freshAt)
	}
	if held.at().Same(mark) || held.at().Before(mark) {
		return item
	}
	if held.slice != nil && mark.Before(held.at()) {
		if changes, enough := held.slice.Since(mark); enough {
			item.Changes = changes
			return item
		}
	}
	view := c.viewItem(held, 0)
	view.Age = item.Age
	return view
}

func (c *Chorus) viewItem(held *shelf, offset int64) script.NewsItem {
	body := held.body
	if held.slice != nil {
		encoded, err := script.Encode(script.RosterSlice{Registrations: held.slice.List()})
		if err != nil {
			panic("chorus: view: " + err.Error())
		}
		body = encoded
	}
	item := script.NewsItem{Mark: held.at(), Age: -1, Known: true, View: true, Total: int64(len(body)), Offset: offset, Changes: []script.RosterChange{}}
	end := min(int64(len(body)), offset+int64(c.partBytes))
	item.Body = body[min(offset, end):end]
	return item
}

func (c *Chorus) push(s *cue.Stage, topic string) {
	names := c.childNames()
	for _, name := range names {
		known := c.children[name]
		mark, asked := known.marks[topic]
		if !asked || c.source != nil && !c.source(s.Now) {
			continue
		}
		item := c.itemFor(s, mark)
		item.Age = -1
		if c.underway(s.Now, known, item) {
			continue
		}
		path := append(append([]string{}, c.path...), c.company.Self().Name)
		s.Send(known.address, script.NewsTold{Round: 0, Parent: c.company.Self().Name, Path: path, Try: []string{}, Items: []script.NewsItem{item}})
		if !item.View || item.Total == int64(len(item.Body)) {
			known.marks[topic] = item.Mark
		}
	}
}

func (c *Chorus) hearTold(s *cue.Stage, told script.NewsTold) {
	if told.Parent != c.parent {
		return
	}
	askedAt, isAnswer := c.asks[told.Round]
	if told.Refused {
		if !isAnswer {
			return
		}
		switch told.Reason {
		case script.RefusedNoTenure:
			c.leaveQuietly(s, c.config.NewsEvery()*2)
			if len(told.Try) > 0 {
				if member, found := c.company.Find(told.Try[0]); found && member.State <= script.Suspect && member.Name != told.Parent {
					delete(c.avoid, member.Name)
					c.parent, c.parentAt = member.Name, member.Address
					c.answered, c.joinedAt = s.Now, s.Now
					c.asks = map[int64]time.Duration{}
				}
			}
		case script.RefusedNoPath:
			c.leaveQuietly(s, c.config.NewsEvery()*2)
		default:
			c.leaveQuietly(s, c.config.Reparent()*2)
		}
		c.askAt = s.Now
		return
	}
	for _, name := range told.Path {
		if name == c.company.Self().Name {
			c.leaveParent(s, "loop", c.config.Reparent())
			c.askAt = s.Now
			return
		}
	}
	if isAnswer {
		for _, name := range told.Path {
			// One that was full, or can't be reached from here, is a good way to others.
			if _, shunned := c.spoilt[name]; shunned && !c.resort {
				c.leaveQuietly(s, c.config.Reparent()*2)
				c.askAt = s.Now
				return
			}
		}
		if !c.resort && c.behind(told.Items) {
			// It knows less than this node does, as after a restart.
			c.leaveParent(s, "behind", c.config.NewsEvery()*3)
			return
		}
		if !c.resort && len(c.path) == 0 && c.noFresher(s.Now, askedAt, told.Items) {
			// As stale as what was left: the next one is asked at once.
			c.failed[c.parent] = s.Now + c.config.Reparent()*2
			c.spoilt[c.parent] = c.failed[c.parent]
			c.leaveQuietly(s, c.config.Reparent()*2)
			c.askAt = s.Now
			return
		}
		c.answered = s.Now
		for round := range c.asks {
			if round <= told.Round {
				delete(c.asks, round)
			}
		}
		if len(c.path) == 0 {
			s.Note("relay-joined", 0, 0, strings.Join(told.Path, ">"))
		}
		c.path = told.Path
	}
	for _, item := range told.Items {
		c.take(s, item, askedAt, isAnswer)
	}
}

// WireBroke leaves a parent whose process has ended, without waiting for its silence.
func (c *Chorus) WireBroke(s *cue.Stage, address string) {
	if c.parent != "" && c.parentAt == address {
		c.leaveParent(s, "wire broke", c.config.NewsEvery()*3)
		c.askAt = s.Now
	}
}

// behind: the parent lacks a sheet that is known here, or has an older one.
func (c *Chorus) behind(items []script.NewsItem) bool {
	for _, item := range items {
		held, known := c.shelves[item.Mark.Topic]
		if known && held.known && IsSheet(item.Mark.Topic) && (!item.Known || item.Mark.Before(held.at())) {
			return true
		}
	}
	return false
}

func (c *Chorus) leaveQuietly(s *cue.Stage, avoidFor time.Duration) {
	c.avoid[c.parent] = s.Now + avoidFor
	c.parent, c.parentAt, c.path = "", "", nil
}

func (c *Chorus) take(s *cue.Stage, item script.NewsItem, askedAt time.Duration, isAnswer bool) {
	topic := item.Mark.Topic
	held := c.shelf(topic)
	if !item.Known {
		return
	}
	moved := false
	switch {
	case item.View && (!held.known || held.at().Before(item.Mark) || held.slice != nil && !item.Mark.Before(held.at()) && !item.Mark.Same(held.at())):
		if whole, done := c.collect(s, topic, item); done {
			moved = c.replace(held, item.Mark, whole)
		}
	case len(item.Changes) > 0 && held.slice != nil:
		for _, change := range item.Changes {
			if held.slice.Follow(change) {
				moved = true
			}
		}
	case item.Mark.Seq == 0 && item.Mark.Epoch == 0 && item.Mark.Count == 0 && held.slice != nil && !held.known:
		held.known, moved = true, true
	}
	if isAnswer && item.Age >= 0 && held.known && !held.at().Before(item.Mark) {
		if held.freshAt == never && !moved {
			c.changed(s, topic)
		}
		held.freshAt = max(held.freshAt, askedAt-time.Duration(item.Age))
	}
	if moved {
		c.changed(s, topic)
		c.push(s, topic)
	}
}

func (c *Chorus) collect(s *cue.Stage, topic string, item script.NewsItem) ([]byte, bool) {
	if item.Offset == 0 && item.Total == int64(len(item.Body)) {
		delete(c.collects, topic)
		return item.Body, true
	}
	held, under := c.collects[topic]
	if !under || !held.mark.Same(item.Mark) {
		if item.Offset != 0 {
			return nil, false
		}
		held = &collecting{mark: item.Mark, total: item.Total}
		c.collects[topic] = held
	}
	if item.Offset != int64(len(held.buffer)) {
		return nil, false
	}
	held.buffer = append(held.buffer, item.Body...)
	held.movedAt = s.Now
	if int64(len(held.buffer)) == held.total {
		delete(c.collects, topic)
		return held.buffer, true
	}
	c.askPart(s, topic, held)
	return nil, false
}

func (c *Chorus) replace(held *shelf, mark script.Mark, body []byte) bool {
	if held.slice == nil {
		if !sheetMark(mark.Topic, mark.Seq, body).Same(mark) {
			return false
		}
		held.mark, held.body, held.known = mark, body, true
		return true
	}
	decoded, err := script.Decode(body)
	slice, isSlice := decoded.(script.RosterSlice)
	if err != nil || !isSlice {
		return false
	}
	held.slice.Replace(mark, slice.Registrations)
	held.known = true
	return true
}
