package quorum

// HasQuorum reports whether the replica is in contact with a quorum: as the leader,
// which steps down otherwise, or through a leader that was active within the
// election timeout.
func (r *Replica) HasQuorum() bool { return r.role == Leader || r.hasActiveLeader() }

// IsVoter reports whether the newest membership has the replica as a voter.
func (r *Replica) IsVoter() bool { return r.members.isVoter(r.id) }

// IsMember reports whether the newest membership contains the replica.
func (r *Replica) IsMember() bool { return r.members.member(r.id) != nil }
