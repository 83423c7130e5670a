package rule

import (
	"net/url"
	"strings"
)

// pathSegments splits the escaped path of a request into decoded segments.
// Repeated slashes count as one, as most servers take them. It returns false
// for a path that servers read in different ways: one with a segment "." or
// "..", however it is encoded, a backslash, or a NUL. Such a path falls under
// no rule, lest it reach a handler that another rule protects.
//
// The segments are appended to the given slice, so that the caller can keep
// them on its stack.
func pathSegments(escaped string, segments []string) ([]string, bool) {
	if escaped == "" || escaped == "*" {
		return nil, true
	}
	if escaped[0] != '/' {
		return nil, false
	}
	for rest, more := escaped[1:], true; more; {
		var part string
		part, rest, more = strings.Cut(rest, "/")
		segment, ok := decodeSegment(part)
		if !ok {
			return nil, false
		}
		if segment != "" || !more {
			segments = append(segments, segment)
		}
	}
	return segments, true
}

func decodeSegment(part string) (string, bool) {
	segment := part
	if strings.IndexByte(part, '%') >= 0 {
		decoded, err := url.PathUnescape(part)
		if err != nil || ambiguous(decoded) {
			return "", false
		}
		segment = decoded
	}
	if segment == "." || segment == ".." || strings.IndexByte(segment, '\\') >= 0 {
		return "", false
	}
	// A server may drop what follows a semicolon before it resolves "..".
	name, _, parameters := strings.Cut(segment, ";")
	return segment, !parameters || name != "." && name != ".."
}

// ambiguous reports whether a decoded segment holds what a server may take for
// a separator or an end, or is itself still an encoding of one.
func ambiguous(segment string) bool {
	if strings.ContainsAny(segment, "\\\x00") {
		return true
	}
	for part := range strings.SplitSeq(segment, "/") {
		if part == "." || part == ".." {
			return true
		}
	}
	lower := strings.ToLower(segment)
	return strings.Contains(lower, "%2e%2e") || strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c")
}
