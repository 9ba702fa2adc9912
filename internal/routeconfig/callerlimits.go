// This file reads what a configuration allows callers: how large the heads and bodies of
// their requests may be, how long a head may take, and how long a connection may rest.

package routeconfig

import (
	"time"

	"github.com/tidwall/gjson"
)

// CallerLimits bound what a caller may send, and for how long a connection may take or
// rest; 0 is not told.
type CallerLimits struct {
	HeadBytes int64
	BodyBytes int64
	HeadTime  time.Duration
	IdleTime  time.Duration
}

func parseCallerLimits(value gjson.Result) CallerLimits {
	milliseconds := func(name string) time.Duration {
		return time.Duration(max(0, value.Get(name).Num) * float64(time.Millisecond))
	}
	return CallerLimits{HeadBytes: max(0, value.Get("head_bytes").Int()), BodyBytes: max(0, value.Get("body_bytes").Int()),
		HeadTime: milliseconds("head_ms"), IdleTime: milliseconds("idle_ms")}
}

// Widest takes the larger of two limits, each; one that is not told bounds nothing.
func (l CallerLimits) Widest(other CallerLimits) CallerLimits {
	return CallerLimits{HeadBytes: widest(l.HeadBytes, other.HeadBytes), BodyBytes: widest(l.BodyBytes, other.BodyBytes),
		HeadTime: widest(l.HeadTime, other.HeadTime), IdleTime: widest(l.IdleTime, other.IdleTime)}
}

func widest[T int64 | time.Duration](left, right T) T {
	if left == 0 || right == 0 {
		return 0
	}
	return max(left, right)
}
