// Package prompt splits prompts into the blocks that engines cache. The scheduler
// and the engines must split them in the same way, otherwise lookups in the index
// of cached prefixes never match.
package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the assumed length of a token where no tokenizer is available.
	BytesPerToken = 4
	// BlockTokens is the length of a cache block in tokens.
	BlockTokens = 64
	blockBytes  = BytesPerToken * BlockTokens
)

// EstimateTokens returns the approximate length of a text in tokens.
func EstimateTokens(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// BlockHashes returns a hash for each complete leading block of a text. Each hash
// also covers all blocks before its own.
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

// ExtendHash combines the hash of a prefix with the hash of the next block.
func ExtendHash(prefix, block uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], prefix)
	binary.LittleEndian.PutUint64(b[8:], block)
	return xxhash.Sum64(b[:])
}
