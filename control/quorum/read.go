package quorum

// ReadResult is the outcome of a read.
type ReadResult struct {
	id    uint64
	index uint64
	ok    bool
}

// ID returns the number that the read was given.
func (r ReadResult) ID() uint64 { return r.id }

// Index returns the entry that must be applied before the read is answered.
func (r ReadResult) Index() uint64 { return r.index }

// OK reports whether the leader was confirmed by a quorum.
func (r ReadResult) OK() bool { return r.ok }

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// readQueue holds reads until a quorum has answered a heartbeat that was sent
// after they arrived.
type readQueue struct {
	round   uint64
	arrived []uint64
	pending []pendingRead
}

func (q *readQueue) failAll(out *Output) {
	for _, id := range q.arrived {
		out.reads = append(out.reads, ReadResult{id: id})
	}
	for _, read := range q.pending {
		out.reads = append(out.reads, ReadResult{id: read.id})
	}
	q.arrived, q.pending = nil, nil
}

// ReadIndex asks for the index that a current read must have applied. The result
// comes with a later Take.
func (r *Replica) ReadIndex(id uint64) {
	if r.role != Leader {
		r.out.reads = append(r.out.reads, ReadResult{id: id})
		return
	}
	r.reads.arrived = append(r.reads.arrived, id)
}

// startReadRound gives the reads that arrived a heartbeat round. It waits for
// the first commit of the term: before that the commit index may be old.
func (r *Replica) startReadRound() {
	if len(r.reads.arrived) == 0 || !r.committedInTerm() {
		return
	}
	r.reads.round++
	for _, id := range r.reads.arrived {
		r.reads.pending = append(r.reads.pending, pendingRead{id: id, index: r.log.commit, round: r.reads.round})
	}
	r.reads.arrived = nil
	r.requestHeartbeats()
}

func (r *Replica) committedInTerm() bool {
	term, ok := r.log.term(r.log.commit)
	return ok && term == r.term
}

// decide answers the reads whose round a quorum has answered.
func (q *readQueue) decide(r *Replica) {
	for len(q.pending) > 0 {
		read := q.pending[0]
		answered := r.members.isQuorum(func(id string) bool {
			return id == r.id || (r.peers[id] != nil && r.peers[id].round >= read.round)
		})
		if !answered {
			return
		}
		r.out.reads = append(r.out.reads, ReadResult{id: read.id, index: read.index, ok: true})
		q.pending = q.pending[1:]
	}
}
