package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the length of a digest. Two of 10^12 requests collide by chance in one of
// 10^14 deployments.
const digestBytes = 16

// Digest identifies a request across retries by its caller, or a part of prompts. That of a request does
// not cover request ids, the remaining time and the framing of the body, which differ between retries.
type Digest [digestBytes]byte

// partMark begins the digest of a part. The digest of one request in 2^24 begins so too; it is then
// convicted later than others.
var partMark = [3]byte{0xff, 0xff, 0xff}

// IsPart reports whether the digest is that of a part of prompts.
func (d Digest) IsPart() bool { return [len(partMark)]byte(d[:len(partMark)]) == partMark }

// PartDigest returns the digest of a part of prompts. The organisation is the authenticated caller:
// callers choose the IDs of parts, and could otherwise have another organisation's parts refused.
func PartDigest(organisation, id string) Digest {
	sum := hash(nil, organisation, id)
	copy(sum[:], partMark[:])
	return sum
}

// Identity holds the parts of a request that its digest covers.
type Identity struct {
	// Organisation is the authenticated caller, never a name that the caller supplied. Otherwise
	// one organisation could have another's requests refused.
	Organisation string
	Method, Host string
	// Target is the path with its query.
	Target string
	Body   []byte
}

// Digest hashes the identity. It uses a cryptographic hash because a caller could search a
// fast one for a body whose digest equals that of another's request.
func (i Identity) Digest() Digest {
	return hash(i.Body, i.Organisation, i.Method, i.Host, i.Target)
}

// hash returns the digest of some fields and a body.
func hash(body []byte, fields ...string) Digest {
	h := sha256.New()
	for _, s := range fields {
		// With its length before it, no field can pass for the end of the previous one.
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(body)
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:digestBytes])
}

// String returns the digest in hexadecimal, as in logs and settings. It returns an empty
// string for the zero digest, that of a request whose body was not read completely.
func (d Digest) String() string {
	if d == (Digest{}) {
		return ""
	}
	return hex.EncodeToString(d[:])
}

// DigestError reports a malformed digest.
type DigestError struct{ Text string }

// Error implements error.
func (e *DigestError) Error() string {
	return e.Text + " is not a request digest: want 32 hexadecimal digits"
}

// ParseDigest parses the result of String. The error is a *DigestError.
func ParseDigest(s string) (Digest, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != digestBytes {
		return Digest{}, &DigestError{Text: s}
	}
	return Digest(b), nil
}
