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

// Names under which a caller shows its tenant's key.
const (
	APIKeyHeader = "X-Api-Key"
	KeyParam     = "api_key"
)

// NativeProtocol is the product's own way for callers to speak (docs/operators/requests.md).
type NativeProtocol struct{}

// Metadata takes keys from the header of their own, from Authorization and from the query.
func (NativeProtocol) Metadata(request *Request) Metadata {
	return Metadata{
		APIKeys:         apiKeys(request),
		DelegationToken: request.Header.Get(backend.DelegationHeader),
		CallingService:  request.Header.Get(backend.CallerHeader),
	}
}

// RoutingPath returns the normalised path.
func (NativeProtocol) RoutingPath(request *Request) (string, errcode.Code) {
	path, err := routeconfig.NormalizePath(request.RawPath)
	if err != nil {
		return "", errcode.RequestBadPath
	}
	return path, errcode.OK
}

// PathExposesKey reports whether a key stands in the path, in whatever form.
func (NativeProtocol) PathExposesKey(request *Request, keys []string, configurations []*routeconfig.Configuration) bool {
	return exposesKey(request.RawPath, keys, configurations)
}

// Sanitize removes what the mesh sets itself, headers that end at this hop, and keys wherever
// they stand.
func (NativeProtocol) Sanitize(request *Request, keys []string, configurations []*routeconfig.Configuration) {
	sanitizeHeaders(request, keys, configurations)
	sanitizeQuery(request, keys, configurations)
}

// WriteResponse writes a refusal, with the time to come back in whole seconds.
func (NativeProtocol) WriteResponse(out http.ResponseWriter, response *Response) {
	if response.RetryAfter > 0 {
		seconds := (response.RetryAfter + time.Second - 1) / time.Second
		out.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	WriteRefusal(out, response)
}

// WriteRefusal writes a refusal's head, with its code, and its body, which says the same in JSON.
func WriteRefusal(out http.ResponseWriter, response *Response) {
	out.Header().Set(CodeHeader, strconv.Itoa(int(response.Code)))
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(response.Status)
	// A caller that has gone sees its connection end; there is nobody else to tell.
	_ = json.NewEncoder(out).Encode(map[string]any{
		"code":   int(response.Code),
		"result": response.Code.String(),
		"detail": errcode.Entries[response.Code].Text,
	})
}

// apiKeys returns every key that a request shows where keys belong.
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
