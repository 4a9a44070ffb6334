package entry

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/schema"
)

const (
	// aliveTimeout is how long after its last note a VM counts as alive, or aliveNotes of
	// its usual times between two notes, which are longer in large failure domains. Few
	// notes are lost.
	aliveTimeout   = time.Second
	aliveIntervals = 4
	// unseenTimeout is how long a VM that was never heard counts as alive after it was learned
	// of: notes come in turns, seconds apart in a large failure domain.
	unseenTimeout = 4 * time.Second
	// intervalWeight is the weight of one time between two notes in the usual one.
	intervalWeight = 0.2
	// configFetchTimeout bounds the fetching of a configuration from another VM.
	configFetchTimeout = 700 * time.Millisecond
	// readerHashKey is hashed with the VMs' addresses to choose the reader.
	readerHashKey = "store-reader"
)

// isStoreReader says whether this VM isStoreReader the store for its failure domain: the first
// by rendezvous hashing of those alive that did not fail to read it. VMs may disagree
// for a moment; then two read, or none does and each isStoreReader for itself after a while.
// VMs that were not heard yet count: in the first seconds each VM has heard few others,
// and each would read for its failure domain.
func (p *peers) isStoreReader() bool {
	now := p.d.now()
	if p.d.registryLost(now) {
		return false
	}
	own := rendezvous.Hash(readerHashKey, p.d.settings.Listen.Peers)
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pe := range p.addrs {
		if pe.presumedAlive(now) && pe.domain == p.d.settings.Vm.FailureDomain && !pe.storeLost && rendezvous.Hash(readerHashKey, address) > own {
			return false
		}
	}
	return true
}

// isAlive says whether the VM counts as alive.
func (pe *peer) isAlive(now time.Duration) bool {
	return pe.heard > 0 && now-pe.heard < max(aliveTimeout, aliveIntervals*pe.every)
}

// presumedAlive says whether the VM is alive as far as is known, heard or not yet.
func (pe *peer) presumedAlive(now time.Duration) bool {
	return pe.isAlive(now) || pe.heard == 0 && now-pe.learned < unseenTimeout
}

// recordContact notes that the VM spoke. A silence counts as no more than aliveFor, or a VM that
// was away would count as alive for long after.
func (pe *peer) recordContact(now time.Duration) {
	if pe.heard > 0 {
		pe.every += time.Duration(intervalWeight * float64(min(now-pe.heard, aliveIntervals*aliveTimeout)-pe.every))
	}
	pe.heard, pe.silent = now, false
}

// configWatched says whether a VM of this failure domain follows the
// configuration in the store. In the first moments of a process none was heard yet, and
// the one that should is taken to.
func (p *peers) configWatched() bool {
	now := p.d.now()
	if now < aliveTimeout {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pe := range p.addrs {
		if pe.isAlive(now) && pe.domain == p.d.settings.Vm.FailureDomain && pe.followsConfig {
			return true
		}
	}
	return false
}

func (p *peers) setFollowsConfig(v bool) { p.follows.Store(v) }

// relayPartBytes is about how much of the registry one note passes on before it is packed;
// longer notes are not sent. When all endpoints start, 82 and more change between two reads.
const relayPartBytes = maxDatagram / 2

// maxUnpackedBytes bounds the records of one note, in bytes.
const maxUnpackedBytes = 4 * maxDatagram

// packPart compresses a part's records, which are much alike, to a fifth or less. The reader
// sends each part to all of its failure domain at once: unpacked they fill its link, most notes
// are lost, and all read the store instead.
func packPart(part *schema.EndpointRelay) (*schema.EndpointRelay, error) {
	if len(part.Records) == 0 {
		return part, nil
	}
	b, err := proto.Marshal(&schema.EndpointRelay{Records: part.Records})
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return &schema.EndpointRelay{From: part.From, Next: part.Next, Era: part.Era, Before: part.Before, Packed: out.Bytes()}, nil
}

// unpackPart puts a packed part's records back.
func unpackPart(part *schema.EndpointRelay) error {
	if len(part.Packed) == 0 {
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(part.Packed)), maxUnpackedBytes))
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

// splitParts divides what was read of the registry into parts that fit into notes. Each part
// covers a span of offsets, so that a VM that misses one knows from the next; without
// records the only part says that the span was read. The i-th record is that at offset
// from+i; changed are the indexes of those to pass on.
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
		part.Records = append(part.Records, &schema.StoreRecord{Key: r.Key, Value: r.Value})
	}
	part.Next = next.Offset
	return parts
}

// relayParts passes on to the VMs of the own failure domain what was read of the registry.
func (p *peers) relayParts(parts []*schema.EndpointRelay) {
	to := p.domain()
	for _, part := range parts {
		packed, err := packPart(part)
		if err != nil {
			p.d.log.Error().Err(err).Msg("relay_unsendable")
			return
		}
		n := p.note()
		n.Endpoints = packed
		p.writeAll(p.encode(n), to)
	}
}

// handleRelay takes what a note says of the store. What does not fit into the
// buffers is lost, and read from the store later.
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
	t := p.d.table.Load()
	if n.ConfigVersion == 0 || t != nil && t.Document.Version >= n.ConfigVersion {
		return
	}
	select {
	case p.hints <- configHint{n.Address, n.ConfigVersion}:
	default:
	}
}

// fetchConfig asks a VM for the configuration that it serves by.
func (p *peers) fetchConfig(ctx context.Context, h configHint) (*Record, []*schema.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	var current uint64
	if t := p.d.table.Load(); t != nil {
		current = t.Document.Version
	}
	client := schema.NewRelayProtobufClient("http://"+h.address, p.client)
	reply, err := client.Config(ctx, &schema.ConfigRequest{NewerThan: current})
	if err != nil || reply.Record == nil {
		return nil, reply.GetRollouts(), err
	}
	return &Record{Key: reply.Record.Key, Value: reply.Record.Value}, reply.Rollouts, nil
}

// relayServer answers other VMs.
type relayServer struct{ d *Daemon }

func (p *peers) relayHandler() http.Handler { return schema.NewRelayServer(&relayServer{p.d}) }

// Config implements schema.Relay.
func (s *relayServer) Config(_ context.Context, r *schema.ConfigRequest) (*schema.ConfigReply, error) {
	t, rec := s.d.table.Load(), s.d.configRecord.Load()
	if t == nil || rec == nil || t.Document.Version <= r.NewerThan {
		return &schema.ConfigReply{}, nil
	}
	return &schema.ConfigReply{Record: &schema.StoreRecord{Key: rec.Key, Value: rec.Value}, Rollouts: s.d.rollouts.describe()}, nil
}
