package state

// release records a claim id that its holder gave up and that must not be granted.
type release struct {
	key         claimKey
	claimID     string
	expiresAt   int64
	bucketIndex int
}

func (r *release) bytes() int { return claimOverheadBytes + r.key.bytes() + len(r.claimID) }

type releaseKey struct {
	key     claimKey
	claimID string
}

// releases holds the released claim ids for as long as a claim request may be in
// flight.
type releases struct {
	byKey  map[releaseKey]*release
	expiry expiryQueue[*release]
	bytes  int
}

func (s *releases) reset() {
	*s = releases{
		byKey:  map[releaseKey]*release{},
		expiry: newExpiryQueue(func(r *release, index int) { r.bucketIndex = index }),
	}
}

func (s *releases) has(key claimKey, claimID string) bool {
	_, ok := s.byKey[releaseKey{key: key, claimID: claimID}]
	return ok
}

func (s *releases) add(r *release) {
	if s.has(r.key, r.claimID) {
		return
	}
	s.byKey[releaseKey{key: r.key, claimID: r.claimID}] = r
	s.bytes += r.bytes()
	s.expiry.add(r, r.expiresAt)
}

func (s *releases) expire(clock int64) {
	s.expiry.expire(clock, func(r *release) {
		delete(s.byKey, releaseKey{key: r.key, claimID: r.claimID})
		s.bytes -= r.bytes()
	})
}
