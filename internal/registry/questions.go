package registry

import (
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/metrics"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Questions that the HTTP side asks of the machine. Each is answered by an OperatorResponse.
type (
	// WriteConfiguration asks for a version of a configuration to be committed.
	WriteConfiguration struct {
		ConfigName     string
		Version        int64
		Body           []byte
		CompressedBody []byte // the body compressed by package delta; nil: not made
		Check          message.ContentCheck
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

// CheckConfiguration looks for faults in a configuration, on the caller's thread and not on the one
// that renews leases and answers heartbeats.
func CheckConfiguration(cfg settings.Settings, body []byte) message.ContentCheck {
	faults, tooLarge := routeconfig.Check(body, cfg.ConfigurationLimits())
	return message.ContentCheck{Done: true, TooLarge: tooLarge, Faults: faults}
}

// HandleRequest takes a question or a notice of the process.
func (m *Machine) HandleRequest(env *statemachine.Env, requestID int64, question any) {
	switch asked := question.(type) {
	case WriteConfiguration:
		m.requests.write(env, requestID, asked)
	case ReadConfiguration:
		m.requests.read(env, requestID, asked)
	case ReadConfigurationStatus:
		env.Reply(requestID, m.configurationStatus(env, asked.ConfigName, asked.Version))
	case ReadUsage:
		env.Reply(requestID, m.usage.answer(asked.Window))
	case ReadStatus:
		env.Reply(requestID, m.status(env))
	case ReadRoster:
		env.Reply(requestID, m.roster(env))
	case ReadReadiness:
		env.Reply(requestID, m.readiness(env))
	case metrics.Read:
		env.Reply(requestID, m.samples(env))
	case UsageDelivered:
		m.usage.handleDelivered(env, asked.Window)
	case statemachine.SeedsChanged:
		m.membership.SetSeeds(asked.Seeds)
	case statemachine.ConnectionClosed:
		m.distribution.HandleConnectionClosed(env, asked.Address)
	case Stop:
		m.stop(env, requestID)
	}
}

// stop hands the leases over; the answer comes when the process may end.
func (m *Machine) stop(env *statemachine.Env, requestID int64) {
	m.stopping = true
	m.leases.TransferAll(env)
	m.Depart(env, requestID, answerCode(errcode.OK, "stopping"))
}

// readiness says whether this process does its part, and if not, what it lacks.
func (m *Machine) readiness(env *statemachine.Env) OperatorResponse {
	switch {
	case m.Failure() != nil:
		return answerCode(errcode.DiskFault, "")
	case m.quorum.Removed || m.membership.Superseded():
		return answerCode(errcode.VoterShutOut, "")
	case !m.quorum.Voting() && !m.quorum.Standby(env):
		return answerCode(errcode.VoterRecovering, "")
	case m.stopping || !m.membership.Joined():
		return answerCode(errcode.BusyNotReady, "")
	}
	for _, zone := range m.settings.Zones {
		if !m.sliceIsCurrent(env, zone) {
			return answerCode(errcode.BusyNotReady, "slice "+zone)
		}
	}
	return answerCode(errcode.OK, "ready")
}
