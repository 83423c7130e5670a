package intake

import "testing"

// What the budget costs a request: one read of its head, its begin and its end.
func BenchmarkRequest(b *testing.B) {
	budget := NewBudget(1<<30, 10_000)
	for range 1000 {
		budget.open(connBytes, func() {})
	}
	b.RunParallel(func(pb *testing.PB) {
		a := budget.open(connBytes, func() {})
		for pb.Next() {
			_ = budget.charge(a, 8<<10)
			budget.begin(a)
			_ = budget.charge(a, 64<<10)
			budget.end(a, 0)
		}
	})
}
