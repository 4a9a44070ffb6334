package poison

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/schema"
)

const (
	// storeKeyPrefix starts the keys of convictions in the store.
	storeKeyPrefix = "suspect-"
	// storeQueueSize limits the convictions waiting to be written; each takes three ends of endpoints.
	storeQueueSize = 64
)

// IsStoreKey reports whether a key of the store is that of a conviction.
func IsStoreKey(key string) bool { return strings.HasPrefix(key, storeKeyPrefix) }

// StoredRecord is the record of a conviction in the store.
type StoredRecord struct {
	Key   string
	Value []byte
}

// LoadStored loads the convictions in the store, once per process; it is called by one goroutine. Later
// ones arrive in notes; the store's records carry no age, since no clock that could tell it can be trusted.
func (g *Guard) LoadStored(records []StoredRecord) {
	if g.storeRead {
		return
	}
	g.storeRead = true
	var list []*schema.Suspect
	for _, r := range records {
		if !IsStoreKey(r.Key) || len(r.Value) == 0 {
			continue
		}
		m := &schema.Suspect{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			g.Log.Warn().Str("key", r.Key).Err(err).Msg("suspect_unreadable")
			continue
		}
		list = append(list, m)
	}
	g.merge(list, learnedStore)
}

// ToStore receives the convictions whose record in the store is to be written or removed, which
// EncodeStored returns.
func (g *Guard) ToStore() <-chan suspect.Digest { return g.storeQueue }

// EncodeStored returns the store's record of a request or part; it has no value if that is no longer
// convicted.
func (g *Guard) EncodeStored(d suspect.Digest) (StoredRecord, error) {
	g.mu.Lock()
	r, ok := g.tracker.RecordOf(g.Now(), d)
	convicted := ok && g.tracker.Status(d).Level >= suspect.ConvictionLevel
	g.mu.Unlock()
	stored := StoredRecord{Key: storeKeyPrefix + d.String()}
	if !convicted {
		return stored, nil
	}
	r.Age = 0
	var err error
	stored.Value, err = proto.Marshal(toWire(r))
	return stored, err
}

// RecordNotStored records that a conviction could not be written, so that it is tried again.
func (g *Guard) RecordNotStored(d suspect.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.stored, d)
}

// RewriteStored queues convictions again that a restore of the store may have lost.
func (g *Guard) RewriteStored() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.stored)
	g.storeConvicted()
}

// updateStored queues a new conviction, or the end of one, for writing to the store if this VM saw
// it. The caller holds the lock.
func (g *Guard) updateStored(c suspect.Change, learned string) {
	switch {
	case c.WasConvicted():
		delete(g.stored, c.Digest)
		if learned == learnedSeen {
			g.enqueueStore(c.Digest)
		}
	case c.Kind != suspect.Convicted:
	case learned == learnedStore:
		g.stored[c.Digest] = true
	case learned == learnedSeen:
		g.stored[c.Digest] = true
		g.enqueueStore(c.Digest)
	}
}

// storeConvicted queues convictions received from other VMs for writing if this VM reads the store
// for its failure domain. The VM that saw one may be lost before it has written it, and the
// conviction with it if all VMs are killed while the store is away. The caller holds the lock.
func (g *Guard) storeConvicted() {
	convicted := g.tracker.ConvictedDigests()
	if len(convicted) == 0 || !g.IsStoreReader() {
		return
	}
	for _, d := range convicted {
		if !g.stored[d] {
			g.stored[d] = true
			g.enqueueStore(d)
		}
	}
}

// enqueueStore queues the writing or removal of a conviction's record. The caller holds the lock.
func (g *Guard) enqueueStore(d suspect.Digest) {
	select {
	case g.storeQueue <- d:
	default:
		delete(g.stored, d)
		g.Count("suspects_unkept")
		g.Log.Warn().Stringer("digest", d).Msg("suspect_unkept")
	}
}
