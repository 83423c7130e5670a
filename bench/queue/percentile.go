package queue

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

const quantile99 = 0.99

func percentile99(all []time.Duration) time.Duration {
	values := make([]float64, len(all))
	for n, d := range all {
		values[n] = float64(d)
	}
	slices.Sort(values)
	return time.Duration(stat.Quantile(quantile99, stat.Empirical, values, nil))
}
