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

// span returns the time covered by the requests that were read.
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

// series is one line of a chart: a value for each bucket of time.
type series struct {
	name   string
	values []point
	marks  bool // points, not a line
}

// latencySeries returns percentiles of the time to an answer in milliseconds.
func (h *History) latencySeries() []series {
	from, to := h.span()
	perBucket := make([][]float64, buckets)
	for _, r := range h.requests {
		if r.answered {
			n := bucketOf(r.at, from, to)
			perBucket[n] = append(perBucket[n], float64(r.latency)/float64(time.Millisecond))
		}
	}
	all := []series{{name: "p50"}, {name: "p99"}, {name: "p99.9"}}
	for n, values := range perBucket {
		if len(values) == 0 {
			continue
		}
		slices.Sort(values)
		at := middle(n, from, to)
		for i, q := range []float64{0.5, 0.99, 0.999} {
			all[i].values = append(all[i].values, point{at: at, value: stat.Quantile(q, stat.Empirical, values, nil)})
		}
	}
	return all
}

// rateSeries returns answers and other outcomes a second.
func (h *History) rateSeries() []series {
	from, to := h.span()
	answers, others := make([]float64, buckets), make([]float64, buckets)
	for _, r := range h.requests {
		n := bucketOf(r.at, from, to)
		if r.answered {
			answers[n]++
		} else {
			others[n]++
		}
	}
	return []series{perSecond("answers", answers, from, to), perSecond("other outcomes", others, from, to)}
}

// probeSeries returns probes a second.
func (h *History) probeSeries() []series {
	from, to := h.span()
	counts := make([]float64, buckets)
	for _, at := range h.probes {
		if !at.Before(from) && at.Before(to) {
			counts[bucketOf(at, from, to)]++
		}
	}
	return []series{perSecond("probes", counts, from, to)}
}

// backlogSeries returns the requests present at the middle of each bucket, and
// those present when an alarm was raised or cleared.
func (h *History) backlogSeries() []series {
	from, to := h.span()
	present := series{name: "requests present"}
	changes := make([]int, buckets+1)
	for _, r := range h.requests {
		changes[bucketOf(r.at.Add(-r.latency), from, to)]++
		changes[bucketOf(r.at, from, to)+1]--
	}
	n := 0
	for bucket := range buckets {
		n += changes[bucket]
		present.values = append(present.values, point{at: middle(bucket, from, to), value: float64(n)})
	}
	return []series{present, {name: "at an alarm", values: h.backlog, marks: true}}
}

func bucketOf(at, from, to time.Time) int {
	n := int(int64(buckets) * int64(at.Sub(from)) / int64(to.Sub(from)))
	return min(max(n, 0), buckets-1)
}

func middle(n int, from, to time.Time) time.Time {
	width := to.Sub(from) / buckets
	return from.Add(time.Duration(n)*width + width/2)
}

func perSecond(name string, counts []float64, from, to time.Time) series {
	width := to.Sub(from).Seconds() / buckets
	s := series{name: name}
	for n, count := range counts {
		s.values = append(s.values, point{at: middle(n, from, to), value: count / width})
	}
	return s
}
