package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
)

// submissionWindow is how many submissions are remembered, so that one that is
// sent again gives the first result.
const submissionWindow = 4096

// textWindow is how many versions keep their text for diff and rollback.
const textWindow = 512

type acceptedVersion struct {
	version *wire.Version
	text    string
}

type rulesState struct {
	versions    []acceptedVersion // version n stands at n-1
	submissions map[string]*wire.SubmitResponse
	order       []string // submission ids, oldest first
}

func (r *rulesState) reset() {
	r.versions = nil
	r.submissions = map[string]*wire.SubmitResponse{}
	r.order = nil
}

// submit accepts a rules file if its base is the version in force.
func (r *rulesState) submit(req *wire.SubmitRequest, now int64) *wire.SubmitResponse {
	if first, ok := r.submissions[req.GetSubmissionId()]; ok {
		return first
	}
	response := r.decide(req, now)
	r.remember(req.GetSubmissionId(), response)
	return response
}

func (r *rulesState) decide(req *wire.SubmitRequest, now int64) *wire.SubmitResponse {
	current := uint64(len(r.versions))
	if req.GetBaseVersion() != current {
		winner, text := r.newest()
		return &wire.SubmitResponse{
			Version: winner, WinnerText: text,
			Refusal: fmt.Sprintf("the base is version %d, in force is version %d", req.GetBaseVersion(), current),
		}
	}
	version := &wire.Version{
		Number: current + 1, Digest: Digest(req.GetText()), Author: req.GetAuthor(), Reason: req.GetReason(),
		AcceptedAt: now, SubmissionId: req.GetSubmissionId(), RollbackOf: req.GetRollbackOf(),
	}
	r.versions = append(r.versions, acceptedVersion{version: version, text: req.GetText()})
	r.dropOldText()
	return &wire.SubmitResponse{Accepted: true, Version: version}
}

func (r *rulesState) dropOldText() {
	if old := len(r.versions) - 1 - textWindow; old >= 0 {
		r.versions[old].text = ""
	}
}

func (r *rulesState) remember(id string, response *wire.SubmitResponse) {
	r.submissions[id] = response
	r.order = append(r.order, id)
	if len(r.order) > submissionWindow {
		delete(r.submissions, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *rulesState) newest() (*wire.Version, string) {
	return r.version(uint64(len(r.versions)))
}

func (r *rulesState) version(number uint64) (*wire.Version, string) {
	if number == 0 || number > uint64(len(r.versions)) {
		return nil, ""
	}
	v := r.versions[number-1]
	return v.version, v.text
}

func (r *rulesState) history(limit int) []*wire.Version {
	var all []*wire.Version
	for n := len(r.versions) - 1; n >= 0 && len(all) < limit; n-- {
		all = append(all, r.versions[n].version)
	}
	return all
}

func (r *rulesState) save(s *wire.StateSnapshot) {
	for _, v := range r.versions {
		s.Versions = append(s.Versions, &wire.SnapshotVersion{Version: v.version, Text: v.text})
	}
	for _, id := range r.order {
		s.Submissions = append(s.Submissions, &wire.SnapshotSubmission{Id: id, Response: r.submissions[id]})
	}
}

func (r *rulesState) load(s *wire.StateSnapshot) {
	r.reset()
	for _, v := range s.GetVersions() {
		r.versions = append(r.versions, acceptedVersion{version: v.GetVersion(), text: v.GetText()})
	}
	for _, one := range s.GetSubmissions() {
		r.remember(one.GetId(), one.GetResponse())
	}
}

// Digest returns the digest of a rules text: xxhash64 in hex.
func Digest(text string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}
