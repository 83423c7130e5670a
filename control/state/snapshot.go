package state

import (
	"slices"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Frozen is a point-in-time copy of the state. It can be encoded while the machine
// applies further commands.
type Frozen struct {
	head     *wire.StateSnapshot
	claims   []claim
	releases []release
}

// Freeze returns a copy of the state. Texts and answers are immutable and shared
// with the machine.
func (m *Machine) Freeze() *Frozen {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f := &Frozen{head: &wire.StateSnapshot{Clock: m.clock}}
	m.rules.save(f.head)
	m.instances.save(f.head)
	m.evacuations.save(f.head)
	f.claims = make([]claim, 0, len(m.claims.byKey))
	for _, c := range m.claims.byKey {
		f.claims = append(f.claims, *c)
	}
	f.releases = make([]release, 0, len(m.claims.releases.byKey))
	for _, r := range m.claims.releases.byKey {
		f.releases = append(f.releases, *r)
	}
	return f
}

// Encode returns the encoded snapshot. The encoding is deterministic.
func (f *Frozen) Encode() ([]byte, error) {
	slices.SortFunc(f.claims, func(a, b claim) int { return a.key.compare(b.key) })
	slices.SortFunc(f.releases, func(a, b release) int {
		if c := a.key.compare(b.key); c != 0 {
			return c
		}
		return comparePairs(a.claimID, b.claimID)
	})
	options := proto.MarshalOptions{Deterministic: true}
	data, err := options.Marshal(f.head)
	// Claims are appended one by one: as part of a single message they would take
	// twice the memory during encoding.
	for n := range f.claims {
		if data, err = appendMessage(data, snapshotClaims, f.claims[n].snapshot(), err); err != nil {
			break
		}
	}
	for _, r := range f.releases {
		m := &wire.SnapshotRelease{Key: r.key.toProto(), ClaimId: r.claimID, ExpiresAt: r.expiresAt}
		if data, err = appendMessage(data, snapshotReleases, m, err); err != nil {
			break
		}
	}
	return data, errors.Wrap(err, "encode state")
}

// Field numbers of the repeated fields of a StateSnapshot.
const (
	snapshotClaims   = 3
	snapshotReleases = 6
)

// appendMessage appends one element of a repeated field, unless a previous element
// failed.
func appendMessage(data []byte, field protowire.Number, m proto.Message, failed error) ([]byte, error) {
	if failed != nil {
		return nil, failed
	}
	options := proto.MarshalOptions{Deterministic: true}
	data = protowire.AppendTag(data, field, protowire.BytesType)
	data = protowire.AppendVarint(data, uint64(options.Size(m)))
	return options.MarshalAppend(data, m)
}

func (c *claim) snapshot() *wire.SnapshotClaim {
	return &wire.SnapshotClaim{
		Request: &wire.ClaimRequest{
			Key: c.key.toProto(), Holder: c.holder, ClaimId: c.claimID, Fingerprint: []byte(c.fingerprint),
		},
		ClaimedAt: c.claimedAt, ExpiresAt: c.expiresAt, State: string(c.state), Answer: c.answer,
	}
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) { return m.Freeze().Encode() }

// Restore replaces the state with an encoded snapshot. If the snapshot is invalid,
// the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	s := &wire.StateSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return errors.Wrap(err, "decode state")
	}
	var next Machine
	next.rules.reset()
	next.claims.reset()
	next.instances.reset()
	next.instances.load(s)
	next.evacuations.reset()
	next.evacuations.load(s)
	if err := next.rules.load(s); err != nil {
		return err
	}
	if err := next.claims.load(s); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.notifyWatchers(m.watchRevision())
	m.clock = s.GetClock()
	m.rules, m.claims, m.instances, m.evacuations = next.rules, next.claims, next.instances, next.evacuations
	return nil
}

func (s *claimsState) load(in *wire.StateSnapshot) error {
	for _, saved := range in.GetClaims() {
		req := saved.GetRequest()
		c := &claim{
			key: s.strings.internKey(keyFromProto(req.GetKey())), holder: s.strings.intern(req.GetHolder()), claimID: req.GetClaimId(),
			fingerprint: string(req.GetFingerprint()), claimedAt: saved.GetClaimedAt(), expiresAt: saved.GetExpiresAt(),
			state: claimState(saved.GetState()), answer: saved.GetAnswer(),
		}
		if c.state != held && c.state != completed && c.state != unknown {
			return errors.Errorf("snapshot has a claim in invalid state %q", saved.GetState())
		}
		if _, duplicate := s.byKey[c.key]; duplicate {
			return errors.Errorf("snapshot has a duplicate claim on %s %s %s", c.key.service, c.key.caller, c.key.idempotencyKey)
		}
		s.add(c)
	}
	for _, saved := range in.GetReleases() {
		s.releases.add(&release{key: keyFromProto(saved.GetKey()), claimID: saved.GetClaimId(), expiresAt: saved.GetExpiresAt()})
	}
	return nil
}

func (r *rulesState) save(s *wire.StateSnapshot) {
	for _, v := range r.versions {
		s.Versions = append(s.Versions, &wire.SnapshotVersion{Version: v.version, Text: v.text})
	}
	if n := len(s.Versions); n > 0 {
		s.Versions[n-1].Document = r.document
	}
	for _, id := range r.order {
		saved := r.submissions[id]
		s.Submissions = append(s.Submissions, &wire.SnapshotSubmission{Id: id, Response: saved.response, Digest: saved.digest})
	}
}

func (r *rulesState) load(s *wire.StateSnapshot) error {
	for n, v := range s.GetVersions() {
		if n > 0 && v.GetVersion().GetNumber() <= r.newestNumber() {
			return errors.Errorf("snapshot has version %d after version %d", v.GetVersion().GetNumber(), r.newestNumber())
		}
		if v.GetVersion().GetNumber() == 0 {
			return errors.New("snapshot has a version without a number")
		}
		r.versions = append(r.versions, acceptedVersion{version: v.GetVersion(), text: v.GetText()})
		r.textBytes += len(v.GetText())
		r.document = v.GetDocument()
	}
	for _, saved := range s.GetSubmissions() {
		r.recordSubmission(saved.GetId(), submission{digest: saved.GetDigest(), response: saved.GetResponse()})
	}
	return nil
}
