package registry

import (
	"encoding/json"

	"beaconvane/internal/errcode"
)

// OperatorResponse is the machine's reply to a request from the HTTP API. The types of its JSON bodies follow
// below. The fields of each are declared in the alphabetical order of their JSON keys, which is
// their order on the wire.
type OperatorResponse struct {
	Code errcode.Code
	Body []byte // JSON, unless Raw is set
	Raw  bool   // Body is a configuration, byte for byte as committed
}

// codeAnswer is the body of an answer that carries only a result code and a detail.
type codeAnswer struct {
	Code   errcode.Code `json:"code"`
	Detail string       `json:"detail"`
	Result string       `json:"result"`
}

// writeAnswer is the body of the answer to WriteConfiguration.
type writeAnswer struct {
	Code          errcode.Code `json:"code"`
	Configuration string       `json:"configuration"`
	Detail        string       `json:"detail,omitempty"`
	Faults        []string     `json:"faults,omitempty"`
	Result        string       `json:"result"`
	Version       int64        `json:"version"` // committed by the write, or in force if another one is
}

// versionsAnswer lists the versions of a configuration that the configstores retain.
type versionsAnswer struct {
	Configuration  string   `json:"configuration"`
	Configurations []string `json:"configurations"` // names of all known configurations
	Versions       []int64  `json:"versions"`
}

// configurationStatusAnswer reports which version of a configuration each proxy has in force.
type configurationStatusAnswer struct {
	AgeMS          int64            `json:"age_ms"`
	Configuration  string           `json:"configuration"`
	Everywhere     bool             `json:"everywhere"` // BehindProxies is empty
	VersionByProxy map[string]int64 `json:"in_force"`
	BehindProxies  []string         `json:"lacking"` // proxies whose version is below MinVersion
	Version        int64            `json:"version"` // newest version that this registry holds
	MinVersion     int64            `json:"wanted"`  // the requested version, or Version if that is higher
}

// usageAnswer is a sealed usage window.
type usageAnswer struct {
	Counts map[string]int64 `json:"counts"` // by tenant
	Window int64            `json:"window"`
}

// memberAnswer is one member of the fleet as listed in this registry's membership.
type memberAnswer struct {
	Address     string `json:"address"`
	Incarnation int64  `json:"incarnation"`
	Name        string `json:"name"`
	Role        string `json:"role"`
	State       string `json:"state"` // alive, suspect, dead or left
	Voter       string `json:"voter"`
	Zone        string `json:"zone"`
}

// leaseAnswer describes the lease of one tag.
type leaseAnswer struct {
	Epoch    int64  `json:"epoch"`
	HeldHere bool   `json:"here"`   // this registry is the holder
	Holder   string `json:"holder"` // voter that this registry last voted for
}

// sliceAnswer describes this registry's copy of one zone's slice of the roster.
type sliceAnswer struct {
	AgeMS    int64 `json:"age_ms"`
	Count    int64 `json:"count"`
	Epoch    int64 `json:"epoch"`
	Known    bool  `json:"known"` // the slice was current at some time, so that AgeMS is valid
	Seq      int64 `json:"seq"`
	Complete bool  `json:"whole"`
}

// configurationAnswer describes this registry's copy of one configuration.
type configurationAnswer struct {
	AgeMS   int64 `json:"age_ms"`
	Bytes   int   `json:"bytes"`
	Known   bool  `json:"known"`
	Version int64 `json:"version"`
}

// relayAnswer describes a proxy's position in the distribution tree, from its latest heartbeat
// batch.
type relayAnswer struct {
	HeartbeatAgeMS int64    `json:"heard_ms"` // time since that batch was received
	Path           []string `json:"path"`
	Ready          bool     `json:"ready"`
}

// updatesAnswer describes this registry's own position in the distribution tree.
type updatesAnswer struct {
	Parent        string   `json:"from"`
	ParentChanges int64    `json:"moves"` // how often the parent was changed
	Path          []string `json:"path"`
}

// usageStatusAnswer reports the progress of the usage reports.
type usageStatusAnswer struct {
	Reported int64 `json:"reported"` // number of the newest window that was delivered to the collector
}

// statusAnswer is the body of the answer to ReadStatus.
type statusAnswer struct {
	Configurations map[string]configurationAnswer `json:"configurations"`
	Leases         map[string]leaseAnswer         `json:"leases"` // by tag
	Members        []memberAnswer                 `json:"members"`
	Node           string                         `json:"node"`
	Relays         map[string]relayAnswer         `json:"relays"`   // by proxy
	Removed        bool                           `json:"shut_out"` // another disk was given this process's voter
	Slices         map[string]sliceAnswer         `json:"slices"`   // by zone
	Updates        updatesAnswer                  `json:"updates"`
	Usage          usageStatusAnswer              `json:"usage"`
	Voter          string                         `json:"voter"`
	Voting         bool                           `json:"voting"`
}

// registrationAnswer is one registration of the roster.
type registrationAnswer struct {
	Address      string `json:"address"`
	Incarnation  int64  `json:"incarnation"`
	Instance     string `json:"instance"`
	Service      string `json:"service"`
	ServingProxy string `json:"serving_proxy"`
	Slots        int64  `json:"slots"`
	State        string `json:"state"`
}

// rosterAnswer is the body of the answer to ReadRoster: the registrations and their ages by zone.
type rosterAnswer struct {
	AgesMS map[string]int64                `json:"ages_ms"`
	Slices map[string][]registrationAnswer `json:"slices"`
}

// answerJSON returns an answer with the body encoded as JSON.
func answerJSON(code errcode.Code, body any) OperatorResponse {
	text, err := json.Marshal(body)
	if err != nil {
		return OperatorResponse{Code: errcode.Internal, Body: []byte(`{}`)}
	}
	return OperatorResponse{Code: code, Body: text}
}

// answerCode returns an answer that carries only a result code and a detail.
func answerCode(code errcode.Code, detail string) OperatorResponse {
	return answerJSON(code, codeAnswer{Code: code, Detail: detail, Result: code.String()})
}
