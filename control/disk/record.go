package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// kind is the type of a record.
type kind byte

const (
	kindVote  kind = 1 // SavedVote
	kindEntry kind = 2 // LogEntry; replaces all entries from its index onwards
	kindReset kind = 3 // LogSnapshot without state; discards all earlier entries
)

// Sizes of a record. Its layout is length, checksum, sequence, kind, payload.
const (
	headerBytes     = 4 + 4 + 8 + 1
	maxPayloadBytes = 512 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	sequence uint64
	kind     kind
	payload  []byte
}

func (r record) encodedSize() int { return headerBytes + len(r.payload) }

func appendRecord(buf []byte, r record) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf = append(buf, r.payload...)
	putHeader(buf[start:], r.sequence, r.kind)
	return buf
}

// putHeader fills in the header of a record whose payload is in place.
func putHeader(raw []byte, sequence uint64, k kind) []byte {
	binary.LittleEndian.PutUint32(raw, uint32(len(raw)-headerBytes))
	binary.LittleEndian.PutUint64(raw[8:], sequence)
	raw[16] = byte(k)
	binary.LittleEndian.PutUint32(raw[4:], checksum(raw))
	return raw
}

// checksum covers the whole record except the checksum field itself.
func checksum(raw []byte) uint32 {
	sum := crc32.Update(0, castagnoli, raw[:4])
	return crc32.Update(sum, castagnoli, raw[8:])
}

// parseRecord decodes the record at the start of data.
func parseRecord(data []byte) (record, bool) {
	if len(data) < headerBytes {
		return record{}, false
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > maxPayloadBytes || headerBytes+length > len(data) {
		return record{}, false
	}
	raw := data[:headerBytes+length]
	if checksum(raw) != binary.LittleEndian.Uint32(raw[4:]) {
		return record{}, false
	}
	return record{
		sequence: binary.LittleEndian.Uint64(raw[8:]),
		kind:     kind(raw[16]),
		payload:  raw[headerBytes:],
	}, true
}

// findLaterRecord searches for a complete record after an invalid one and
// returns its offset. Such a record shows that the invalid one is corrupt and
// not a torn write at the end of the log.
func findLaterRecord(data []byte, from int, sequence uint64) (int, bool) {
	for at := from + 1; at+headerBytes <= len(data); at++ {
		if binary.LittleEndian.Uint64(data[at+8:])-sequence > uint64(len(data)) {
			continue
		}
		if r, ok := parseRecord(data[at:]); ok && r.sequence > sequence {
			return at, true
		}
	}
	return 0, false
}
