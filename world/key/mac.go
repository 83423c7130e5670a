package key

import (
	"crypto/hmac"
	"crypto/sha256"
)

// MACBytes is the length of a message authentication code, an HMAC-SHA256
// truncated to 128 bits.
const MACBytes = 16

// MAC returns the authentication code of a message under the first key. A ring
// without keys returns zeros.
func (r *Ring) MAC(message []byte) []byte {
	if r.Empty() {
		return make([]byte, MACBytes)
	}
	return mac(r.keys[0], message)
}

// VerifyMAC reports whether a code is valid for the message under one of the
// keys. A ring without keys accepts every message.
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
