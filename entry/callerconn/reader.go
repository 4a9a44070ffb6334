package callerconn

import (
	"bytes"
	"slices"
	"sync/atomic"
)

// unknownLength is the length of a body that comes in chunks.
const unknownLength = -1

// requestReader is the reading side of a connection: which part of which request comes next. net/http reads from a
// connection in one goroutine at a time.
type requestReader struct {
	scanner headScanner
	// received holds bytes that net/http has not got yet; the first scanned ones are part of the head.
	received []byte
	scanned  int
	// whole is the number of bytes of a whole head that net/http has not got yet.
	whole int
	// bodyLeft is the number of bytes of the body that net/http has not got yet, or unknownLength.
	bodyLeft int64
	// tail holds the last bytes of a body of unknown length.
	tail []byte
	// held is what received takes of the memory for heads, parsing what the head takes that net/http parses. They are
	// given back when the connection is closed, maybe while a read still returns.
	held, parsing atomic.Int64
}

// Read implements net.Conn. net/http gets a head once it is whole, and no bytes beyond it before it has asked for
// more: what takes memory in its form is known before it begins to parse.
func (c *Conn) Read(p []byte) (int, error) {
	r := &c.reader
	switch {
	case len(p) == 0:
		return 0, nil
	case r.whole > 0:
		return c.handOver(p), nil
	case r.bodyLeft != 0:
		return c.readBody(p)
	case len(p) == 1:
		return c.readAhead(p)
	}
	return c.readHead(p)
}

// readAhead reads the first byte of a head. net/http does so while it handles the request before, to notice that the
// caller closes the connection.
func (c *Conn) readAhead(p []byte) (int, error) {
	r := &c.reader
	if len(r.received) > 0 {
		p[0] = r.received[0]
		c.dropReceived(1)
	} else if n, err := c.Conn.Read(p); n == 0 || err != nil {
		return n, err
	}
	r.scanner.scan(p)
	return 1, nil
}

// readHead reads until the head is whole. Most heads come in one piece and are not copied.
func (c *Conn) readHead(p []byte) (int, error) {
	r := &c.reader
	if len(r.received) == 0 {
		n, err := c.Conn.Read(p)
		if n == 0 || err != nil {
			return n, err
		}
		end, ended := r.scanner.scan(p[:n])
		if ended && r.scanner.isFree() && r.scanner.bytes <= c.pool.maxHead() {
			r.received = append(r.received, p[end:n]...)
			c.completeHead()
			return end, nil
		}
		r.received = append(r.received, p[:n]...)
		r.scanned = end
		if ended {
			r.whole = end
		}
	}
	if err := c.receiveHead(); err != nil {
		return 0, err
	}
	c.pool.endWaiting(c)
	parsing, err := c.pool.heads.awaitParse(r.scanner)
	if err != nil {
		return 0, c.refuseHead(refusedWithoutMemory)
	}
	r.parsing.Add(parsing)
	return c.handOver(p), nil
}

// receiveHead receives until the head is whole.
func (c *Conn) receiveHead() error {
	r := &c.reader
	c.pool.beginHead(c)
	r.scanReceived()
	for {
		switch {
		case r.scanner.bytes > c.pool.maxHead():
			return c.refuseHead(refusedTooLarge)
		case r.whole > 0:
			return nil
		case !c.reserveReceived():
			return c.refuseHead(refusedWithoutMemory)
		}
		free := r.received[len(r.received):cap(r.received)]
		n, err := c.Conn.Read(free)
		r.received = r.received[:len(r.received)+n]
		if err != nil {
			return err
		}
		r.scanReceived()
	}
}

// scanReceived looks for the end of the head in the bytes that have not been looked at.
func (r *requestReader) scanReceived() {
	if r.whole > 0 {
		return
	}
	n, ended := r.scanner.scan(r.received[r.scanned:])
	r.scanned += n
	if ended {
		r.whole = r.scanned
	}
}

// reserveReceived makes room for more bytes of a head, and reports whether there is memory for them.
func (c *Conn) reserveReceived() bool {
	r := &c.reader
	if len(r.received) < cap(r.received) {
		return true
	}
	size := max(freeHeadBytes, min(2*cap(r.received), c.pool.maxHead()+1))
	if more := int64(size-freeHeadBytes) - r.held.Load(); more > 0 {
		if !c.pool.awaitHeadMemory(c, more) {
			return false
		}
		r.held.Add(more)
	}
	r.received = slices.Grow(r.received, size-len(r.received))
	return true
}

// handOver gives net/http bytes of a whole head.
func (c *Conn) handOver(p []byte) int {
	r := &c.reader
	n := copy(p, r.received[:r.whole])
	r.whole -= n
	c.dropReceived(n)
	if r.whole == 0 {
		c.completeHead()
	}
	return n
}

// dropReceived forgets bytes that net/http has got.
func (c *Conn) dropReceived(n int) {
	r := &c.reader
	r.received = r.received[n:]
	r.scanned = max(0, r.scanned-n)
}

// completeHead records that net/http has got a whole head. What is left is that of the body, or of the next request.
func (c *Conn) completeHead() {
	r := &c.reader
	r.scanner, r.scanned = headScanner{}, 0
	c.compactReceived()
}

// compactReceived gives the memory back that held bytes which net/http has got.
func (c *Conn) compactReceived() {
	r := &c.reader
	if len(r.received) == 0 {
		r.received = nil
	}
	held := r.held.Load()
	if held == 0 {
		return
	}
	r.received = bytes.Clone(r.received)
	unused := held - int64(max(0, cap(r.received)-freeHeadBytes))
	c.pool.heads.held.Release(unused)
	r.held.Add(-unused)
}

// readBody reads a part of the body.
func (c *Conn) readBody(p []byte) (int, error) {
	r := &c.reader
	if r.bodyLeft > 0 {
		p = p[:min(int64(len(p)), r.bodyLeft)]
	}
	var n int
	var err error
	if len(r.received) > 0 {
		n = copy(p, r.received)
		if c.dropReceived(n); len(r.received) == 0 {
			c.compactReceived()
		}
	} else {
		n, err = c.Conn.Read(p)
	}
	c.bodyReceived.Add(int64(n))
	if r.bodyLeft > 0 {
		r.bodyLeft -= int64(n)
	} else {
		r.tail = append(r.tail, p[max(0, n-len(bodyEnd)):n]...)
		r.tail = r.tail[max(0, len(r.tail)-len(bodyEnd)):]
	}
	return n, err
}

// bodyEnd is how a body that comes in chunks ends.
const bodyEnd = "\r\n\r\n"

// endRequest prepares for the next request, and reports whether there may be one: net/http may have got the beginning
// of its head behind a body of unknown length, before it was known what that takes.
func (r *requestReader) endRequest() bool {
	if r.bodyLeft != unknownLength {
		return r.bodyLeft == 0
	}
	clean := string(r.tail) == bodyEnd
	r.bodyLeft, r.tail = 0, r.tail[:0]
	return clean
}

// BeginBody tells the connection that a body of a length follows, in bytes, -1 if it comes in chunks. The handler of
// the request calls it first.
func (c *Conn) BeginBody(length int64) {
	if length == 0 {
		return
	}
	c.reader.bodyLeft = length
	c.bodyReceived.Store(0)
	c.pool.beginBody(c)
}

// EndBody tells the connection that the body has been read.
func (c *Conn) EndBody() { c.pool.endWaiting(c) }

// ReplaceHead tells the connection that the handler of the request has put the head into a form of its own, which takes
// n bytes until the request has ended. It reports whether there is memory for them.
func (c *Conn) ReplaceHead(n int64) bool {
	c.releaseParsing()
	n -= freeHeadBytes
	if n <= 0 {
		return true
	}
	if !c.pool.awaitHeadMemory(c, n) {
		return false
	}
	c.request.Store(n)
	return true
}

func (c *Conn) releaseParsing() {
	c.pool.heads.releaseParse(c.reader.parsing.Swap(0))
}

// releaseRequest gives the memory back that a request takes which has ended.
func (c *Conn) releaseRequest() {
	c.releaseParsing()
	c.pool.heads.held.Release(c.request.Swap(0))
	c.bodyReceived.Store(0)
}

// release gives all memory back. The connection is closed.
func (c *Conn) release() {
	c.releaseRequest()
	c.pool.heads.held.Release(c.reader.held.Swap(0))
}

// holdsMemory reports whether a connection that waits holds memory for a head or a body. The caller holds the pool's
// lock.
func (c *Conn) holdsMemory() bool {
	return c.waiting.body || c.reader.held.Load()+c.request.Load() > 0
}
