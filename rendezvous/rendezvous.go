// Package rendezvous ranks nodes for a key by highest random weight, so that
// every process ranks them alike and a lost node moves only its own keys
// (Thaler and Ravishankar, 1998).
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash gives the hash of a key made of two parts.
func Hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// Weight is the weight of a node for a key's hash.
func Weight(key uint64, node uint32) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint32(b[8:], node)
	return xxhash.Sum64(b[:])
}

// Rank returns the nodes, the highest weight first.
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

// Top returns the heaviest of the nodes that ok accepts.
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

// Compare orders candidates for a key, the one with the highest hash first and equal
// ones by name.
func Compare(key, a, b string) int {
	if c := cmp.Compare(Hash(key, b), Hash(key, a)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}
