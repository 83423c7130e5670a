package rule

import (
	"net/url"
	"strings"
)

// pathSegments splits the escaped path of a request into decoded segments.
// Repeated slashes count as one, as in most servers. It returns false for a path
// that servers interpret differently: one with a segment "." or "..", however
// encoded, a backslash, or a NUL. Such a path matches no rule; otherwise it could
// reach a handler that another rule protects.
//
// The segments are appended to the given slice, which may be on the stack of the
// calling function.
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
		if err != nil || isAmbiguous(decoded) {
			return "", false
		}
		segment = decoded
	}
	if segment == "." || segment == ".." || strings.IndexByte(segment, '\\') >= 0 {
		return "", false
	}
	// A server may drop parameters after a semicolon before it resolves "..".
	name, _, parameters := strings.Cut(segment, ";")
	return segment, !parameters || name != "." && name != ".."
}

// isAmbiguous reports whether a decoded segment contains what a server may
// interpret as a separator or as the end of the path, or is a double encoding of
// a separator.
func isAmbiguous(segment string) bool {
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
