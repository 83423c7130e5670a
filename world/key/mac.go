package key

import (
	"crypto/hmac"
	"crypto/sha256"
)

// MACBytes is the length of a message authentication code.
const MACBytes = 16

// MAC returns the code of a message under the first key, zeros without keys.
func (r *Ring) MAC(message []byte) []byte {
	if r.Empty() {
		return make([]byte, MACBytes)
	}
	return mac(r.keys[0], message)
}

// VerifyMAC reports whether a code is that of one of the keys. Without keys
// every message is authentic.
func (r *Ring) VerifyMAC(message, code []byte) bool {
	if r.Empty() {
		return true
	}
	accepted := false
	for _, k := range r.keys {
		accepted = hmac.Equal(mac(k, message), code) || accepted
	}
	return accepted
}

func mac(k string, message []byte) []byte {
	hash := hmac.New(sha256.New, []byte(k))
	hash.Write(message)
	return hash.Sum(nil)[:MACBytes]
}
