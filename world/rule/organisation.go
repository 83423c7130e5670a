package rule

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/finding"
)

// keyDigestBytes is the length of the digest of a key: half of a SHA-256, as a search for
// a key with a given digest takes 2^128 attempts.
const keyDigestBytes = 16

// KeyDigest returns the digest by which a rules file names an organisation's key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyDigestBytes])
}

// OrganisationLine is the line of one organisation. It is immutable.
type OrganisationLine struct {
	place  finding.Place
	terms  *contract.Organisation
	reason Reason
	text   string
}

// Place returns the line's position in the file.
func (o *OrganisationLine) Place() finding.Place { return o.place }

// Terms returns the terms of the organisation.
func (o *OrganisationLine) Terms() *contract.Organisation { return o.terms }

// Reason returns who requested the line and why.
func (o *OrganisationLine) Reason() Reason { return o.reason }

// String returns the line in canonical form.
func (o *OrganisationLine) String() string { return o.text }

// Organisations returns the lines of all organisations by name.
func (s *Set) Organisations() map[string]*OrganisationLine { return s.organisations }

// Organisation returns the terms of an organisation, or nil.
func (s *Set) Organisation(name string) *contract.Organisation {
	if line := s.organisations[name]; line != nil {
		return line.terms
	}
	return nil
}

// OrganisationOf returns the terms of the organisation that holds a key, or nil.
func (s *Set) OrganisationOf(key string) *contract.Organisation {
	if line := s.byKey[KeyDigest(key)]; line != nil {
		return line.terms
	}
	return nil
}

// NeedsKey reports whether requests that match the rule need the key of an organisation.
func (s *Set) NeedsKey(r *Rule) bool { return len(s.organisations) > 0 && !r.contract.Public() }

type organisationTerm func(v *values) contract.OrganisationOption

var organisationTermByName = map[string]organisationTerm{
	"keys":     func(v *values) contract.OrganisationOption { return contract.WithKeyDigests(v.keyDigests()...) },
	"priority": func(v *values) contract.OrganisationOption { return contract.WithRank(v.count(maxCount)) },
	"rate":     func(v *values) contract.OrganisationOption { return contract.WithOrganisationRate(v.rate()) },
	"burst":    func(v *values) contract.OrganisationOption { return contract.WithOrganisationBurst(v.count(maxBurst)) },
}

// maxBurst is the largest burst of an organisation.
const maxBurst = 1_000_000_000

func (v *values) keyDigests() []string {
	var all []string
	for v.next < len(v.term.Values) {
		digest, _ := v.nextValue("the digest of a key")
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != keyDigestBytes || hex.EncodeToString(raw) != digest {
			v.fail(digest+" is not the digest of a key", fmt.Sprintf("write the first %d digits of its SHA-256, in lower case", 2*keyDigestBytes))
			continue
		}
		all = append(all, digest)
	}
	return all
}

func (p *parser) organisation(n int, node *lineNode, reason Reason) *OrganisationLine {
	opts := readTerms(p, n, node.Terms, organisationTermByName)
	name := unquote(node.Organisation.Name)
	if name == "" {
		p.fail(n, node.Organisation.Pos.Column, "the organisation has no name", "")
	}
	line := &OrganisationLine{
		place: finding.At(p.file, n, node.Organisation.Pos.Column), terms: contract.NewOrganisation(name, opts...),
		reason: reason, text: formatLine(node),
	}
	p.addOrganisation(line)
	return line
}

func (p *parser) addOrganisation(line *OrganisationLine) {
	name := line.terms.Name()
	if old := p.set.organisations[name]; old != nil {
		p.findings.Add(finding.Error, line.place, fmt.Sprintf("organisation %s already has a line", name), "it is at "+old.place.String())
		return
	}
	p.set.organisations[name] = line
	for _, digest := range line.terms.KeyDigests() {
		if old := p.set.byKey[digest]; old != nil && old != line {
			p.findings.Add(finding.Error, line.place, fmt.Sprintf("organisation %s has a key of %s", name, old.terms.Name()), "give each organisation keys of its own")
			continue
		}
		p.set.byKey[digest] = line
	}
}
