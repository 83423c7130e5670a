package state

import (
	"strings"
)

// maxInterned limits the number of interned strings.
const maxInterned = 4096

// interner deduplicates the strings that most claims have in common: services,
// callers and holders.
type interner map[string]string

func (n interner) intern(s string) string {
	if interned, ok := n[s]; ok {
		return interned
	}
	if len(n) >= maxInterned {
		clear(n)
	}
	interned := strings.Clone(s)
	n[interned] = interned
	return interned
}

func (n interner) internKey(k claimKey) claimKey {
	return claimKey{service: n.intern(k.service), caller: n.intern(k.caller), idempotencyKey: k.idempotencyKey}
}

// comparePairs compares pairs of strings and returns the result of the first pair
// that differs.
func comparePairs(pairs ...string) int {
	for n := 0; n+1 < len(pairs); n += 2 {
		if c := strings.Compare(pairs[n], pairs[n+1]); c != 0 {
			return c
		}
	}
	return 0
}
