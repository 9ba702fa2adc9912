package routeconfig

import (
	"time"

	"github.com/tidwall/gjson"
)

// CallerLimits bound what a caller may send, and for how long a connection may take or rest. 0 is
// not set, and bounds nothing.
type CallerLimits struct {
	HeadBytes int64         // of a request
	BodyBytes int64         // of a request
	HeadTime  time.Duration // within which a request's head must have come
	IdleTime  time.Duration // for which a connection may rest between requests
}

func parseCallerLimits(value gjson.Result) CallerLimits {
	return CallerLimits{
		HeadBytes: nonNegative(value.Get("head_bytes")),
		BodyBytes: nonNegative(value.Get("body_bytes")),
		HeadTime:  unboundedMilliseconds(value.Get("head_ms")),
		IdleTime:  unboundedMilliseconds(value.Get("idle_ms")),
	}
}

func nonNegative(value gjson.Result) int64 { return max(0, value.Int()) }

// unboundedMilliseconds reads a time as milliseconds does, but only from a number, and without a bound.
func unboundedMilliseconds(value gjson.Result) time.Duration {
	return time.Duration(max(0, value.Num) * float64(time.Millisecond))
}

// Widest returns the larger of each two limits; one that is not set bounds nothing.
func (l CallerLimits) Widest(other CallerLimits) CallerLimits {
	return CallerLimits{
		HeadBytes: widest(l.HeadBytes, other.HeadBytes),
		BodyBytes: widest(l.BodyBytes, other.BodyBytes),
		HeadTime:  widest(l.HeadTime, other.HeadTime),
		IdleTime:  widest(l.IdleTime, other.IdleTime),
	}
}

func widest[T int64 | time.Duration](left, right T) T {
	if left == 0 || right == 0 {
		return 0
	}
	return max(left, right)
}
