// This file takes the outside questions for both programs: configurations go on to the
// configstore that holds the lease and its answer comes back; status is gathered here.
// A put that was sent and not answered is sent again with the same bytes, which the
// store answers alike; when the time is up its outcome is said to be unknown, never
// that it was refused.

package registry

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/delta"
	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/metrics"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Questions that the HTTP side asks of the machine.
type (
	// WriteConfiguration asks for a version of a configuration to be committed.
	WriteConfiguration struct {
		ConfigName string
		Version    int64
		Body       []byte
		Packed     []byte // the body compressed by package delta; nil: not made
		Check      message.ContentCheck
	}
	// ReadConfiguration asks for a version (0: the current one), or for the list of versions.
	ReadConfiguration struct {
		ConfigName string
		Version    int64
		List       bool
	}
	// ReadConfigurationStatus asks where a configuration is in force, at least at a version (0: the newest).
	ReadConfigurationStatus struct {
		ConfigName string
		Version    int64
	}
	// ReadUsage asks for a sealed usage window.
	ReadUsage struct{ Window int64 }
	// ReadStatus asks for members, leases, relays and configurations.
	ReadStatus struct{}
	// ReadRoster asks for the registrations by zone.
	ReadRoster struct{}
	// ReadReadiness asks whether this process does its part.
	ReadReadiness struct{}
	// Stop asks the machine to hand its leases over, since the process stops.
	Stop struct{}
)

type outsideRequest struct {
	outer  int64
	write  *message.WriteRequest // its body is packed
	body   []byte                // of the write, whole
	get    *message.ReadRequest
	until  time.Duration
	nextAt time.Duration
	target string
	open   int // puts sent whose outcome no configstore has told
}

type outside struct {
	m             *Machine
	lastRequestID int64
	waiting       map[int64]*outsideRequest
	hint          string
}

func newOutside(m *Machine) *outside { return &outside{m: m, waiting: map[int64]*outsideRequest{}} }

// CheckConfiguration looks for faults in a configuration, on the caller's thread and not on the one
// that renews leases and answers heartbeats.
func CheckConfiguration(cfg settings.Settings, body []byte) message.ContentCheck {
	faults, tooLarge := routeconfig.Check(body, cfg.ConfigurationLimits())
	return message.ContentCheck{Done: true, TooLarge: tooLarge, Faults: faults}
}

// Asked takes a question.
func (m *Machine) Asked(s *statemachine.Env, requestID int64, question any) {
	o := m.outside
	switch asked := question.(type) {
	case WriteConfiguration:
		o.lastRequestID++
		if asked.Packed == nil {
			asked.Packed = delta.Encode(nil, asked.Body)
		}
		o.waiting[o.lastRequestID] = &outsideRequest{outer: requestID, until: s.Now + m.settings.AnswerLimit(len(asked.Body)), body: asked.Body,
			write: &message.WriteRequest{RequestID: o.lastRequestID, ConfigName: asked.ConfigName, Version: asked.Version, Body: asked.Packed, Packed: true, Check: asked.Check}}
		o.tick(s)
	case ReadConfiguration:
		o.lastRequestID++
		o.waiting[o.lastRequestID] = &outsideRequest{outer: requestID, until: s.Now + m.settings.AnswerLimit(0),
			get: &message.ReadRequest{RequestID: o.lastRequestID, ConfigName: asked.ConfigName, Version: asked.Version, List: asked.List}}
		o.tick(s)
	case ReadConfigurationStatus:
		s.Reply(requestID, m.configurationStatus(s, asked.ConfigName, asked.Version))
	case ReadUsage:
		s.Reply(requestID, m.usage.read(asked.Window))
	case ReadStatus:
		s.Reply(requestID, m.status(s))
	case ReadRoster:
		s.Reply(requestID, m.roster(s))
	case ReadReadiness:
		s.Reply(requestID, m.ready(s))
	case UsageDelivered:
		m.usage.done(s, asked.Window)
	case statemachine.SeedsChanged:
		m.membership.SetSeeds(asked.Seeds)
	case statemachine.ConnectionBroke:
		m.distribution.ConnectionBroke(s, asked.Address)
	case metrics.Read:
		s.Reply(requestID, m.metrics(s))
	case Stop:
		m.stopping = true
		m.leases.TransferAll(s)
		m.Depart(s, requestID, answerCode(errcode.OK, "stopping"))
	}
}

// holder guesses the configstore that holds the lease: the one the updates comes from,
// or the hint of the last one that did not.
func (o *outside) holder(s *statemachine.Env) (string, bool) {
	stores := o.m.membership.Alive(message.RoleConfigStore)
	if seated := slices.DeleteFunc(slices.Clone(stores), func(configLog message.Member) bool { return configLog.Voter == "" }); len(seated) > 0 {
		stores = seated
	}
	parent, _, _ := o.m.distribution.Parent()
	for _, wanted := range []string{o.hint, parent} {
		for _, configLog := range stores {
			if configLog.Name == wanted && wanted != "" {
				return configLog.Address, true
			}
		}
	}
	if len(stores) == 0 {
		return "", false
	}
	return stores[s.Random.IntN(len(stores))].Address, true
}

func (o *outside) tick(s *statemachine.Env) {
	for _, requestID := range slices.Sorted(maps.Keys(o.waiting)) {
		waiting := o.waiting[requestID]
		if s.Now >= waiting.until {
			delete(o.waiting, requestID)
			switch {
			case waiting.write != nil && waiting.open > 0:
				s.Reply(waiting.outer, answerCode(errcode.ConfigurationUnsure, "no answer in time"))
			default:
				s.Reply(waiting.outer, answerCode(errcode.ConfigurationNoHolder, "no holder in time"))
			}
			continue
		}
		if s.Now < waiting.nextAt {
			continue
		}
		address, found := o.holder(s)
		waiting.nextAt = s.Now + o.m.settings.UpdatesEvery()
		if !found {
			continue
		}
		if waiting.target == address {
			// Asked already: give that holder time before asking the same again.
			waiting.nextAt = s.Now + o.m.settings.Lease()/2
		}
		waiting.target = address
		if waiting.write != nil {
			waiting.open++
			s.Send(address, *waiting.write)
		} else {
			s.Send(address, *waiting.get)
		}
	}
}

func (o *outside) handle(s *statemachine.Env, msg any) bool {
	response, isResponse := msg.(message.StoreResponse)
	if !isResponse {
		return false
	}
	waiting, known := o.waiting[response.RequestID]
	if !known {
		return true
	}
	code := errcode.Code(response.Code)
	switch code {
	case errcode.ConfigurationNoHolder, errcode.ConfigurationBehind:
		o.hint = response.Holder
		waiting.open--
		waiting.nextAt = s.Now + o.m.settings.UpdatesEvery()/2
		if response.Holder != "" && code == errcode.ConfigurationNoHolder {
			waiting.target = ""
		}
		return true
	case errcode.ConfigurationUnsure:
		// The store lost its lease midway; the same bytes settle it at the next one.
		waiting.target, waiting.nextAt = "", s.Now+o.m.settings.UpdatesEvery()
		return true
	}
	delete(o.waiting, response.RequestID)
	packed := response.Body
	if response.Packed {
		body, err := delta.Apply(nil, response.Body, o.m.settings.Limits.Configuration)
		if err != nil {
			s.Reply(waiting.outer, answerCode(errcode.Internal, err.Error()))
			return true
		}
		response.Body = body
	}
	if waiting.get != nil && code == errcode.OK && !waiting.get.List {
		s.Reply(waiting.outer, Answer{Code: errcode.OK, Body: response.Body, Raw: true})
		return true
	}
	if waiting.get != nil && code == errcode.OK {
		s.Reply(waiting.outer, answerJSON(errcode.OK, versionsAnswer{Configuration: response.ConfigName, Versions: response.Versions, Configurations: response.ConfigNames}))
		return true
	}
	if waiting.write != nil && code == errcode.OK {
		// Settled is settled: this voter and its peers pass it on at once, whatever
		// becomes of the configstore that settled it.
		committed := message.ConfigurationCommitted{ConfigName: response.ConfigName, Version: response.Version, Body: waiting.write.Body}
		whole := waiting.body
		if len(response.Body) > 0 {
			whole, committed.Body = response.Body, packed
			if !response.Packed {
				committed.Body = delta.Encode(nil, whole)
			}
		}
		o.m.distribution.WriteConfiguration(s, committed.ConfigName, committed.Version, whole)
		for _, peer := range o.m.Peers() {
			s.Send(peer.Address, committed)
		}
	}
	answer := writeAnswer{Code: code, Result: code.String(), Configuration: response.ConfigName, Version: response.Version,
		Detail: response.Detail, Faults: response.Faults}
	s.Reply(waiting.outer, answerJSON(code, answer))
	return true
}

// configurationStatus says which proxy has which version in force, as its heartbeats tell.
func (m *Machine) configurationStatus(s *statemachine.Env, configName string, wanted int64) Answer {
	version, _, known := m.distribution.Configuration(configName)
	code := errcode.OK
	if wanted == 0 {
		code = m.vouches(s, distribution.ConfigurationTopic(configName))
	}
	wanted = max(wanted, version)
	lacking := []string{}
	if !known {
		return answerCode(errcode.ConfigurationNotFound, configName)
	}
	age, _ := m.distribution.Age(distribution.ConfigurationTopic(configName), s.Now)
	inForce := map[string]int64{}
	everywhere := true
	for _, proxyNode := range m.membership.Alive(message.RoleProxy) {
		inForce[proxyNode.Name] = 0
		if seen, heartbeats := m.proxies[proxyNode.Name]; heartbeats {
			for _, mark := range seen.batch.Positions {
				if mark.Topic == distribution.ConfigurationTopic(configName) {
					inForce[proxyNode.Name] = mark.Seq
				}
			}
		}
		if inForce[proxyNode.Name] < wanted {
			everywhere = false
			lacking = append(lacking, proxyNode.Name)
		}
	}
	return answerJSON(code, configurationStatusAnswer{Configuration: configName, Version: version, AgeMS: age.Milliseconds(),
		InForce: inForce, Everywhere: everywhere, Wanted: wanted, Lacking: lacking})
}

// vouches says whether this registry may still give a topic out as current: it has heard
// from the topic's source within the time after which it is not ready either. A registry
// that lost contact goes on to say what it knows, and how old that is, as a 503.
func (m *Machine) vouches(s *statemachine.Env, topic string) errcode.Code {
	if age, known := m.distribution.Age(topic, s.Now); !known || age > m.settings.MaxAgeReady() {
		return errcode.BusyStale
	}
	return errcode.OK
}

func (m *Machine) ready(s *statemachine.Env) Answer {
	switch {
	case m.Failure() != nil:
		return answerCode(errcode.DiskFault, "")
	case m.quorum.Removed || m.membership.Superseded():
		return answerCode(errcode.VoterShutOut, "")
	case !m.quorum.Voting() && !m.quorum.Standby(s):
		return answerCode(errcode.VoterRecovering, "")
	case m.stopping || !m.membership.Joined():
		return answerCode(errcode.BusyNotReady, "")
	}
	for _, tag := range m.settings.Zones {
		if age, known := m.distribution.Age(distribution.SliceTopic(tag), s.Now); !known || age > m.settings.MaxAgeReady() {
			return answerCode(errcode.BusyNotReady, "slice "+tag)
		}
	}
	return answerCode(errcode.OK, "ready")
}

var stateNames = []string{"alive", "suspect", "dead", "left"}
