package routeconfig

import (
	"time"

	"github.com/tidwall/gjson"
)

// CallerLimits limit callers' requests and connections. 0: no limit is configured.
type CallerLimits struct {
	HeadBytes int64         // size of a request's header
	BodyBytes int64         // size of a request's body
	HeadTime  time.Duration // within which a request's header must be received
	IdleTime  time.Duration // for which a connection may be idle between requests
}

// parseCallerLimits parses the limits of a configuration; a value that is absent or negative is 0.
func parseCallerLimits(value gjson.Result) CallerLimits {
	return CallerLimits{
		HeadBytes: nonNegative(value.Get("head_bytes")),
		BodyBytes: nonNegative(value.Get("body_bytes")),
		HeadTime:  unboundedMilliseconds(value.Get("head_ms")),
		IdleTime:  unboundedMilliseconds(value.Get("idle_ms")),
	}
}

// nonNegative returns a whole number, or 0 if it is negative.
func nonNegative(value gjson.Result) int64 { return max(0, value.Int()) }

// unboundedMilliseconds parses a duration like milliseconds, but only from a number and without a maximum.
func unboundedMilliseconds(value gjson.Result) time.Duration {
	return time.Duration(max(0, value.Num) * float64(time.Millisecond))
}

// Widest returns the larger of each two limits. A limit that is not set counts as the larger one.
func (l CallerLimits) Widest(other CallerLimits) CallerLimits {
	return CallerLimits{
		HeadBytes: widest(l.HeadBytes, other.HeadBytes),
		BodyBytes: widest(l.BodyBytes, other.BodyBytes),
		HeadTime:  widest(l.HeadTime, other.HeadTime),
		IdleTime:  widest(l.IdleTime, other.IdleTime),
	}
}

// widest returns the larger of two limits, or 0 (no limit) if one of them is 0.
func widest[T int64 | time.Duration](left, right T) T {
	if left == 0 || right == 0 {
		return 0
	}
	return max(left, right)
}
