package operator

import (
	"sync"

	"github.com/snipebeam/snipebeam/world/delta"
	"github.com/snipebeam/snipebeam/world/wire"
)

// addText adds a delta from the version that the host has, or the full text if
// that is smaller or requested.
func (s *Rules) addText(req *wire.WatchRequest, response *wire.WatchResponse, text string) {
	if !req.GetWhole() && req.GetKnownVersion() > 0 {
		_, base := s.machine.Version(req.GetKnownVersion())
		if data := s.deltas.get(req.GetKnownVersion(), response.GetVersion().GetNumber(), base, text); len(data) > 0 && len(data) < len(text) {
			response.Delta = data
			return
		}
	}
	if data := s.compressed(response.GetVersion().GetNumber(), text); len(data) > 0 {
		response.Delta, response.Whole = data, true
		return
	}
	response.Text = text
}

// minCompressBytes is the size from which a full text is sent compressed.
const minCompressBytes = 1 << 10

// compressed returns the full text as a delta from the empty text, or nil for a
// short text.
func (s *Rules) compressed(number uint64, text string) []byte {
	if len(text) < minCompressBytes {
		return nil
	}
	return s.fullTexts.get(0, number, "", text)
}

// deltaCache keeps only the latest delta, because most hosts have the previous
// version.
type deltaCache struct {
	mu       sync.Mutex
	from, to uint64
	data     []byte
}

func (w *deltaCache) get(from, to uint64, older, newer string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.from == from && w.to == to {
		return w.data
	}
	if older == "" && from > 0 {
		return nil // the older version is no longer stored
	}
	data, err := delta.Diff(older, newer)
	if err != nil {
		return nil
	}
	w.from, w.to, w.data = from, to, data
	return data
}
