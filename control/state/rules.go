package state

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Limits on the history of the rules.
const (
	// submissionWindow is the number of submission results that are kept, so
	// that a retried submission returns its first result.
	submissionWindow = 16_384
	// maxVersions is the number of versions whose author, time, reason and digest
	// are kept.
	maxVersions = 65_536
	// maxTextBytes limits the size of the texts that are kept for diff and
	// rollback. The text of the version in force is always kept.
	maxTextBytes = 16 << 20
)

type acceptedVersion struct {
	version *wire.Version
	text    string
}

// submission is the result of a submission, kept for retries.
type submission struct {
	digest   uint64 // of the whole request
	response *wire.SubmitResponse
}

type rulesState struct {
	versions    []acceptedVersion // in ascending order of their numbers
	document    []byte            // source of the newest text, if it was translated
	textBytes   int
	oldestText  int // index in versions; the texts before it were dropped
	submissions map[string]submission
	order       []string // submission ids, oldest first
}

func (r *rulesState) reset() {
	*r = rulesState{submissions: map[string]submission{}}
}

// submit accepts a rules file if it is based on the version in force. A retried
// submission returns its first result.
func (r *rulesState) submit(req *wire.SubmitRequest, now int64) *wire.SubmitResponse {
	if req.GetNumber() > 0 {
		return r.submitNumbered(req, now)
	}
	digest := requestDigest(req)
	if first, ok := r.submissions[req.GetSubmissionId()]; ok {
		if first.digest != digest {
			return &wire.SubmitResponse{Refusal: "the submission id was used for another submission"}
		}
		return r.withWinner(first.response)
	}
	response := r.decide(req, now)
	r.recordSubmission(req.GetSubmissionId(), submission{digest: digest, response: response})
	return r.withWinner(response)
}

func requestDigest(req *wire.SubmitRequest) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%d %d %q %q ", req.GetBaseVersion(), req.GetRollbackOf(), req.GetAuthor(), req.GetReason())
	_, _ = d.WriteString(req.GetText())
	return d.Sum64()
}

// withWinner adds the text of the accepted version to a refusal. It is looked up
// for each response, as the version's text may have been dropped.
func (r *rulesState) withWinner(response *wire.SubmitResponse) *wire.SubmitResponse {
	if response.GetAccepted() || response.GetVersion() == nil {
		return response
	}
	_, text := r.version(response.GetVersion().GetNumber())
	return &wire.SubmitResponse{Version: response.GetVersion(), Refusal: response.GetRefusal(), WinnerText: text}
}

func (r *rulesState) decide(req *wire.SubmitRequest, now int64) *wire.SubmitResponse {
	current := r.newestNumber()
	if req.GetBaseVersion() != current {
		winner, _ := r.newest()
		return &wire.SubmitResponse{
			Version: winner,
			Refusal: fmt.Sprintf("the base is version %d, in force is version %d", req.GetBaseVersion(), current),
		}
	}
	if refusal := r.checkRollback(req); refusal != "" {
		return &wire.SubmitResponse{Refusal: refusal}
	}
	return r.accept(req, current+1, now)
}

// submitNumbered accepts a rules file with a version number chosen by the
// submitter. A number that is not higher than that of the version in force is
// superseded and changes nothing, so that submissions can be repeated.
func (r *rulesState) submitNumbered(req *wire.SubmitRequest, now int64) *wire.SubmitResponse {
	if winner, _ := r.newest(); req.GetNumber() <= winner.GetNumber() {
		return &wire.SubmitResponse{Superseded: true, Version: winner}
	}
	return r.accept(req, req.GetNumber(), now)
}

func (r *rulesState) accept(req *wire.SubmitRequest, number uint64, now int64) *wire.SubmitResponse {
	version := &wire.Version{
		Number: number, Digest: Digest(req.GetText()), Author: req.GetAuthor(), Reason: req.GetReason(),
		AcceptedAt: now, SubmissionId: req.GetSubmissionId(), RollbackOf: req.GetRollbackOf(),
	}
	r.versions = append(r.versions, acceptedVersion{version: version, text: req.GetText()})
	r.textBytes += len(req.GetText())
	r.document = req.GetDocument()
	r.trimHistory()
	return &wire.SubmitResponse{Accepted: true, Version: version}
}

// checkRollback returns a refusal unless a rollback has the text of the version that
// it refers to. An accepted rollback becomes a new version with that text.
func (r *rulesState) checkRollback(req *wire.SubmitRequest) string {
	number := req.GetRollbackOf()
	if number == 0 {
		return ""
	}
	old, _ := r.version(number)
	if old == nil {
		return fmt.Sprintf("version %d is no longer available", number)
	}
	if old.GetDigest() != Digest(req.GetText()) {
		return fmt.Sprintf("the text is not that of version %d", number)
	}
	return ""
}

func (r *rulesState) trimHistory() {
	for r.textBytes > maxTextBytes && r.oldestText < len(r.versions)-1 {
		r.textBytes -= len(r.versions[r.oldestText].text)
		r.versions[r.oldestText].text = ""
		r.oldestText++
	}
	if len(r.versions) <= maxVersions {
		return
	}
	r.textBytes -= len(r.versions[0].text)
	r.versions[0] = acceptedVersion{}
	r.versions = r.versions[1:]
	r.oldestText = max(0, r.oldestText-1)
}

func (r *rulesState) recordSubmission(id string, result submission) {
	r.submissions[id] = result
	r.order = append(r.order, id)
	if len(r.order) > submissionWindow {
		delete(r.submissions, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *rulesState) newestNumber() uint64 {
	if len(r.versions) == 0 {
		return 0
	}
	return r.versions[len(r.versions)-1].version.GetNumber()
}

func (r *rulesState) newest() (*wire.Version, string) { return r.version(r.newestNumber()) }

func (r *rulesState) version(number uint64) (*wire.Version, string) {
	at, found := slices.BinarySearchFunc(r.versions, number, func(v acceptedVersion, number uint64) int {
		return cmp.Compare(v.version.GetNumber(), number)
	})
	if !found {
		return nil, ""
	}
	return r.versions[at].version, r.versions[at].text
}

func (r *rulesState) history(limit int) []*wire.Version {
	var all []*wire.Version
	for n := len(r.versions) - 1; n >= 0 && len(all) < limit; n-- {
		all = append(all, r.versions[n].version)
	}
	return all
}

// Digest returns the xxhash64 digest of a rules text in hexadecimal.
func Digest(text string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}
