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

// The header and the query parameter that carry a tenant's API key.
const (
	APIKeyHeader = "X-Api-Key"
	KeyParam     = "api_key"
)

// NativeProtocol is the default protocol for callers (docs/operators/requests.md).
type NativeProtocol struct{}

// Metadata reads API keys from APIKeyHeader, Authorization and the query, and the delegation token
// and the calling service from their headers.
func (NativeProtocol) Metadata(request *Request) Metadata {
	return Metadata{
		APIKeys:         apiKeys(request),
		DelegationToken: request.Header.Get(backend.DelegationHeader),
		CallingService:  request.Header.Get(backend.CallerHeader),
	}
}

// RoutingPath returns the normalized path.
func (NativeProtocol) RoutingPath(request *Request) (string, errcode.Code) {
	path, err := routeconfig.NormalizePath(request.RawPath)
	if err != nil {
		return "", errcode.RequestBadPath
	}
	return path, errcode.OK
}

// PathExposesKey reports whether the path contains a key, plain or percent-encoded.
func (NativeProtocol) PathExposesKey(request *Request, keys []string, configurations []*routeconfig.Configuration) bool {
	return exposesKey(request.RawPath, keys, configurations)
}

// Sanitize removes headers that the mesh sets, hop-by-hop headers, and every header and query
// parameter that contains a key.
func (NativeProtocol) Sanitize(request *Request, keys []string, configurations []*routeconfig.Configuration) {
	sanitizeHeaders(request, keys, configurations)
	sanitizeQuery(request, keys, configurations)
}

// WriteResponse writes a refusal, with Retry-After rounded up to whole seconds.
func (NativeProtocol) WriteResponse(out http.ResponseWriter, response *Response) {
	if response.RetryAfter > 0 {
		seconds := (response.RetryAfter + time.Second - 1) / time.Second
		out.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	WriteRefusal(out, response)
}

// WriteRefusal writes a refusal: its status, CodeHeader, and a JSON body with the code's number,
// name and description.
func WriteRefusal(out http.ResponseWriter, response *Response) {
	out.Header().Set(CodeHeader, strconv.Itoa(int(response.Code)))
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(response.Status)
	// A write fails only if the caller has disconnected.
	_ = json.NewEncoder(out).Encode(map[string]any{
		"code":   int(response.Code),
		"result": response.Code.String(),
		"detail": errcode.Entries[response.Code].Text,
	})
}

// apiKeys returns the non-empty keys of APIKeyHeader, Authorization and the query, in this order.
func apiKeys(request *Request) []string {
	keys := slices.Clone(request.Header.Values(APIKeyHeader))
	for _, value := range request.Header.Values("Authorization") {
		scheme, key, found := strings.Cut(value, " ")
		if found && strings.EqualFold(scheme, "Bearer") {
			keys = append(keys, strings.TrimSpace(key))
		}
	}
	if values, err := url.ParseQuery(request.RawQuery); err == nil {
		keys = append(keys, values[KeyParam]...)
	}
	return slices.DeleteFunc(keys, func(key string) bool { return key == "" })
}
