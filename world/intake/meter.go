package intake

import "bytes"

// What the parts of a request take in memory. A header line and a parameter of a query
// become an entry of a map and of its copies, whatever their length.
const (
	headByteCost  = 3
	headLineCost  = 256
	parameterCost = 256
)

// bufferBytes is the size of the server's reader. The lines in it may be trailers of a
// body or the head of the next request.
const bufferBytes = 4096

// Refusal is the reason for which a head is refused, empty if it is not.
type Refusal string

// Reasons of refusals.
const (
	TooManyLines Refusal = "lines"
	TooManyBytes Refusal = "bytes"
)

// meter counts the lines and bytes of a request as they arrive, and finds the end of its
// head where net/http finds it.
type meter struct {
	maxLines, maxBytes int
	bodyCost           int64 // for a byte of a body
	maxBodyCost        int64 // 0: no bound

	lines, bytes int
	lineBytes    int  // of the current line, without its end
	lastByte     byte // of the current line
	started      bool // a line that is not empty has ended
	headEnded    bool
	body         int64 // cost of the body so far
	tail         int64 // cost of what came last after the end of the head, if it is a head itself
	trailer      int64 // cost of the trailers that the body may have had so far
}

// feed counts bytes and returns what they cost.
func (m *meter) feed(p []byte) (cost int64) {
	for len(p) > 0 && !m.headEnded {
		n := bytes.IndexByte(p, '\n')
		if n < 0 {
			m.extendLine(p)
			return cost + headCost(p)
		}
		m.extendLine(p[:n])
		m.bytes++
		cost += headCost(p[:n+1]) + headLineCost
		p = p[n+1:]
		m.endLine()
	}
	return cost + m.feedBody(p)
}

func headCost(p []byte) int64 {
	return headByteCost*int64(len(p)) + parameterCost*int64(bytes.Count(p, []byte{'&'}))
}

func (m *meter) extendLine(p []byte) {
	if len(p) == 0 {
		return
	}
	m.bytes += len(p)
	m.lineBytes += len(p)
	m.lastByte = p[len(p)-1]
}

func (m *meter) endLine() {
	empty := m.lineBytes == 0 || m.lineBytes == 1 && m.lastByte == '\r'
	m.lines++
	m.lineBytes = 0
	m.headEnded = empty && m.started
	m.started = m.started || !empty
}

func (m *meter) feedBody(p []byte) int64 {
	if len(p) == 0 {
		return 0
	}
	before := m.body + m.trailer
	m.tail = headLineCost * int64(bytes.Count(p[max(len(p)-bufferBytes, 0):], []byte{'\n'}))
	m.trailer = max(m.trailer, m.tail)
	m.body += m.bodyCost * int64(len(p))
	if m.maxBodyCost > 0 {
		m.body = min(m.body, m.maxBodyCost)
	}
	return m.body + m.trailer - before
}

// refusal returns why the head is refused. A head that ends with its last allowed byte
// or line is served.
func (m *meter) refusal() Refusal {
	switch {
	case m.lines > m.maxLines:
		return TooManyLines
	case m.bytes > m.maxBytes || m.bytes == m.maxBytes && !m.headEnded:
		return TooManyBytes
	}
	return ""
}

// next prepares for the next request and returns the cost of what may have come of it:
// the server buffers what a client sends early.
func (m *meter) next() int64 {
	tail := m.tail
	*m = meter{maxLines: m.maxLines, maxBytes: m.maxBytes, bodyCost: m.bodyCost, maxBodyCost: m.maxBodyCost}
	return tail
}
