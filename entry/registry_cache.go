package entry

import (
	"bytes"
	"compress/flate"
	"context"
	"maps"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/schema"
)

// registryCache holds this VM's copy of the endpoint registry. It serves snapshots to VMs that start
// and to VMs that the store refuses, which have no other source for changes that they missed.
type registryCache struct {
	mu      sync.Mutex
	records map[string]Record
	// next is the position to read from next; complete reports whether the records are the whole
	// registry.
	next     Position
	complete bool
	// transfers counts the snapshots being sent to other VMs.
	transfers int
	// packed is the compressed snapshot of packedAt, kept for the next VM that asks.
	packed   []byte
	packedAt Position
	// available is closed when a snapshot may have become available; nil if nobody waits.
	available chan struct{}
}

const (
	// maxTransfers limits how many VMs fetch a snapshot from one VM at the same time, since links
	// are narrow; the others wait or ask another VM.
	maxTransfers = 2
	// maxSources is the number of VMs asked before falling back to the store.
	maxSources = 3
	// maxSnapshotBytes limits the size of a decompressed snapshot.
	maxSnapshotBytes = 32 << 20
	// defaultLinkMbps is assumed for a VM whose settings name no link.
	defaultLinkMbps = 100
)

// apply merges records into the cache; full means that they replace its content.
func (g *registryCache) apply(records []Record, full bool, next Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if full {
		g.records = make(map[string]Record, len(records))
		g.complete = true
		g.signalLocked()
	}
	if !g.complete {
		return
	}
	g.next = next
	if g.packedAt != next {
		g.packed = nil
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(g.records, r.Key)
			continue
		}
		g.records[r.Key] = r
	}
}

// signalLocked wakes the calls that wait for a snapshot.
func (g *registryCache) signalLocked() {
	if g.available != nil {
		close(g.available)
		g.available = nil
	}
}

// invalidate marks the cache as incomplete: changes may have been missed.
func (g *registryCache) invalidate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.complete = false
}

// position returns the position up to which the cache is complete, zero if it is incomplete.
func (g *registryCache) position() Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.complete {
		return Position{}
	}
	return g.next
}

// keepPacked keeps a compressed snapshot that another VM sent, so that it can be passed on as it is.
func (g *registryCache) keepPacked(packed []byte, at Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.packed, g.packedAt = packed, at
}

// awaitSnapshot returns a snapshot as soon as there is one and counts a transfer. It returns nil if
// ctx ends before.
func (g *registryCache) awaitSnapshot(ctx context.Context, packed bool) (*schema.EndpointsReply, error) {
	for {
		reply, available := g.acquireSnapshot(packed)
		if reply != nil {
			if packed && len(reply.Packed) == 0 {
				if err := g.pack(reply); err != nil {
					g.releaseSnapshot()
					return nil, err
				}
			}
			return reply, nil
		}
		select {
		case <-available:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// acquireSnapshot returns a snapshot of the registry, packed if that is accepted and one is kept, and
// counts a transfer. If the cache is incomplete or maxTransfers are under way it returns a channel
// that is closed when that changes.
func (g *registryCache) acquireSnapshot(packed bool) (*schema.EndpointsReply, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.complete || g.transfers >= maxTransfers {
		if g.available == nil {
			g.available = make(chan struct{})
		}
		return nil, g.available
	}
	g.transfers++
	reply := &schema.EndpointsReply{Known: true, Next: g.next.Offset, Era: g.next.Era}
	if packed && g.packedAt == g.next && len(g.packed) > 0 {
		reply.Packed = g.packed
		return reply, nil
	}
	for _, r := range g.records {
		reply.Records = append(reply.Records, &schema.StoreRecord{Key: r.Key, Value: r.Value, Written: r.wireOffset(g.next.Era)})
	}
	return reply, nil
}

// pack compresses the records of a snapshot in place, and keeps the result.
func (g *registryCache) pack(reply *schema.EndpointsReply) error {
	b, err := proto.Marshal(&schema.EndpointsReply{Records: reply.Records})
	if err != nil {
		return err
	}
	packed, err := deflate(b, flate.BestSpeed)
	if err != nil {
		return err
	}
	g.keepPacked(packed, Position{Era: reply.Era, Offset: reply.Next})
	reply.Packed, reply.Records = packed, nil
	return nil
}

func (g *registryCache) releaseSnapshot() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transfers--
	g.signalLocked()
}

// unpackSnapshot decompresses the records of a snapshot in place.
func unpackSnapshot(reply *schema.EndpointsReply) error {
	if len(reply.Packed) == 0 {
		return nil
	}
	b, err := inflate(reply.Packed, maxSnapshotBytes)
	if err != nil {
		return err
	}
	var whole schema.EndpointsReply
	if err := proto.Unmarshal(b, &whole); err != nil {
		return err
	}
	reply.Records = whole.Records
	return nil
}

// maxSnapshotWait limits how long a VM may have its request for a snapshot wait.
const maxSnapshotWait = time.Second

// Endpoints implements schema.Relay.
func (s *relayServer) Endpoints(ctx context.Context, r *schema.EndpointsRequest) (*schema.EndpointsReply, error) {
	if r.Current && s.d.registryReadFailed(s.d.now()) {
		return &schema.EndpointsReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(millis(r.WaitMs), maxSnapshotWait))
	defer cancel()
	reply, err := s.d.registry.awaitSnapshot(ctx, r.AcceptsPacked)
	if err != nil {
		s.d.log.Error().Err(err).Msg("snapshot_unsendable")
		return nil, err
	}
	if reply == nil {
		return &schema.EndpointsReply{}, nil
	}
	// The response is written after this method returns.
	time.AfterFunc(s.d.transferTime(proto.Size(reply)), s.d.registry.releaseSnapshot)
	return reply, nil
}

// transferTime returns how long this VM's link takes to send a number of bytes.
func (d *Daemon) transferTime(size int) time.Duration {
	mbps := d.settings.Limits.LinkMbps
	if mbps <= 0 {
		mbps = defaultLinkMbps
	}
	return time.Duration(float64(size) * 8 / (mbps * 1e6) * float64(time.Second))
}

// restoreDiff returns the difference between the cached registry and the one read after the store
// was restored from a backup. It is for VMs with the same cached position: without it all of them
// would read the whole registry in the same second. A difference too large for one note is replaced
// by the position alone, and the receivers read the store.
func (g *registryCache) restoreDiff(records []Record, before, next Position) *schema.EndpointRelay {
	g.mu.Lock()
	defer g.mu.Unlock()
	relay := &schema.EndpointRelay{From: next.Offset, Next: next.Offset, Era: next.Era}
	if !g.complete || g.next != before {
		return relay
	}
	missing := maps.Clone(g.records)
	size := 0
	for _, r := range records {
		if known, ok := missing[r.Key]; !ok || !bytes.Equal(known.Value, r.Value) {
			relay.Records = append(relay.Records, &schema.StoreRecord{Key: r.Key, Value: r.Value, Written: r.wireOffset(next.Era)})
			size += len(r.Key) + len(r.Value)
		}
		delete(missing, r.Key)
	}
	for key := range missing {
		relay.Records = append(relay.Records, &schema.StoreRecord{Key: key})
		size += len(key)
	}
	if size > relayPartBytes {
		relay.Records = nil
		return relay
	}
	relay.Before = &schema.StorePosition{Era: before.Era, Offset: before.Offset}
	return relay
}
