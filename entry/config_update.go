package entry

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/delta"
	"github.com/chivefield/chivefield/schema"
)

const (
	// maxConfigBytes limits the size of a configuration record that is fetched from another VM, several
	// times that of the largest deployment's.
	maxConfigBytes = 16 << 20
	// maxBases is the number of earlier configurations from which updates can be made. It exceeds the
	// changes that operators make within a few seconds.
	maxBases = 16
)

// checksum identifies the value of a configuration record.
type checksum [sha256.Size]byte

// newChecksum returns the checksum in a message; zero if there is none.
func newChecksum(b []byte) (sum checksum) {
	copy(sum[:], b)
	return sum
}

// UnreadableConfigError reports a configuration of another VM that cannot be decoded.
type UnreadableConfigError struct{ Holder string }

// Error implements error.
func (e *UnreadableConfigError) Error() string {
	return "configuration of VM " + e.Holder + " cannot be decoded"
}

// ChecksumError reports an update that does not result in the record it was made for.
type ChecksumError struct {
	Version uint64
	Bytes   int
}

// Error implements error.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("update to configuration %d results in another record of %d bytes", e.Version, e.Bytes)
}

// configHistory holds this VM's configuration record and makes updates to it from earlier ones.
type configHistory struct {
	record  *Record
	sum     checksum
	version uint64
	// bases are the latest configurations, the current one last.
	bases []configBase
	// packed holds the updates made or received so far, by the checksum of their base; the zero
	// checksum is for updates that need none.
	packed map[checksum][]byte
}

// configBase is a configuration from which updates can be made.
type configBase struct {
	sum   checksum
	index *delta.Index
}

// add makes a record the current one.
func (h *configHistory) add(r *Record, version uint64) {
	h.record, h.version, h.sum = r, version, sha256.Sum256(r.Value)
	h.packed = make(map[checksum][]byte)
	if len(h.bases) == maxBases {
		h.bases = append(h.bases[:0], h.bases[1:]...)
	}
	h.bases = append(h.bases, configBase{sum: h.sum, index: delta.NewIndex(r.Value)})
}

// update returns a packed update from a base to the current record; from nothing if the base is not
// known.
func (h *configHistory) update(base checksum) ([]byte, error) {
	index := &delta.Index{}
	from := checksum{}
	for _, b := range h.bases {
		if b.sum == base {
			index, from = b.index, base
		}
	}
	if packed := h.packed[from]; packed != nil {
		return packed, nil
	}
	packed, err := packUpdate(h.record, index)
	if err == nil {
		h.packed[from] = packed
	}
	return packed, err
}

// packUpdate returns a packed update from the indexed record to r.
func packUpdate(r *Record, index *delta.Index) ([]byte, error) {
	u := &schema.ConfigUpdate{Key: r.Key}
	for _, op := range index.Diff(r.Value) {
		u.Parts = append(u.Parts, &schema.ConfigPart{From: uint32(op.From), Length: uint32(op.Length), Literal: op.Literal})
	}
	b, err := proto.Marshal(u)
	if err != nil {
		return nil, err
	}
	return deflate(b, flate.DefaultCompression)
}

// applyUpdate returns the record that an update makes out of a base, which may be nil.
func applyUpdate(base *Record, reply *schema.ConfigReply) (*Record, error) {
	b, err := inflate(reply.Packed, maxConfigBytes)
	if err != nil {
		return nil, err
	}
	var u schema.ConfigUpdate
	if err := proto.Unmarshal(b, &u); err != nil {
		return nil, err
	}
	var from []byte
	if base != nil {
		from = base.Value
	}
	ops := make([]delta.Op, 0, len(u.Parts))
	for _, p := range u.Parts {
		ops = append(ops, delta.Op{From: int(p.From), Length: int(p.Length), Literal: p.Literal})
	}
	value, err := delta.Apply(from, ops, maxConfigBytes)
	if err != nil {
		return nil, err
	}
	if sum := sha256.Sum256(value); !bytes.Equal(sum[:], reply.Checksum) {
		return nil, &ChecksumError{Version: reply.Version, Bytes: len(value)}
	}
	return &Record{Key: u.Key, Value: value}, nil
}
