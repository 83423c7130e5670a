package quorum

// ReadResult is the result of a ReadIndex request.
type ReadResult struct {
	id    uint64
	index uint64
	ok    bool
}

// ID returns the identifier passed to ReadIndex.
func (r ReadResult) ID() uint64 { return r.id }

// Index returns the read index: the entry that must be applied before the read is
// served.
func (r ReadResult) Index() uint64 { return r.index }

// OK reports whether a quorum confirmed the leader. If not, the read must not be
// served.
func (r ReadResult) OK() bool { return r.ok }

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// readQueue holds read requests until a quorum has answered a heartbeat that was
// sent after they were received.
type readQueue struct {
	round   uint64
	queued  []uint64
	pending []pendingRead
}

func (q *readQueue) failAll(out *Output) {
	for _, id := range q.queued {
		out.reads = append(out.reads, ReadResult{id: id})
	}
	for _, read := range q.pending {
		out.reads = append(out.reads, ReadResult{id: read.id})
	}
	q.queued, q.pending = nil, nil
}

// ReadIndex requests the read index for a linearizable read. The result is returned
// by a later Take; on a replica that is not the leader it is a failure.
func (r *Replica) ReadIndex(id uint64) {
	if r.role != Leader {
		r.out.reads = append(r.out.reads, ReadResult{id: id})
		return
	}
	r.reads.queued = append(r.reads.queued, id)
}

// startReadRound assigns the queued reads to a new heartbeat round. It waits until
// an entry of the current term is committed: until then the local commit index may
// be behind that of the previous leader.
func (r *Replica) startReadRound() {
	if len(r.reads.queued) == 0 || !r.committedInTerm() {
		return
	}
	r.reads.round++
	for _, id := range r.reads.queued {
		r.reads.pending = append(r.reads.pending, pendingRead{id: id, index: r.log.commit, round: r.reads.round})
	}
	r.reads.queued = nil
	r.scheduleHeartbeats()
}

func (r *Replica) committedInTerm() bool {
	term, ok := r.log.term(r.log.commit)
	return ok && term == r.term
}

// confirm completes the reads whose heartbeat round a quorum has answered.
func (q *readQueue) confirm(r *Replica) {
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
