package registry

import (
	"encoding/json"

	"beaconvane/internal/errcode"
)

// OperatorResponse is what goes back to an operator. The types of the JSON bodies follow below; the fields of
// each stand in the order of the alphabet, which is their order on the wire.
type OperatorResponse struct {
	Code errcode.Code
	Body []byte // JSON, unless Raw
	Raw  bool   // the body is a configuration, byte for byte as it was committed
}

// codeAnswer says how a call ended, and nothing more.
type codeAnswer struct {
	Code   errcode.Code `json:"code"`
	Detail string       `json:"detail"`
	Result string       `json:"result"`
}

// writeAnswer says how a write ended.
type writeAnswer struct {
	Code          errcode.Code `json:"code"`
	Configuration string       `json:"configuration"`
	Detail        string       `json:"detail,omitempty"`
	Faults        []string     `json:"faults,omitempty"`
	Result        string       `json:"result"`
	Version       int64        `json:"version"` // committed, or in force
}

// versionsAnswer lists the kept versions of a configuration.
type versionsAnswer struct {
	Configuration  string   `json:"configuration"`
	Configurations []string `json:"configurations"` // all that are known
	Versions       []int64  `json:"versions"`
}

// configurationStatusAnswer says which proxy has which version in force.
type configurationStatusAnswer struct {
	AgeMS         int64            `json:"age_ms"`
	Configuration string           `json:"configuration"`
	Everywhere    bool             `json:"everywhere"`
	InForce       map[string]int64 `json:"in_force"` // version by proxy
	Lacking       []string         `json:"lacking"`  // proxies below the wanted version
	Version       int64            `json:"version"`
	Wanted        int64            `json:"wanted"`
}

// usageAnswer is a sealed usage window.
type usageAnswer struct {
	Counts map[string]int64 `json:"counts"` // by tenant
	Window int64            `json:"window"`
}

// memberAnswer is a member as this registry sees it.
type memberAnswer struct {
	Address     string `json:"address"`
	Incarnation int64  `json:"incarnation"`
	Name        string `json:"name"`
	Role        string `json:"role"`
	State       string `json:"state"` // alive, suspect, dead or left
	Voter       string `json:"voter"`
	Zone        string `json:"zone"`
}

// leaseAnswer is the lease of a tag.
type leaseAnswer struct {
	Epoch  int64  `json:"epoch"`
	Here   bool   `json:"here"` // this registry holds it
	Holder string `json:"holder"`
}

// sliceAnswer is how far a zone's slice of the roster is known.
type sliceAnswer struct {
	AgeMS int64 `json:"age_ms"`
	Count int64 `json:"count"`
	Epoch int64 `json:"epoch"`
	Known bool  `json:"known"`
	Seq   int64 `json:"seq"`
	Whole bool  `json:"whole"`
}

// configurationAnswer is how far a configuration is known.
type configurationAnswer struct {
	AgeMS   int64 `json:"age_ms"`
	Bytes   int   `json:"bytes"`
	Known   bool  `json:"known"`
	Version int64 `json:"version"`
}

// relayAnswer is a proxy's place in the distribution tree, as its heartbeats tell.
type relayAnswer struct {
	HeardMS int64    `json:"heard_ms"`
	Path    []string `json:"path"`
	Ready   bool     `json:"ready"`
}

// updatesAnswer is where this registry's own updates come from.
type updatesAnswer struct {
	From  string   `json:"from"`
	Moves int64    `json:"moves"`
	Path  []string `json:"path"`
}

// usageStatusAnswer is how far the usage reports are.
type usageStatusAnswer struct {
	Reported int64 `json:"reported"`
}

// statusAnswer is all that a registry tells of itself.
type statusAnswer struct {
	Configurations map[string]configurationAnswer `json:"configurations"`
	Leases         map[string]leaseAnswer         `json:"leases"` // by tag
	Members        []memberAnswer                 `json:"members"`
	Node           string                         `json:"node"`
	Relays         map[string]relayAnswer         `json:"relays"` // by proxy
	ShutOut        bool                           `json:"shut_out"`
	Slices         map[string]sliceAnswer         `json:"slices"` // by zone
	Updates        updatesAnswer                  `json:"updates"`
	Usage          usageStatusAnswer              `json:"usage"`
	Voter          string                         `json:"voter"`
	Voting         bool                           `json:"voting"`
}

// registrationAnswer is one upstream of the roster.
type registrationAnswer struct {
	Address      string `json:"address"`
	Incarnation  int64  `json:"incarnation"`
	Instance     string `json:"instance"`
	Service      string `json:"service"`
	ServingProxy string `json:"serving_proxy"`
	Slots        int64  `json:"slots"`
	State        string `json:"state"`
}

// rosterAnswer is the roster by zone.
type rosterAnswer struct {
	AgesMS map[string]int64                `json:"ages_ms"`
	Slices map[string][]registrationAnswer `json:"slices"`
}

// answerJSON makes an answer of a body.
func answerJSON(code errcode.Code, body any) OperatorResponse {
	text, err := json.Marshal(body)
	if err != nil {
		return OperatorResponse{Code: errcode.Internal, Body: []byte(`{}`)}
	}
	return OperatorResponse{Code: code, Body: text}
}

// answerCode makes an answer that has a result code and a detail only.
func answerCode(code errcode.Code, detail string) OperatorResponse {
	return answerJSON(code, codeAnswer{Code: code, Detail: detail, Result: code.String()})
}
