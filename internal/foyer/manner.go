// This file is the port towards callers' ways of speaking: where a query shows its
// key, its name and its time, by which path its route is found, what must not reach an
// upstream, and how the mesh's own answers are put. House is the product's own manner;
// adapters bring others.
package foyer

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/blocking"
	"beaconvane/internal/greenroom"
	"beaconvane/internal/notice"
)

// Claims is what a query says of who asks.
type Claims struct {
	Keys   []string      // of tenants; the first one counts
	Pass   string        // of a running query, on whose behalf an upstream asks
	Caller string        // the calling service, where callers name theirs
	Name   string        // the caller's own name of this try, "" for none
	Wait   time.Duration // how long the caller waits; 0: not told
}

// Manner is how callers speak.
type Manner interface {
	Claims(query *Query) Claims
	Place(query *Query) (path string, code notice.Code)
	Shown(query *Query, keys []string, layouts []*blocking.Layout) bool
	Scrub(query *Query, keys []string, layouts []*blocking.Layout)
	Answer(out http.ResponseWriter, final *Final)
}

// House is the product's own manner.
type House struct{}

// Claims takes keys from header, bearer and parameter.
func (House) Claims(query *Query) Claims {
	return Claims{Keys: takeKeys(query), Pass: query.Header.Get(greenroom.PassHeader), Caller: query.Header.Get(greenroom.CallerHeader)}
}

// Place is the normalised path; one that shows a key has none.
func (House) Place(query *Query) (string, notice.Code) {
	path, err := blocking.NormalPath(query.RawPath)
	if err != nil {
		return "", notice.QueryBadPath
	}
	return path, notice.OK
}

// Shown says that the path itself shows a key, which can't be taken out.
func (House) Shown(query *Query, keys []string, layouts []*blocking.Layout) bool {
	return shows(query.RawPath, keys, layouts)
}

// Scrub removes what the mesh sets itself and keys wherever they stand.
func (House) Scrub(query *Query, keys []string, layouts []*blocking.Layout) {
	scrub(query, keys, layouts)
}

// Answer puts a refusal with its code in the head and in a JSON body.
func (House) Answer(out http.ResponseWriter, final *Final) {
	if final.RetryAfter > 0 {
		out.Header().Set("Retry-After", strconv.FormatInt(int64((final.RetryAfter+time.Second-1)/time.Second), 10))
	}
	Refuse(out, final)
}

// Refuse writes a refusal's head and body.
func Refuse(out http.ResponseWriter, final *Final) {
	out.Header().Set(CodeHeader, strconv.Itoa(int(final.Code)))
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(final.Status)
	json.NewEncoder(out).Encode(map[string]any{"code": int(final.Code), "result": final.Code.String(), "detail": notice.Entries[final.Code].Text})
}

// takeKeys gives every key that a query shows where keys belong; the first one counts.
func takeKeys(query *Query) []string {
	keys := slices.Clone(query.Header.Values(KeyHeader))
	for _, value := range query.Header.Values("Authorization") {
		if scheme, key, found := strings.Cut(value, " "); found && strings.EqualFold(scheme, "Bearer") {
			keys = append(keys, strings.TrimSpace(key))
		}
	}
	if values, err := url.ParseQuery(query.RawQuery); err == nil {
		keys = append(keys, values[KeyParam]...)
	}
	return slices.DeleteFunc(keys, func(key string) bool { return key == "" })
}

var ownHeaders = map[string]bool{"x-tenant": true, "x-calling-service": true, "x-beacon-pass": true, "x-query-id": true,
	"x-api-key": true, "authorization": true, "host": true, "expect": true}

// shows finds a key in a text, in whatever letters, plain or percent-encoded, and any
// key that is honoured where it stands alone or as one of several parts.
func shows(text string, keys []string, layouts []*blocking.Layout) bool {
	for range 3 {
		lower := strings.ToLower(text)
		for _, key := range keys {
			if strings.Contains(lower, strings.ToLower(key)) {
				return true
			}
		}
		for _, part := range append(strings.FieldsFunc(text, func(letter rune) bool { return strings.ContainsRune(" ;,=/\"", letter) }), text) {
			for _, layout := range layouts {
				if _, honoured := layout.Tenant(part); honoured {
					return true
				}
			}
		}
		plain, err := url.PathUnescape(text)
		if err != nil || plain == text {
			return false
		}
		text = plain
	}
	return false
}

func scrub(query *Query, keys []string, layouts []*blocking.Layout) {
	clean := http.Header{}
	dropped := greenroom.HopHeaders(query.Header)
	for name, values := range query.Header {
		if dropped[name] || ownHeaders[strings.ReplaceAll(strings.ToLower(name), "_", "-")] || shows(name, keys, layouts) {
			continue
		}
		for _, value := range values {
			if !shows(value, keys, layouts) {
				clean.Add(name, value)
			}
		}
	}
	query.Header = clean
	if query.RawQuery == "" {
		return
	}
	kept := []string{}
	for _, part := range strings.Split(query.RawQuery, "&") {
		name, value, _ := strings.Cut(part, "=")
		plainName, nameErr := url.QueryUnescape(name)
		plainValue, valueErr := url.QueryUnescape(value)
		if nameErr != nil || valueErr != nil || strings.EqualFold(plainName, KeyParam) || shows(plainValue, keys, layouts) || shows(plainName, keys, layouts) {
			continue
		}
		kept = append(kept, part)
	}
	query.RawQuery = strings.Join(kept, "&")
}
