package quorum

// HasQuorum reports whether the replica has lately heard a quorum's word: as
// a leader from a quorum itself, otherwise from a leader.
func (r *Replica) HasQuorum() bool { return r.role == Leader || r.leaderHeard() }

// IsVoter reports whether the replica may vote and lead.
func (r *Replica) IsVoter() bool { return r.members.isVoter(r.id) }

// IsMember reports whether the newest membership holds the replica.
func (r *Replica) IsMember() bool { return r.members.member(r.id) != nil }
