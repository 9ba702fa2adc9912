package routeconfig

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of NormalizePath.
var (
	errNoLeadingSlash = errors.New("path must begin with /")
	errBadEscape      = errors.New("path contains an invalid percent-encoding")
	errEncodedSlash   = errors.New("path contains an encoded slash or backslash")
	errControlByte    = errors.New("path contains an encoded control byte")
	errUnescapedByte  = errors.New("path contains a byte that must be percent-encoded")
	errDotSegment     = errors.New("path contains a dot segment or an empty segment")
)

// Bytes from firstVisible up to but excluding deleteByte may occur in a path without percent-encoding. Bytes
// below firstPrintable are control bytes.
const (
	firstVisible   = 0x21
	firstPrintable = 0x20
	deleteByte     = 0x7f
)

// escapeLength is the length of a percent-encoded byte: % and two hex digits.
const escapeLength = 3

// NormalizePath returns the form of a raw path that is matched against routes: percent-encoded unreserved
// characters are decoded, and the hex digits of the others are in upper case. It refuses dot segments, empty
// segments except the last, encoded slashes and backslashes, control bytes and invalid percent-encodings.
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

// decodeEscape decodes the percent-encoded byte at the start of a text.
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

// checkSegments refuses segments that other programs would resolve: "." and "..", and empty segments before
// the last.
func checkSegments(path string) error {
	segments := strings.Split(path[1:], "/")
	for index, segment := range segments {
		if segment == "." || segment == ".." || segment == "" && index != len(segments)-1 {
			return errDotSegment
		}
	}
	return nil
}

// hexDigit returns the value of a hex digit; -1 for any other byte.
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

// isUnreserved reports whether a byte means the same with and without percent-encoding (RFC 3986, section 2.3).
func isUnreserved(char byte) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return true
	}
	return char == '-' || char == '.' || char == '_' || char == '~'
}
