package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the width of a digest: two of 10^12 requests are alike by chance once in
// 10^14 deployments.
const digestBytes = 16

// Digest names what a caller repeats when it sends the same request again. Its ids, its time
// left and how its body is framed differ from one sending to the next and do not count.
type Digest [digestBytes]byte

// Identity is what a digest is made of.
type Identity struct {
	// Organisation is the caller as it was authenticated, never as it says: otherwise one
	// could have another's requests refused.
	Organisation string
	Method, Host string
	// Target is the path with its query.
	Target string
	Body   []byte
}

// Digest hashes the identity. The hash is a cryptographic one, since with a fast one a caller
// could look for a body that shares its digest with another's.
func (i Identity) Digest() Digest {
	h := sha256.New()
	for _, s := range [...]string{i.Organisation, i.Method, i.Host, i.Target} {
		// With its length before it, no field can pass for the end of the one before.
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(i.Body)
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:digestBytes])
}

// String is the digest as logs and settings name it; empty for that of a request that was not
// read whole.
func (d Digest) String() string {
	if d == (Digest{}) {
		return ""
	}
	return hex.EncodeToString(d[:])
}

// DigestError reports a text that is no digest.
type DigestError struct{ Text string }

// Error describes the failure.
func (e *DigestError) Error() string {
	return e.Text + " is no digest of a request; it has 32 hexadecimal digits"
}

// ParseDigest reads a digest as String writes it. The error is a DigestError.
func ParseDigest(s string) (Digest, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != digestBytes {
		return Digest{}, &DigestError{Text: s}
	}
	return Digest(b), nil
}
