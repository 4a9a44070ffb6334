package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chivefield/chivefield/schema"
)

// registry keeps the records of the registry of endpoints as this VM knows them, for
// VMs that have missed some: one that the store turns away has no other source, and
// when all VMs start at once their reading of the whole registry would take the store
// longer the more there are.
type registry struct {
	mu      sync.Mutex
	records map[string]Record
	// next is the offset to read on from; known says that the records are whole.
	next  uint64
	known bool
	// serving counts VMs that are being served.
	serving int
}

const (
	// maxServing bounds the VMs that get the whole registry from one at the same time,
	// since links are narrow; others ask elsewhere.
	maxServing = 2
	// sources is how many VMs are asked before the store is.
	sources = 3
)

// take takes in records; whole says that they are all.
func (g *registry) take(records []Record, whole bool, next uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if whole {
		g.records = make(map[string]Record, len(records))
		g.known = true
	}
	if !g.known {
		return
	}
	g.next = next
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(g.records, r.Key)
			continue
		}
		g.records[r.Key] = r
	}
}

// lose says that records may have been missed.
func (g *registry) lose() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known = false
}

// position is the offset up to which this VM knows the registry; 0 if it does not.
func (g *registry) position() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known {
		return 0
	}
	return g.next
}

// reply is the whole registry, nil if it is not known or too many are being served.
func (g *registry) reply() *schema.EndpointsReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known || g.serving >= maxServing {
		return nil
	}
	g.serving++
	reply := &schema.EndpointsReply{Known: true, Next: g.next}
	for _, r := range g.records {
		reply.Records = append(reply.Records, &schema.StoreRecord{Key: r.Key, Value: r.Value})
	}
	return reply
}

func (g *registry) served() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serving--
}

// Endpoints implements schema.Relay.
func (s *relayServer) Endpoints(_ context.Context, _ *schema.EndpointsRequest) (*schema.EndpointsReply, error) {
	reply := s.d.registry.reply()
	if reply == nil {
		return &schema.EndpointsReply{}, nil
	}
	// The answer is written after this returns; the time of a write stands for it.
	time.AfterFunc(servingTime, s.d.registry.served)
	return reply, nil
}

// servingTime is how long one answer is taken to be on its way.
const servingTime = 50 * time.Millisecond

// fetchEndpoints gets the whole registry, as of an offset or later, from a VM that
// knows it, the one that spoke of the offset among them.
func (p *peers) fetchEndpoints(ctx context.Context, offset uint64, speaker string) ([]Record, uint64, error) {
	err := error(&NoSourceError{Offset: offset})
	for _, address := range p.sourcesOf(offset, speaker) {
		records, next, ferr := p.fetchEndpointsFrom(ctx, address)
		if ferr == nil && next >= offset {
			return records, next, nil
		}
		if ferr != nil {
			err = ferr
		}
	}
	return nil, 0, err
}

func (p *peers) fetchEndpointsFrom(ctx context.Context, address string) ([]Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := schema.NewRelayProtobufClient("http://"+address, p.client).Endpoints(ctx, &schema.EndpointsRequest{})
	if err != nil {
		return nil, 0, err
	}
	if !reply.Known {
		return nil, 0, &NoSourceError{Address: address}
	}
	return relayed(reply.Records), reply.Next, nil
}

// sourcesOf are VMs of the own failure domain that know the registry up to an offset,
// in any order.
func (p *peers) sourcesOf(offset uint64, speaker string) []string {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []string{speaker}
	for a, pe := range p.addrs {
		if a != speaker && pe.domain == p.d.set.Vm.FailureDomain && pe.heardLately(now) && pe.registry >= offset {
			list = append(list, a)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(sources, len(list))]
}
