package routeconfig

import (
	"errors"
	"fmt"
	"strings"
)

// The reasons for which NormalizePath refuses a path.
var (
	errNoLeadingSlash = errors.New("path must begin with /")
	errBadEscape      = errors.New("bad escape")
	errEncodedSlash   = errors.New("encoded slash")
	errControlByte    = errors.New("control byte")
	errUnescapedByte  = errors.New("byte that wants an escape")
	errDotSegment     = errors.New("dot or empty segment")
)

// The bytes that may stand in a path without an escape are those between firstVisible and delete.
const (
	firstVisible   = 0x21
	firstPrintable = 0x20
	deleteByte     = 0x7f
)

// escapeLength is the length of an escape: % and two hex digits.
const escapeLength = 3

// NormalizePath returns the one form of a raw path that routes are matched by: escapes of
// unreserved characters are undone, hex digits are in capitals. Dot segments, empty segments,
// encoded slashes and backslashes, control bytes and bad escapes are refused.
func NormalizePath(raw string) (string, error) {
	if raw == "" || raw[0] != '/' {
		return "", errNoLeadingSlash
	}
	normalized := strings.Builder{}
	for index := 0; index < len(raw); index++ {
		char := raw[index]
		switch {
		case char == '%':
			value, err := decodeEscape(raw[index:])
			if err != nil {
				return "", err
			}
			if isUnreserved(value) {
				normalized.WriteByte(value)
			} else {
				fmt.Fprintf(&normalized, "%%%02X", value)
			}
			index += escapeLength - 1
		case char < firstVisible || char >= deleteByte || char == '\\':
			return "", errUnescapedByte
		default:
			normalized.WriteByte(char)
		}
	}
	if err := checkSegments(normalized.String()); err != nil {
		return "", err
	}
	return normalized.String(), nil
}

// decodeEscape reads the escape that a text begins with.
func decodeEscape(text string) (byte, error) {
	if len(text) < escapeLength {
		return 0, errBadEscape
	}
	high, low := hexDigit(text[1]), hexDigit(text[2])
	if high < 0 || low < 0 {
		return 0, errBadEscape
	}
	value := byte(high<<4 | low)
	switch {
	case value == '/' || value == '\\':
		return 0, errEncodedSlash
	case value < firstPrintable || value == deleteByte:
		return 0, errControlByte
	}
	return value, nil
}

// checkSegments refuses segments that other programs would resolve. The last may be empty.
func checkSegments(path string) error {
	segments := strings.Split(path[1:], "/")
	for index, segment := range segments {
		if segment == "." || segment == ".." || segment == "" && index != len(segments)-1 {
			return errDotSegment
		}
	}
	return nil
}

// hexDigit is the value of a hex digit; -1 for any other letter.
func hexDigit(char byte) int {
	switch {
	case char >= '0' && char <= '9':
		return int(char - '0')
	case char >= 'a' && char <= 'f':
		return int(char-'a') + 10
	case char >= 'A' && char <= 'F':
		return int(char-'A') + 10
	}
	return -1
}

// isUnreserved says that a byte means the same with and without an escape (RFC 3986, 2.3).
func isUnreserved(char byte) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return true
	}
	return char == '-' || char == '.' || char == '_' || char == '~'
}
