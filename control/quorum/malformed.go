package quorum

import "github.com/snipebeam/snipebeam/world/wire"

// wellFormed reports whether a message can come from a correct replica of the group. Others
// are ignored: a replica that ends at one ends again each time it is repeated.
func (r *Replica) wellFormed(m *wire.QuorumMessage) bool {
	switch m.GetKind() {
	case wire.QuorumKind_QUORUM_APPEND:
		return r.wellFormedEntries(m)
	case wire.QuorumKind_QUORUM_APPEND_ANSWER:
		return r.role != Leader || m.GetReject() || m.GetIndex() <= r.log.lastIndex()
	case wire.QuorumKind_QUORUM_SNAPSHOT:
		s := m.GetSnapshot()
		return s == nil || s.GetTerm() <= m.GetTerm() && len(s.GetMembers().GetMembers()) > 0
	}
	return true
}

// wellFormedEntries reports whether the entries of an append follow each other and the index
// of the message, and leave committed ones as they are.
func (r *Replica) wellFormedEntries(m *wire.QuorumMessage) bool {
	index, term := m.GetIndex(), m.GetLogTerm()
	for _, e := range m.GetEntries() {
		index++
		if e.GetIndex() != index || e.GetTerm() < term || e.GetTerm() > m.GetTerm() {
			return false
		}
		if e.GetKind() == wire.EntryKind_ENTRY_MEMBERS && len(e.GetMembers().GetMembers()) == 0 {
			return false
		}
		if local, known := r.log.term(index); known && index <= r.log.commit && local != e.GetTerm() {
			return false
		}
		term = e.GetTerm()
	}
	return true
}
