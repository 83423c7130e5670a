package state

import (
	"slices"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Frozen is the state at one moment. It may be encoded while the machine goes
// on.
type Frozen struct {
	head     *wire.StateSnapshot
	claims   []claim
	releases []release
}

// Freeze copies what changes; texts and answers are shared, they never change.
func (m *Machine) Freeze() *Frozen {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f := &Frozen{head: &wire.StateSnapshot{Clock: m.clock}}
	m.rules.save(f.head)
	m.instances.save(f.head)
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

// Encode returns the snapshot's bytes: the same state gives the same bytes.
func (f *Frozen) Encode() ([]byte, error) {
	slices.SortFunc(f.claims, func(a, b claim) int { return a.key.compare(b.key) })
	slices.SortFunc(f.releases, func(a, b release) int {
		if c := a.key.compare(b.key); c != 0 {
			return c
		}
		return compareAll(a.claimID, b.claimID)
	})
	options := proto.MarshalOptions{Deterministic: true}
	data, err := options.Marshal(f.head)
	// The claims follow one by one: as one message they would take twice the
	// memory for as long as they are encoded.
	for n := range f.claims {
		if data, err = appendMessage(data, snapshotClaims, f.claims[n].snapshot(), err); err != nil {
			break
		}
	}
	for _, r := range f.releases {
		one := &wire.SnapshotRelease{Key: r.key.message(), ClaimId: r.claimID, ExpiresAt: r.expiresAt}
		if data, err = appendMessage(data, snapshotReleases, one, err); err != nil {
			break
		}
	}
	return data, errors.Wrap(err, "encode state")
}

// Numbers of the repeated fields of a StateSnapshot.
const (
	snapshotClaims   = 3
	snapshotReleases = 6
)

// appendMessage appends one element of a repeated field, unless an earlier one
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
			Key: c.key.message(), Holder: c.holder, ClaimId: c.claimID, Fingerprint: []byte(c.fingerprint),
		},
		ClaimedAt: c.claimedAt, ExpiresAt: c.expiresAt, State: string(c.state), Answer: c.answer,
	}
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) { return m.Freeze().Encode() }

// Restore replaces the state by a snapshot. A snapshot that cannot be read
// leaves the state as it was.
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
	if err := next.rules.load(s); err != nil {
		return err
	}
	if err := next.claims.load(s); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.announce(m.mark())
	m.clock = s.GetClock()
	m.rules, m.claims, m.instances = next.rules, next.claims, next.instances
	return nil
}

func (s *claimsState) load(in *wire.StateSnapshot) error {
	for _, one := range in.GetClaims() {
		req := one.GetRequest()
		c := &claim{
			key: s.names.key(keyOf(req.GetKey())), holder: s.names.one(req.GetHolder()), claimID: req.GetClaimId(),
			fingerprint: string(req.GetFingerprint()), claimedAt: one.GetClaimedAt(), expiresAt: one.GetExpiresAt(),
			state: claimState(one.GetState()), answer: one.GetAnswer(),
		}
		if c.state != held && c.state != completed && c.state != unknown {
			return errors.Errorf("a claim has the unknown state %q", one.GetState())
		}
		if _, twice := s.byKey[c.key]; twice {
			return errors.Errorf("the claim on %s %s %s stands twice", c.key.service, c.key.caller, c.key.idempotencyKey)
		}
		s.add(c)
	}
	for _, one := range in.GetReleases() {
		s.releases.add(&release{key: keyOf(one.GetKey()), claimID: one.GetClaimId(), expiresAt: one.GetExpiresAt()})
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
		one := r.submissions[id]
		s.Submissions = append(s.Submissions, &wire.SnapshotSubmission{Id: id, Response: one.response, Digest: one.digest})
	}
}

func (r *rulesState) load(s *wire.StateSnapshot) error {
	for n, v := range s.GetVersions() {
		if n > 0 && v.GetVersion().GetNumber() <= r.newestNumber() {
			return errors.Errorf("version %d follows version %d", v.GetVersion().GetNumber(), r.newestNumber())
		}
		if v.GetVersion().GetNumber() == 0 {
			return errors.New("a version has no number")
		}
		r.versions = append(r.versions, acceptedVersion{version: v.GetVersion(), text: v.GetText()})
		r.textBytes += len(v.GetText())
		r.document = v.GetDocument()
	}
	for _, one := range s.GetSubmissions() {
		r.remember(one.GetId(), submission{digest: one.GetDigest(), response: one.GetResponse()})
	}
	return nil
}
