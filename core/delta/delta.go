// Package delta describes a document by its differences from an earlier one, so that a change of a
// large document is sent in few bytes. It performs no I/O.
//
// Documents are cut into chunks where their content says so, not at fixed offsets: an insertion
// changes the chunks around it and leaves those behind it as they were. Of the earlier document only
// the hashes of its chunks are needed to compute a difference. Two chunks of equal hash are taken
// for equal, so whoever applies a difference must compare a checksum of the whole document.
package delta

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// A chunk ends where the low bits of a rolling hash are zero, after minChunk bytes at least and
	// maxChunk at most. With 8 bits a chunk has some 300 bytes: a changed list element costs one
	// or two of them, and an index takes a twentieth of its document.
	boundaryMask = 1<<8 - 1
	minChunk     = 64
	maxChunk     = 4096
)

// gear holds a random number for each byte value, for the rolling hash. All VMs need the same
// numbers to find the same boundaries, but a difference is valid whatever its boundaries are.
var gear = newGear()

// newGear fills the table with a generator of the splitmix64 kind.
func newGear() (table [256]uint64) {
	state := uint64(1)
	for i := range table {
		state += 0x9e3779b97f4a7c15
		z := state
		z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		table[i] = z ^ z>>31
	}
	return table
}

// chunkLength returns the length of the first chunk of a document that is not empty.
func chunkLength(doc []byte) int {
	var h uint64
	for i, b := range doc[:min(len(doc), maxChunk)] {
		h = h<<1 + gear[b]
		if i+1 >= minChunk && h&boundaryMask == 0 {
			return i + 1
		}
	}
	return min(len(doc), maxChunk)
}

// chunk is a part of a document.
type chunk struct {
	hash         uint64
	from, length uint32
}

// Index holds the chunks of a document, sorted by hash.
type Index struct{ chunks []chunk }

// NewIndex returns the index of a document of up to 4 GB.
func NewIndex(doc []byte) *Index {
	x := &Index{}
	for at := 0; at < len(doc); {
		n := chunkLength(doc[at:])
		x.chunks = append(x.chunks, chunk{hash: xxhash.Sum64(doc[at : at+n]), from: uint32(at), length: uint32(n)})
		at += n
	}
	slices.SortFunc(x.chunks, func(a, b chunk) int { return cmp.Compare(a.hash, b.hash) })
	return x
}

// find returns the chunk of a content.
func (x *Index) find(content []byte) (chunk, bool) {
	i, ok := slices.BinarySearchFunc(x.chunks, xxhash.Sum64(content), func(c chunk, h uint64) int { return cmp.Compare(c.hash, h) })
	if !ok || int(x.chunks[i].length) != len(content) {
		return chunk{}, false
	}
	return x.chunks[i], true
}

// Op is one part of a document: bytes of the earlier document, or a literal if that is not empty.
type Op struct {
	From, Length int
	Literal      []byte
}

// Diff returns the ops that make the document next out of the indexed one. Literals alias next.
func (x *Index) Diff(next []byte) []Op {
	var ops []Op
	literalFrom := 0
	for at := 0; at < len(next); {
		n := chunkLength(next[at:])
		c, known := x.find(next[at : at+n])
		if known {
			if literalFrom < at {
				ops = append(ops, Op{Literal: next[literalFrom:at]})
			}
			ops = appendCopy(ops, c)
			literalFrom = at + n
		}
		at += n
	}
	if literalFrom < len(next) {
		ops = append(ops, Op{Literal: next[literalFrom:]})
	}
	return ops
}

// appendCopy appends a copy of a chunk, joined with the op before if that ends where it begins.
func appendCopy(ops []Op, c chunk) []Op {
	if n := len(ops) - 1; n >= 0 && len(ops[n].Literal) == 0 && ops[n].From+ops[n].Length == int(c.from) {
		ops[n].Length += int(c.length)
		return ops
	}
	return append(ops, Op{From: int(c.from), Length: int(c.length)})
}

// RangeError reports an op that names bytes which the earlier document does not have, or that would
// make the result larger than allowed.
type RangeError struct {
	Op   Op
	Size int
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("delta: op from %d, length %d, literal of %d does not fit a document of %d bytes or the limit of the result",
		e.Op.From, e.Op.Length, len(e.Op.Literal), e.Size)
}

// Apply makes a document of up to limit bytes out of an earlier one. It does not modify base.
func Apply(base []byte, ops []Op, limit int) ([]byte, error) {
	var doc []byte
	for _, op := range ops {
		part := op.Literal
		if len(part) == 0 {
			if op.From < 0 || op.Length < 0 || op.From > len(base) || op.Length > len(base)-op.From {
				return nil, &RangeError{Op: op, Size: len(base)}
			}
			part = base[op.From : op.From+op.Length]
		}
		if len(part) > limit-len(doc) {
			return nil, &RangeError{Op: op, Size: len(base)}
		}
		doc = append(doc, part...)
	}
	return doc, nil
}
