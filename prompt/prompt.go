// Package prompt cuts prompts into the blocks that engines cache. Scheduler and
// engines must cut alike, or the index of cached prefixes finds nothing.
package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the length taken for a token where no tokenizer is at hand.
	BytesPerToken = 4
	// BlockTokens is the length of a block in tokens.
	BlockTokens = 64
	blockBytes  = BytesPerToken * BlockTokens
)

// EstimateTokens estimates the length of a text in tokens.
func EstimateTokens(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// BlockHashes returns a hash for each whole leading block; each covers all before it.
func BlockHashes(text string) []uint64 {
	hashes := make([]uint64, 0, len(text)/blockBytes)
	var sum uint64
	for len(text) >= blockBytes {
		sum = ExtendHash(sum, xxhash.Sum64String(text[:blockBytes]))
		hashes = append(hashes, sum)
		text = text[blockBytes:]
	}
	return hashes
}

// ExtendHash extends the hash of a prefix by the hash of its next block.
func ExtendHash(prefix, block uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], prefix)
	binary.LittleEndian.PutUint64(b[8:], block)
	return xxhash.Sum64(b[:])
}
