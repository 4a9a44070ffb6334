package resume

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a stream across its caller's attempts.
type Key uint64

// Stream holds the parts of a stream that its key covers.
type Stream struct {
	// Organisation is the authenticated caller, so that no organisation can name another's stream.
	Organisation   string
	Route, Service string
	// Attempt is the ID of the caller's attempt that brought the first event.
	Attempt string
}

// Key hashes the stream. It uses a cryptographic hash because a caller could search a fast one for an
// ID whose key equals that of another's stream.
func (s Stream) Key() Key {
	h := sha256.New()
	for _, part := range [...]string{s.Organisation, s.Route, s.Service, s.Attempt} {
		// With its length before it, no field can pass for the end of the previous one.
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	var sum [sha256.Size]byte
	return Key(binary.BigEndian.Uint64(h.Sum(sum[:0])))
}
