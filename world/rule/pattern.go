package rule

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// Wildcards of a path pattern.
const (
	anySegments   = "**" // as the last segment: matches any number of further segments
	anyCharacters = "*"  // within a segment: matches any characters
)

// pattern is a path pattern of a rule. The zero value matches every path.
type pattern struct {
	given     bool
	anySuffix bool          // ends in anySegments
	segments  []patternPart // without the trailing anySegments
}

// patternPart is one segment of a pattern.
type patternPart struct {
	text     string // decoded
	wildcard bool   // contains anyCharacters
}

// parsePattern parses the text of a pattern in a rules file.
func parsePattern(text string) (pattern, error) {
	if text == "" {
		return pattern{}, nil
	}
	if strings.ContainsAny(text, "?;") {
		return pattern{}, errors.New("a pattern contains only a path, no query or parameters")
	}
	p := pattern{given: true}
	parts := strings.Split(text[1:], "/")
	if parts[len(parts)-1] == anySegments {
		p.anySuffix = true
		parts = parts[:len(parts)-1]
	}
	for n, part := range parts {
		segment, err := patternSegment(part, n == len(parts)-1 && !p.anySuffix)
		if err != nil {
			return pattern{}, err
		}
		p.segments = append(p.segments, patternPart{text: segment, wildcard: strings.Contains(segment, anyCharacters)})
	}
	return p, nil
}

func patternSegment(part string, last bool) (string, error) {
	segment, err := url.PathUnescape(part)
	switch {
	case err != nil:
		return "", errors.Errorf("%s contains a %% that is no encoding", part)
	case strings.Contains(segment, anySegments):
		return "", errors.New("** is allowed only as the whole last segment")
	case segment == "." || segment == "..":
		return "", errors.Errorf("no request matches a segment %s", segment)
	case segment == "" && !last:
		return "", errors.New("no request matches an empty segment")
	case strings.ContainsAny(segment, "/\\\x00"):
		return "", errors.New("an encoded slash, backslash or NUL cannot be matched")
	}
	return segment, nil
}

// matches reports whether the pattern matches the segments of a request's path.
func (p pattern) matches(segments []string) bool {
	if !p.given {
		return true
	}
	if segments == nil {
		return false // OPTIONS *
	}
	if p.anySuffix {
		if len(segments) < len(p.segments) {
			return false
		}
		segments = segments[:len(p.segments)]
	}
	if len(segments) != len(p.segments) {
		return false
	}
	for n, want := range p.segments {
		if !want.matches(segments[n]) {
			return false
		}
	}
	return true
}

func (p patternPart) matches(segment string) bool {
	if !p.wildcard {
		return p.text == segment
	}
	return matchSegment(p.text, segment)
}

// matchSegment matches one segment. A pattern of wildcards alone does not
// match an empty segment, so that /x/* is not the same as /x/.
func matchSegment(want, segment string) bool {
	head, rest, wild := strings.Cut(want, anyCharacters)
	if !wild {
		return want == segment
	}
	if segment == "" || !strings.HasPrefix(segment, head) {
		return false
	}
	segment = segment[len(head):]
	for {
		middle, next, more := strings.Cut(rest, anyCharacters)
		if !more {
			return strings.HasSuffix(segment, rest)
		}
		at := strings.Index(segment, middle)
		if at < 0 {
			return false
		}
		segment = segment[at+len(middle):]
		rest = next
	}
}

// covers reports whether this pattern matches every path that the other one
// matches. It may return false for such a pair, but never returns true wrongly.
func (p pattern) covers(other pattern) bool {
	if !p.given {
		return true
	}
	if !other.given || other.anySuffix && !p.anySuffix || len(other.segments) < len(p.segments) {
		return false
	}
	if !p.anySuffix && len(other.segments) != len(p.segments) {
		return false
	}
	for n, want := range p.segments {
		if !segmentCovers(want.text, other.segments[n].text) {
			return false
		}
	}
	return true
}

func segmentCovers(want, other string) bool {
	if want == other {
		return true
	}
	if want == anyCharacters {
		return other != ""
	}
	return !strings.Contains(other, anyCharacters) && matchSegment(want, other)
}

// equal reports whether the patterns cover each other.
func (p pattern) equal(other pattern) bool { return p.covers(other) && other.covers(p) }
