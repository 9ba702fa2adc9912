package frontend

import (
	"net/http"
	"net/url"
	"strings"

	"beaconvane/internal/backend"
	"beaconvane/internal/routeconfig"
)

// maxDecodings is the number of forms of a text that are searched for a key: the text itself and
// its repeated percent-decodings.
const maxDecodings = 3

// tokenSeparators are the characters that separate the tokens of a text. Each token may be a key.
const tokenSeparators = " ;,=/\""

// meshHeaders lists the headers that are removed from every request, in any letter case and with
// "-" or "_": the mesh sets them itself, or they apply to this hop only.
var meshHeaders = map[string]bool{
	"x-tenant":          true,
	"x-calling-service": true,
	"x-beacon-pass":     true,
	"x-request-id":      true,
	"x-api-key":         true,
	"authorization":     true,
	"host":              true,
	"expect":            true,
}

// exposesKey reports whether a text contains, plain or percent-encoded, one of the request's keys in
// any letter case, or a key that is valid in some configuration as the entire text or as one of its
// tokens.
func exposesKey(text string, keys []string, configurations []*routeconfig.Configuration) bool {
	for range maxDecodings {
		if containsKey(text, keys) || containsAnyValidKey(text, configurations) {
			return true
		}
		decoded, err := url.PathUnescape(text)
		if err != nil || decoded == text {
			return false
		}
		text = decoded
	}
	return false
}

// containsKey reports whether a text contains one of the keys in any letter case.
func containsKey(text string, keys []string) bool {
	lower := strings.ToLower(text)
	for _, key := range keys {
		if strings.Contains(lower, strings.ToLower(key)) {
			return true
		}
	}
	return false
}

// containsAnyValidKey reports whether a text or one of its tokens is a valid key in some
// configuration.
func containsAnyValidKey(text string, configurations []*routeconfig.Configuration) bool {
	isSeparator := func(letter rune) bool { return strings.ContainsRune(tokenSeparators, letter) }
	tokens := append(strings.FieldsFunc(text, isSeparator), text)
	for _, token := range tokens {
		for _, configuration := range configurations {
			if _, valid := configuration.Tenant(token); valid {
				return true
			}
		}
	}
	return false
}

// sanitizeHeaders replaces the request's headers by those that may reach an upstream.
func sanitizeHeaders(request *Request, keys []string, configurations []*routeconfig.Configuration) {
	sanitized := http.Header{}
	hopByHop := backend.HopByHopHeaders(request.Header)
	for name, values := range request.Header {
		if hopByHop[name] || isMeshHeader(name) || exposesKey(name, keys, configurations) {
			continue
		}
		for _, value := range values {
			if !exposesKey(value, keys, configurations) {
				sanitized.Add(name, value)
			}
		}
	}
	request.Header = sanitized
}

// isMeshHeader reports whether meshHeaders lists a header.
func isMeshHeader(name string) bool {
	return meshHeaders[strings.ReplaceAll(strings.ToLower(name), "_", "-")]
}

// sanitizeQuery removes the query parameters that must not reach an upstream. The others stay
// unchanged.
func sanitizeQuery(request *Request, keys []string, configurations []*routeconfig.Configuration) {
	if request.RawQuery == "" {
		return
	}
	sanitized := []string{}
	for _, parameter := range strings.Split(request.RawQuery, "&") {
		if mayKeepParameter(parameter, keys, configurations) {
			sanitized = append(sanitized, parameter)
		}
	}
	request.RawQuery = strings.Join(sanitized, "&")
}

// mayKeepParameter reports whether a query parameter is well-formed and contains no key.
func mayKeepParameter(parameter string, keys []string, configurations []*routeconfig.Configuration) bool {
	rawName, rawValue, _ := strings.Cut(parameter, "=")
	name, nameErr := url.QueryUnescape(rawName)
	value, valueErr := url.QueryUnescape(rawValue)
	if nameErr != nil || valueErr != nil || strings.EqualFold(name, KeyParam) {
		return false
	}
	return !exposesKey(value, keys, configurations) && !exposesKey(name, keys, configurations)
}
