package message

// HeaderLine is one header field.
type HeaderLine struct {
	Name  string
	Value string
}

// Forward carries a caller's request from its proxy to the upstream's serving proxy.
type Forward struct {
	ID                    string // of this try
	Proxy                 string
	ServingProxyStartTime int64 // the life of the serving proxy that is meant
	ConfigName            string
	Version               int64
	Route                 string
	Service               string
	Instance              string
	Incarnation           int64
	Tenant                string
	Caller                string
	Method                string
	Path                  string
	RawQuery              string
	Headers               []HeaderLine
	Body                  []byte
	Remaining             int64 // nanoseconds until the deadline
	MaxResponseBytes      int64 // most bytes of the answer's body
	Host                  string
	Name                  string // the caller's own name of this try
	Priority              int64  // 0 goes first
	TargetRemaining       int64  // nanoseconds left within which an answer has its full worth; 0: not told
	AtMostOnce            bool   // must not run twice
	Retried               bool   // an upstream was offered the request before
}

// Outcome answers a Forward or an OutcomeRequest.
type Outcome struct {
	ID              string
	Kind            int64 // NotStarted, Completed, OutcomeUnknown or StillRunning
	Code            int64 // errcode.Code
	Status          int64 // HTTP status of the upstream's answer
	Headers         []HeaderLine
	Body            []byte
	Outstanding     int64   // requests at the upstream
	Slots           int64   // of the upstream
	Load            float64 // that the upstream announced
	RetryAfter      int64   // nanoseconds
	ResponseAge     int64   // nanoseconds since the answer was whole at the serving proxy
	ServiceTime     int64   // nanoseconds from the start at the upstream to its whole answer
	ReachedUpstream bool    // an upstream has seen the request, though it may have refused it
}

// OutcomeRequest asks again for the outcome of a try whose connection was lost.
type OutcomeRequest struct {
	ID                    string
	ServingProxyStartTime int64
}

// Cancel gives a try up.
type Cancel struct {
	ID string
}

// Kinds of outcome.
const (
	// NotStarted: the upstream has not begun with the request; it may be tried elsewhere.
	NotStarted int64 = 1
	// Completed: the upstream's whole answer is here.
	Completed int64 = 2
	// OutcomeUnknown: the upstream may have run the request, and there is no whole answer.
	OutcomeUnknown int64 = 3
	// StillRunning: the upstream has not answered yet.
	StillRunning int64 = 4
)
