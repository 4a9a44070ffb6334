package entry

import (
	"bytes"
	"compress/flate"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/schema"
)

const (
	// A VM counts as alive for aliveTimeout after its last note, or for aliveIntervals times its
	// usual interval between notes if that is longer, as in large failure domains. Few notes are
	// lost.
	aliveTimeout   = time.Second
	aliveIntervals = 4
	// unseenTimeout is how long a newly discovered VM counts as alive before its first note:
	// notes are sent in rotation, seconds apart in a large failure domain.
	unseenTimeout = 4 * time.Second
	// intervalWeight is the weight of the latest interval between notes in the moving average.
	intervalWeight = 0.2
	// readerHashKey is hashed with the VMs' addresses to choose the reader.
	readerHashKey = "store-reader"
)

// isStoreReader reports whether this VM reads the store for its failure domain: the reader is the
// first by rendezvous hashing of the VMs that are alive and did not fail to read the store. VMs
// may disagree for a moment; then two read, or none does and each VM reads for itself after a
// while. VMs without a note so far are included: in the first seconds each VM has received notes
// from few others, and each would become a reader.
//
// A reader relays to its whole failure domain every second or two. When the relays stop, the next in
// that order takes over, and then those after it, one by one: heartbeats alone would show the loss
// of a VM after four of its intervals, half a minute in a failure domain of 300 VMs.
func (p *peers) isStoreReader() bool {
	now := p.d.now()
	if p.d.registryReadFailed(now) {
		return false
	}
	before, relayedAt := p.readersBefore(now)
	if before == 0 {
		return true
	}
	return now-relayedAt > p.d.relaySilence()+time.Duration(before-1)*p.d.successionDelay()
}

// readersBefore returns the number of VMs that come before this one in the order of readers, and when
// the last relay of one of them arrived. The start of this process counts as one, and so does the end
// of an outage of the store: otherwise all VMs would take themselves for the reader after it.
func (p *peers) readersBefore(now time.Duration) (n int, relayedAt time.Duration) {
	own := rendezvous.Hash(readerHashKey, p.d.settings.Listen.Peers)
	relayedAt = time.Duration(p.d.registryRegainedAt.Load())
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.near {
		pe := p.byAddress[address]
		if pe.presumedAlive(now) && !pe.storeLost && rendezvous.Hash(readerHashKey, address) > own {
			n++
			relayedAt = max(relayedAt, pe.relayedAt)
		}
	}
	return n, relayedAt
}

// storeReader returns the address of the first by rendezvous hashing of the other VMs that may read the
// store for this failure domain; empty if there is none.
func (p *peers) storeReader() string {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var first string
	var highest uint64
	for _, address := range p.near {
		pe := p.byAddress[address]
		if h := rendezvous.Hash(readerHashKey, address); (first == "" || h > highest) && pe.presumedAlive(now) && !pe.storeLost {
			first, highest = address, h
		}
	}
	return first
}

// isAlive reports whether a recent note was received from the VM.
func (pe *peer) isAlive(now time.Duration) bool {
	return pe.lastSeen > 0 && now-pe.lastSeen < max(aliveTimeout, aliveIntervals*pe.usualInterval)
}

// presumedAlive reports whether the VM is alive as far as is known, including a new VM without a
// note so far.
func (pe *peer) presumedAlive(now time.Duration) bool {
	return pe.isAlive(now) || pe.lastSeen == 0 && now-pe.learnedAt < unseenTimeout
}

// recordContact records that a note was received from the VM. A gap counts as at most
// aliveIntervals times aliveTimeout in the average, or a VM that was away would count as alive
// for long after.
func (pe *peer) recordContact(now time.Duration) {
	if pe.lastSeen > 0 {
		pe.usualInterval += time.Duration(intervalWeight * float64(min(now-pe.lastSeen, aliveIntervals*aliveTimeout)-pe.usualInterval))
	}
	pe.lastSeen, pe.wentSilent = now, false
}

// configWatched reports whether a VM of this failure domain follows the configuration in the
// store. In the first moments of a process no notes have been received yet, and the reader is
// assumed to follow it.
func (p *peers) configWatched() bool {
	now := p.d.now()
	if now < aliveTimeout {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pe := range p.byAddress {
		if pe.isAlive(now) && pe.domain == p.d.settings.Vm.FailureDomain && pe.followsConfig {
			return true
		}
	}
	return false
}

func (p *peers) setFollowsConfig(v bool) { p.followsConfig.Store(v) }

// relayPartBytes is the approximate size of the registry records in one note before compression;
// notes beyond maxDatagram are not sent. When all endpoints start, 82 or more records change
// between two reads.
const relayPartBytes = maxDatagram / 2

// maxUnpackedBytes limits the size of the decompressed records of one note.
const maxUnpackedBytes = 4 * maxDatagram

// packPart compresses a part's records, which are very similar, to a fifth of their size or less.
// The reader sends each part to its whole failure domain at once: uncompressed parts fill its
// link, most notes are lost, and all VMs read the store instead.
func packPart(part *schema.EndpointRelay) (*schema.EndpointRelay, error) {
	if len(part.Records) == 0 {
		return part, nil
	}
	b, err := proto.Marshal(&schema.EndpointRelay{Records: part.Records})
	if err != nil {
		return nil, err
	}
	packed, err := deflate(b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	return &schema.EndpointRelay{From: part.From, Next: part.Next, Era: part.Era, Before: part.Before, Packed: packed}, nil
}

// deflate compresses with DEFLATE.
func deflate(b []byte, level int) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, level)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// inflate decompresses. Contents of more than limit bytes are an InflatedSizeError: a part of them
// could pass for the whole.
func inflate(packed []byte, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), limit+1))
	if err == nil && int64(len(b)) > limit {
		return nil, &InflatedSizeError{Limit: limit}
	}
	return b, err
}

// unpackPart decompresses the records of a part in place.
func unpackPart(part *schema.EndpointRelay) error {
	if len(part.Packed) == 0 {
		return nil
	}
	b, err := inflate(part.Packed, maxUnpackedBytes)
	if err != nil {
		return err
	}
	var whole schema.EndpointRelay
	if err := proto.Unmarshal(b, &whole); err != nil {
		return err
	}
	part.Records, part.Packed = whole.Records, nil
	return nil
}

// splitParts splits what was read of the registry into parts that fit into notes. Each part
// covers a range of offsets, so that a VM that misses a part detects it from the next one;
// without records the only part states that the range was read. The i-th record is at offset
// from+i; changed holds the indexes of the records to send.
func splitParts(from uint64, next Position, records []Record, changed []int) []*schema.EndpointRelay {
	part := &schema.EndpointRelay{From: from, Era: next.Era}
	parts := []*schema.EndpointRelay{part}
	size := 0
	for _, i := range changed {
		r := records[i]
		if size > 0 && size+len(r.Key)+len(r.Value) > relayPartBytes {
			part.Next = from + uint64(i)
			part = &schema.EndpointRelay{From: part.Next, Era: next.Era}
			parts = append(parts, part)
			size = 0
		}
		size += len(r.Key) + len(r.Value)
		part.Records = append(part.Records, &schema.StoreRecord{Key: r.Key, Value: r.Value, Written: from + uint64(i) + 1})
	}
	part.Next = next.Offset
	return parts
}

// relayParts sends what was read of the registry to the other VMs of this failure domain.
func (p *peers) relayParts(parts []*schema.EndpointRelay) {
	to := p.domainAddresses()
	for _, part := range parts {
		packed, err := packPart(part)
		if err != nil {
			p.d.log.Error().Err(err).Msg("relay_unsendable")
			return
		}
		n := p.newNote()
		n.Endpoints = packed
		p.writeAll(p.encode(n), to)
	}
}

// handleRelay processes what a note contains from the store. A relay that does not fit into the
// buffer is dropped and later read from the store.
func (p *peers) handleRelay(n *schema.PeerNote) {
	if n.Endpoints != nil {
		if err := unpackPart(n.Endpoints); err != nil {
			p.d.count("relays_unreadable")
			p.d.log.Warn().Str("from", n.Address).Err(err).Msg("relay_unreadable")
			return
		}
		select {
		case p.relays <- relay{n.Endpoints, n.Address}:
		default:
			p.d.count("relays_dropped")
		}
	}
	p.d.configFetcher.hear(n.Address, n.ConfigVersion, n.FailureDomain == p.d.settings.Vm.FailureDomain)
}

// relayServer serves requests of other VMs.
type relayServer struct{ d *Daemon }

func (p *peers) relayHandler() http.Handler { return schema.NewRelayServer(&relayServer{p.d}) }
