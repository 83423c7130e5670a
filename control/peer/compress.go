package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// minCompressedBytes is the size of messages from which they are sent compressed. Rules and
	// snapshots are text that repeats itself.
	minCompressedBytes = 16 << 10
	// maxDecompressedBytes bounds the messages of one request.
	maxDecompressedBytes = 192 << 20
)

var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("peer: " + err.Error())
	}
	return w
}}

// compress replaces the messages of a request by their compressed form.
func compress(req *wire.StepRequest) error {
	data, err := proto.Marshal(&wire.StepRequest{Messages: req.GetMessages()})
	if err != nil {
		return errors.Wrap(err, "encode messages")
	}
	var packed bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(data); err != nil {
		return errors.Wrap(err, "compress messages")
	}
	if err := w.Close(); err != nil {
		return errors.Wrap(err, "compress messages")
	}
	req.Messages, req.Compressed = nil, packed.Bytes()
	return nil
}

// decompress restores the messages of a request, if they are compressed, up to a size in bytes.
func decompress(req *wire.StepRequest, limit int64) error {
	if len(req.GetCompressed()) == 0 {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(req.GetCompressed()))
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return errors.Wrap(err, "decompress messages")
	}
	if int64(len(data)) > limit {
		return errors.Errorf("messages are larger than %d bytes", limit)
	}
	inner := &wire.StepRequest{}
	if err := proto.Unmarshal(data, inner); err != nil {
		return errors.Wrap(err, "decode messages")
	}
	req.Messages, req.Compressed = inner.GetMessages(), nil
	return nil
}
