package registry

import (
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/metrics"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Requests from the HTTP API to the machine. Each is answered by an OperatorResponse.
type (
	// WriteConfiguration requests the commit of a version of a configuration.
	WriteConfiguration struct {
		ConfigName     string
		Version        int64
		Body           []byte
		CompressedBody []byte // Body compressed by package delta; nil: not compressed yet
		Check          message.ContentCheck
	}
	// ReadConfiguration requests a version of a configuration (0: the current one), or with List
	// the list of its versions.
	ReadConfiguration struct {
		ConfigName string
		Version    int64
		List       bool
	}
	// ReadConfigurationStatus requests the version of a configuration that each proxy has in force.
	// The proxies are compared with Version, or with the newest version if that is higher.
	ReadConfigurationStatus struct {
		ConfigName string
		Version    int64
	}
	// ReadUsage requests a sealed usage window.
	ReadUsage struct{ Window int64 }
	// ReadStatus requests the members, leases, relays and configurations.
	ReadStatus struct{}
	// ReadRoster requests the registrations of all zones.
	ReadRoster struct{}
	// ReadReadiness requests the readiness of this process.
	ReadReadiness struct{}
	// Stop requests a graceful stop: the machine transfers its leases and answers when the process
	// may exit.
	Stop struct{}
)

// CheckConfiguration validates a configuration. It runs on the goroutine of the caller, so that a
// large configuration does not delay the one that renews leases and answers heartbeats.
func CheckConfiguration(cfg settings.Settings, body []byte) message.ContentCheck {
	faults, tooLarge := routeconfig.Check(body, cfg.ConfigurationLimits())
	return message.ContentCheck{Done: true, TooLarge: tooLarge, Faults: faults}
}

// RefuseConfiguration returns the answer to a write of a configuration with faults.
func RefuseConfiguration(write WriteConfiguration) OperatorResponse {
	code := errcode.ConfigurationBad
	if write.Check.TooLarge {
		code = errcode.ConfigurationTooLarge
	}
	return answerJSON(code, writeAnswer{
		Code:          code,
		Result:        code.String(),
		Configuration: write.ConfigName,
		Version:       write.Version,
		Faults:        write.Check.Faults,
	})
}

// HandleRequest handles a request of the HTTP API or a notification of the process.
func (m *Machine) HandleRequest(env *statemachine.Env, requestID int64, received any) {
	switch request := received.(type) {
	case WriteConfiguration:
		m.requests.write(env, requestID, request)
	case ReadConfiguration:
		m.requests.read(env, requestID, request)
	case ReadConfigurationStatus:
		env.Reply(requestID, m.configurationStatus(env, request.ConfigName, request.Version))
	case ReadUsage:
		env.Reply(requestID, m.usage.answer(request.Window))
	case ReadStatus:
		env.Reply(requestID, m.status(env))
	case ReadRoster:
		env.Reply(requestID, m.roster(env))
	case ReadReadiness:
		env.Reply(requestID, m.readiness(env))
	case metrics.Read:
		env.Reply(requestID, m.samples(env))
	case UsageDelivered:
		m.usage.handleDelivered(env, request.Window)
	case statemachine.SeedsChanged:
		m.membership.SetSeeds(request.Seeds)
	case statemachine.ConnectionClosed:
		m.distribution.HandleConnectionClosed(env, request.Address)
	case Stop:
		m.stop(env, requestID)
	}
}

// stop transfers the leases. The request is answered when the process may exit.
func (m *Machine) stop(env *statemachine.Env, requestID int64) {
	m.stopping = true
	m.leases.TransferAll(env)
	m.Depart(env, requestID, answerCode(errcode.OK, "stopping"))
}

// readiness reports whether this process is ready, or else why not.
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
