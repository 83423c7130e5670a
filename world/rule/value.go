package rule

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// values parses the values of one term from left to right.
type values struct {
	parser *parser
	line   int
	term   *termNode
	next   int
}

func (v *values) fail(text, hint string) {
	column := v.term.Pos.Column
	if v.next > 0 && v.next <= len(v.term.Values) {
		column = v.term.Values[v.next-1].Pos.Column
	}
	v.parser.fail(v.line, column, fmt.Sprintf("%s: %s", v.term.Name, text), hint)
}

func (v *values) nextValue(what string) (string, bool) {
	if v.next >= len(v.term.Values) {
		v.next = len(v.term.Values)
		v.fail("needs "+what, "")
		return "", false
	}
	v.next++
	return unquote(v.term.Values[v.next-1].Text), true
}

func (v *values) expectEnd() {
	if v.next < len(v.term.Values) {
		v.next++
		v.fail("has a value too many: "+v.term.Values[v.next-1].Text, "separate terms with a comma")
	}
}

func (v *values) name() string {
	text, ok := v.nextValue("a name")
	if ok && text == "" {
		v.fail("the name is empty", "")
	}
	return text
}

func (v *values) optionalName(otherwise string) string {
	if v.next >= len(v.term.Values) {
		return otherwise
	}
	return v.name()
}

func (v *values) keyword(want string) {
	if text, ok := v.nextValue(want); ok && text != want {
		v.fail(fmt.Sprintf("has %s where %s belongs", text, want), "")
	}
}

func (v *values) choice(options ...string) int {
	text, ok := v.nextValue("one of " + strings.Join(options, ", "))
	if !ok {
		return 0
	}
	for n, option := range options {
		if text == option {
			return n
		}
	}
	v.fail(text+" is none of "+strings.Join(options, ", "), nearestHint(text, options))
	return 0
}

func (v *values) duration(limit time.Duration) time.Duration {
	text, ok := v.nextValue("a time such as 300ms")
	if !ok {
		return limit
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		v.fail(text+" has no unit", "write "+text+"ms or "+text+"s")
		return limit
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		v.fail(text+" is not a time", "write it as 300ms, 2s or 10m")
		return limit
	}
	if d > limit {
		v.fail(text+" is over the most, "+limit.String(), "")
		return limit
	}
	return d
}

func (v *values) count(limit int) int {
	text, ok := v.nextValue("a number")
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > limit {
		v.fail(fmt.Sprintf("%s is not a whole number from 0 to %d", text, limit), "")
		return 0
	}
	return n
}

func (v *values) percent() float64 {
	text, ok := v.nextValue("a share such as 1%")
	if !ok {
		return 0
	}
	number, found := strings.CutSuffix(text, "%")
	if !found {
		v.fail(text+" has no unit", "write "+text+"%")
		return 0
	}
	share, err := strconv.ParseFloat(number, 64)
	if err != nil || share < 0 || share > 100 || math.IsNaN(share) {
		v.fail(text+" is not a share from 0% to 100%", "")
		return 0
	}
	return share / 100
}

func (v *values) rate() float64 {
	text, ok := v.nextValue("a rate such as 50/s")
	if !ok {
		return 0
	}
	number, found := strings.CutSuffix(text, "/s")
	if !found {
		v.fail(text+" has no unit", "write "+text+"/s")
		return 0
	}
	r, err := strconv.ParseFloat(number, 64)
	if err != nil || !(r > 0) || math.IsInf(r, 0) { // NaN too
		v.fail(text+" is not a rate", "write it as 50/s")
		return 0
	}
	return r
}

var byteUnits = []struct {
	suffix string
	factor int64
}{{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

func (v *values) bytes() int64 {
	text, ok := v.nextValue("a size such as 20MB")
	if !ok {
		return 0
	}
	for _, unit := range byteUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 32)
		if err != nil || n <= 0 {
			v.fail(text+" is not a size", "write it as 20MB")
			return 0
		}
		return n * unit.factor
	}
	v.fail(text+" has no unit", "write "+text+"KB, "+text+"MB or "+text+"GB")
	return 0
}
