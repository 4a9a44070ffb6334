package sse

import "sync"

// chunkSize is the size in bytes of the pieces of which a buffer consists.
const chunkSize = 4 << 10

type chunk [chunkSize]byte

// chunks recycles the pieces of all buffers. Buffers that grow by copying leave several times their size for the garbage
// collector, which a small VM cannot afford while many streams receive large events at once.
var chunks = sync.Pool{New: func() any { return new(chunk) }}

// buffer is a queue of bytes.
type buffer struct {
	chunks []*chunk
	// start is the offset of the first byte in the first chunk, size the number of bytes.
	start, size int
	// views is the list that first returned last.
	views [][]byte
}

// append adds bytes at the end.
func (b *buffer) append(p []byte) {
	for len(p) > 0 {
		end := b.start + b.size
		if end == len(b.chunks)*chunkSize {
			b.chunks = append(b.chunks, chunks.Get().(*chunk))
		}
		n := copy(b.chunks[end/chunkSize][end%chunkSize:], p)
		b.size += n
		p = p[n:]
	}
}

// drop removes the first n bytes.
func (b *buffer) drop(n int) {
	b.start += n
	b.size -= n
	unused := b.start / chunkSize
	if b.size == 0 {
		unused = len(b.chunks)
	}
	for _, c := range b.chunks[:unused] {
		chunks.Put(c)
	}
	left := copy(b.chunks, b.chunks[unused:])
	clear(b.chunks[left:])
	b.chunks = b.chunks[:left]
	b.start %= chunkSize
	if left == 0 {
		b.start = 0
	}
}

// slice returns the bytes from an offset to another one. The result is valid until the next call of a method.
func (b *buffer) slice(from, to int) [][]byte {
	b.views = b.views[:0]
	for at := b.start + from; at < b.start+to; {
		part := b.chunks[at/chunkSize][at%chunkSize:]
		part = part[:min(len(part), b.start+to-at)]
		b.views = append(b.views, part)
		at += len(part)
	}
	return b.views
}

// capacity returns the memory that the buffer holds, in bytes.
func (b *buffer) capacity() int { return len(b.chunks) * chunkSize }
