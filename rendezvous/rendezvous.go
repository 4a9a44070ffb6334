// Package rendezvous implements rendezvous (highest random weight) hashing: every
// process ranks the nodes for a key in the same order, and the loss of a node
// moves only the keys of that node (Thaler and Ravishankar, 1998).
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a key of two parts.
func Hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// Weight returns the weight of a node for the hash of a key.
func Weight(key uint64, node uint32) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint32(b[8:], node)
	return xxhash.Sum64(b[:])
}

// Rank returns the nodes by descending weight for the key; equal weights are
// ordered by node number.
func Rank(key uint64, nodes []uint32) []uint32 {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b uint32) int {
		if c := cmp.Compare(Weight(key, b), Weight(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// Top returns the node of the highest weight among those that ok accepts. If two
// weights are equal, the lower node number wins. found is false if ok accepts none.
func Top(key uint64, nodes []uint32, ok func(uint32) bool) (node uint32, found bool) {
	var best uint64
	for _, n := range nodes {
		if !ok(n) {
			continue
		}
		if w := Weight(key, n); !found || w > best || (w == best && n < node) {
			node, best, found = n, w, true
		}
	}
	return node, found
}

// Compare orders two candidates for a key by descending hash, and by name if the
// hashes are equal.
func Compare(key, a, b string) int {
	if c := cmp.Compare(Hash(key, b), Hash(key, a)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}
