package state

import (
	"strings"
)

// maxNames bounds the distinct strings that are shared.
const maxNames = 4096

// names lets claims share the few strings that most of them repeat: services,
// callers and holders.
type names map[string]string

func (n names) one(s string) string {
	if known, ok := n[s]; ok {
		return known
	}
	if len(n) >= maxNames {
		clear(n)
	}
	own := strings.Clone(s)
	n[own] = own
	return own
}

func (n names) key(k claimKey) claimKey {
	return claimKey{service: n.one(k.service), caller: n.one(k.caller), idempotencyKey: k.idempotencyKey}
}

// compareAll compares pairs of strings, the first pair that differs decides.
func compareAll(pairs ...string) int {
	for n := 0; n+1 < len(pairs); n += 2 {
		if c := strings.Compare(pairs[n], pairs[n+1]); c != 0 {
			return c
		}
	}
	return 0
}
