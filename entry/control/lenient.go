package control

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/lenient"
	"github.com/snipebeam/snipebeam/world/link"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// maxResponseBytes is more than rules of the greatest size and the records of ten thousand
// instances.
const maxResponseBytes = 12 << 20

var skippedEntries = metrics.GetOrCreateCounter("snipebeam_watch_skipped_entries_total")

// lenientTransport removes the entries of lists from responses to polls that cannot be decoded,
// so that this host follows all others.
type lenientTransport struct {
	base   http.RoundTripper
	logger hclog.Logger
}

// Lenient returns a transport for the watch that reports and removes malformed entries of the
// lists in responses, and fails a response that is longer than any poll's.
func Lenient(base http.RoundTripper, logger hclog.Logger) http.RoundTripper {
	return &lenientTransport{base: link.Bounded(base, maxResponseBytes), logger: logger}
}

// RoundTrip implements http.RoundTripper.
func (t *lenientTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(req)
	if err != nil || response.StatusCode != http.StatusOK || !strings.HasSuffix(req.URL.Path, "/Watch") {
		return response, err
	}
	data, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	decoded := &wire.WatchResponse{}
	if proto.Unmarshal(data, decoded) != nil {
		data = t.filter(data, req.URL.Host)
	}
	response.Body, response.ContentLength = io.NopCloser(bytes.NewReader(data)), int64(len(data))
	return response, nil
}

func (t *lenientTransport) filter(data []byte, host string) []byte {
	kept, skipped := lenient.Filter(data, (&wire.WatchResponse{}).ProtoReflect().Descriptor())
	for _, entry := range skipped {
		skippedEntries.Inc()
		t.logger.Warn("entry of a response is skipped", "from", host, "place", entry.Place(), "error", entry.Err())
	}
	return kept
}
