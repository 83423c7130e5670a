package report

import (
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

func versionText(number uint64, author string) string {
	return fmt.Sprintf("version %d in force, by %s", number, author)
}

// span returns the time range of the requests that were read.
func (h *History) span() (from, to time.Time) {
	from, to = h.requests[0].at, h.requests[0].at
	for _, r := range h.requests {
		if r.at.Before(from) {
			from = r.at
		}
		if r.at.After(to) {
			to = r.at
		}
	}
	return from, to.Add(time.Nanosecond)
}

// series is one data series of a chart.
type series struct {
	name    string
	values  []point
	scatter bool // drawn as points instead of a line
}

// latencySeries returns percentiles of the response latency in milliseconds.
func (h *History) latencySeries() []series {
	from, to := h.span()
	perBucket := make([][]float64, bucketCount)
	for _, r := range h.requests {
		if r.answered {
			n := bucketIndex(r.at, from, to)
			perBucket[n] = append(perBucket[n], float64(r.latency)/float64(time.Millisecond))
		}
	}
	all := []series{{name: "p50"}, {name: "p99"}, {name: "p99.9"}}
	for n, values := range perBucket {
		if len(values) == 0 {
			continue
		}
		slices.Sort(values)
		at := bucketMiddle(n, from, to)
		for i, q := range []float64{0.5, 0.99, 0.999} {
			all[i].values = append(all[i].values, point{at: at, value: stat.Quantile(q, stat.Empirical, values, nil)})
		}
	}
	return all
}

// rateSeries returns the rates of answers and of other outcomes, per second.
func (h *History) rateSeries() []series {
	from, to := h.span()
	answers, others := make([]float64, bucketCount), make([]float64, bucketCount)
	for _, r := range h.requests {
		n := bucketIndex(r.at, from, to)
		if r.answered {
			answers[n]++
		} else {
			others[n]++
		}
	}
	return []series{perSecond("answers", answers, from, to), perSecond("other outcomes", others, from, to)}
}

// probeSeries returns the rate of probes, per second.
func (h *History) probeSeries() []series {
	from, to := h.span()
	counts := make([]float64, bucketCount)
	for _, at := range h.probes {
		if !at.Before(from) && at.Before(to) {
			counts[bucketIndex(at, from, to)]++
		}
	}
	return []series{perSecond("probes", counts, from, to)}
}

// backlogSeries returns the number of requests present in each bucket, computed
// from their start and end, and the number that each backlog alarm reported
// when it was raised or cleared.
func (h *History) backlogSeries() []series {
	from, to := h.span()
	present := series{name: "requests present"}
	deltas := make([]int, bucketCount+1)
	for _, r := range h.requests {
		deltas[bucketIndex(r.at.Add(-r.latency), from, to)]++
		deltas[bucketIndex(r.at, from, to)+1]--
	}
	n := 0
	for bucket := range bucketCount {
		n += deltas[bucket]
		present.values = append(present.values, point{at: bucketMiddle(bucket, from, to), value: float64(n)})
	}
	return []series{present, {name: "at an alarm", values: h.backlog, scatter: true}}
}

func bucketIndex(at, from, to time.Time) int {
	n := int(int64(bucketCount) * int64(at.Sub(from)) / int64(to.Sub(from)))
	return min(max(n, 0), bucketCount-1)
}

func bucketMiddle(n int, from, to time.Time) time.Time {
	width := to.Sub(from) / bucketCount
	return from.Add(time.Duration(n)*width + width/2)
}

func perSecond(name string, counts []float64, from, to time.Time) series {
	width := to.Sub(from).Seconds() / bucketCount
	s := series{name: name}
	for n, count := range counts {
		s.values = append(s.values, point{at: bucketMiddle(n, from, to), value: count / width})
	}
	return s
}
