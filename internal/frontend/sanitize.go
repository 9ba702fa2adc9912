package frontend

import (
	"net/http"
	"net/url"
	"strings"

	"beaconvane/internal/backend"
	"beaconvane/internal/routeconfig"
)

// maxEncodings is how many layers of percent-encoding are looked through for a key.
const maxEncodings = 3

// partSeparators are the characters between the parts of a text, each of which may be a key.
const partSeparators = " ;,=/\""

// meshHeaders are removed from every request, in any letters and with - or _: the mesh sets them
// itself, or they end at this hop.
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

// exposesKey reports whether a text shows a key: one of the request's own in any letters, plain or
// percent-encoded, or any key that a configuration honours where it stands alone or as one of
// several parts.
func exposesKey(text string, keys []string, configurations []*routeconfig.Configuration) bool {
	for range maxEncodings {
		if containsKey(text, keys) || hasHonouredPart(text, configurations) {
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

func containsKey(text string, keys []string) bool {
	lower := strings.ToLower(text)
	for _, key := range keys {
		if strings.Contains(lower, strings.ToLower(key)) {
			return true
		}
	}
	return false
}

func hasHonouredPart(text string, configurations []*routeconfig.Configuration) bool {
	isSeparator := func(letter rune) bool { return strings.ContainsRune(partSeparators, letter) }
	parts := append(strings.FieldsFunc(text, isSeparator), text)
	for _, part := range parts {
		for _, configuration := range configurations {
			if _, honoured := configuration.Tenant(part); honoured {
				return true
			}
		}
	}
	return false
}

// sanitizeHeaders keeps only the headers that may go on to an upstream.
func sanitizeHeaders(request *Request, keys []string, configurations []*routeconfig.Configuration) {
	clean := http.Header{}
	hopByHop := backend.HopByHopHeaders(request.Header)
	for name, values := range request.Header {
		if hopByHop[name] || isMeshHeader(name) || exposesKey(name, keys, configurations) {
			continue
		}
		for _, value := range values {
			if !exposesKey(value, keys, configurations) {
				clean.Add(name, value)
			}
		}
	}
	request.Header = clean
}

func isMeshHeader(name string) bool {
	return meshHeaders[strings.ReplaceAll(strings.ToLower(name), "_", "-")]
}

// sanitizeQuery keeps only the parameters that may go on to an upstream, to the byte.
func sanitizeQuery(request *Request, keys []string, configurations []*routeconfig.Configuration) {
	if request.RawQuery == "" {
		return
	}
	kept := []string{}
	for _, parameter := range strings.Split(request.RawQuery, "&") {
		if mayKeepParameter(parameter, keys, configurations) {
			kept = append(kept, parameter)
		}
	}
	request.RawQuery = strings.Join(kept, "&")
}

// mayKeepParameter reports whether a parameter is readable and shows no key.
func mayKeepParameter(parameter string, keys []string, configurations []*routeconfig.Configuration) bool {
	rawName, rawValue, _ := strings.Cut(parameter, "=")
	name, nameErr := url.QueryUnescape(rawName)
	value, valueErr := url.QueryUnescape(rawValue)
	if nameErr != nil || valueErr != nil || strings.EqualFold(name, KeyParam) {
		return false
	}
	return !exposesKey(value, keys, configurations) && !exposesKey(name, keys, configurations)
}
