// This file is the port towards callers' ways of speaking: where a request shows its
// key, its name and its time, by which path its route is found, what must not reach an
// upstream, and how the mesh's own answers are put. House is the product's own manner;
// adapters bring others.

package frontend

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/routeconfig"
)

// Metadata is what a request says of who asks.
type Metadata struct {
	APIKeys         []string      // of tenants; the first one counts
	DelegationToken string        // of a running request, on whose behalf an upstream asks
	CallingService  string        // the calling service, where callers name theirs
	AttemptName     string        // the caller's own name of this try, "" for none
	Timeout         time.Duration // how long the caller waits; 0: not told
}

// Protocol is how callers speak.
type Protocol interface {
	Metadata(request *Request) Metadata
	RoutingPath(request *Request) (path string, code errcode.Code)
	PathExposesKey(request *Request, keys []string, configurations []*routeconfig.Configuration) bool
	Sanitize(request *Request, keys []string, configurations []*routeconfig.Configuration)
	WriteResponse(out http.ResponseWriter, final *Response)
}

// NativeProtocol is the product's own manner.
type NativeProtocol struct{}

// Metadata takes keys from header, bearer and parameter.
func (NativeProtocol) Metadata(request *Request) Metadata {
	return Metadata{APIKeys: takeKeys(request), DelegationToken: request.Header.Get(backend.DelegationHeader), CallingService: request.Header.Get(backend.CallerHeader)}
}

// RoutingPath is the normalised path; one that shows a key has none.
func (NativeProtocol) RoutingPath(request *Request) (string, errcode.Code) {
	path, err := routeconfig.NormalizePath(request.RawPath)
	if err != nil {
		return "", errcode.RequestBadPath
	}
	return path, errcode.OK
}

// PathExposesKey says that the path itself shows a key, which can't be taken out.
func (NativeProtocol) PathExposesKey(request *Request, keys []string, configurations []*routeconfig.Configuration) bool {
	return shows(request.RawPath, keys, configurations)
}

// Sanitize removes what the mesh sets itself and keys wherever they stand.
func (NativeProtocol) Sanitize(request *Request, keys []string, configurations []*routeconfig.Configuration) {
	scrub(request, keys, configurations)
}

// WriteResponse puts a refusal with its code in the head and in a JSON body.
func (NativeProtocol) WriteResponse(out http.ResponseWriter, final *Response) {
	if final.RetryAfter > 0 {
		out.Header().Set("Retry-After", strconv.FormatInt(int64((final.RetryAfter+time.Second-1)/time.Second), 10))
	}
	WriteRefusal(out, final)
}

// WriteRefusal writes a refusal's head and body.
func WriteRefusal(out http.ResponseWriter, final *Response) {
	out.Header().Set(CodeHeader, strconv.Itoa(int(final.Code)))
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(final.Status)
	json.NewEncoder(out).Encode(map[string]any{"code": int(final.Code), "result": final.Code.String(), "detail": errcode.Entries[final.Code].Text})
}

// takeKeys gives every key that a request shows where keys belong; the first one counts.
func takeKeys(request *Request) []string {
	keys := slices.Clone(request.Header.Values(APIKeyHeader))
	for _, value := range request.Header.Values("Authorization") {
		if scheme, key, found := strings.Cut(value, " "); found && strings.EqualFold(scheme, "Bearer") {
			keys = append(keys, strings.TrimSpace(key))
		}
	}
	if values, err := url.ParseQuery(request.RawQuery); err == nil {
		keys = append(keys, values[KeyParam]...)
	}
	return slices.DeleteFunc(keys, func(key string) bool { return key == "" })
}

var ownHeaders = map[string]bool{"x-tenant": true, "x-calling-service": true, "x-beacon-pass": true, "x-request-id": true,
	"x-api-key": true, "authorization": true, "host": true, "expect": true}

// shows finds a key in a text, in whatever letters, plain or percent-encoded, and any
// key that is honoured where it stands alone or as one of several parts.
func shows(text string, keys []string, configurations []*routeconfig.Configuration) bool {
	for range 3 {
		lower := strings.ToLower(text)
		for _, key := range keys {
			if strings.Contains(lower, strings.ToLower(key)) {
				return true
			}
		}
		for _, part := range append(strings.FieldsFunc(text, func(letter rune) bool { return strings.ContainsRune(" ;,=/\"", letter) }), text) {
			for _, configuration := range configurations {
				if _, honoured := configuration.Tenant(part); honoured {
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

func scrub(request *Request, keys []string, configurations []*routeconfig.Configuration) {
	clean := http.Header{}
	dropped := backend.HopByHopHeaders(request.Header)
	for name, values := range request.Header {
		if dropped[name] || ownHeaders[strings.ReplaceAll(strings.ToLower(name), "_", "-")] || shows(name, keys, configurations) {
			continue
		}
		for _, value := range values {
			if !shows(value, keys, configurations) {
				clean.Add(name, value)
			}
		}
	}
	request.Header = clean
	if request.RawQuery == "" {
		return
	}
	kept := []string{}
	for _, part := range strings.Split(request.RawQuery, "&") {
		name, value, _ := strings.Cut(part, "=")
		plainName, nameErr := url.QueryUnescape(name)
		plainValue, valueErr := url.QueryUnescape(value)
		if nameErr != nil || valueErr != nil || strings.EqualFold(plainName, KeyParam) || shows(plainValue, keys, configurations) || shows(plainName, keys, configurations) {
			continue
		}
		kept = append(kept, part)
	}
	request.RawQuery = strings.Join(kept, "&")
}
