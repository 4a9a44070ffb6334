package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/bootstrap"
	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/schema"
)

// startingVM returns a daemon that has not read anything yet, and whose only reachable source is the
// VM at the given address.
func startingVM(t *testing.T, source string) *Daemon {
	set := testSettings(t, false)
	var domain []string
	for port := 1; ; port += 4 {
		domain = []string{source}
		for i := range 3 {
			domain = append(domain, fmt.Sprint("127.0.0.1:", port+i))
		}
		set.Listen.Peers = fmt.Sprint("127.0.0.1:", port+3)
		if p := bootstrap.New(set.Listen.Peers, domain); !p.ReadsStore && slices.Contains(p.Sources, source) {
			break
		}
	}
	d := New(Options{Settings: set, Log: logging.New(io.Discard), Codec: stateCodec{}})
	var list []Record
	for _, a := range domain {
		list = append(list, Record{Key: a, Value: []byte(a + " " + set.Vm.FailureDomain + " 1786786484342")})
	}
	d.offerStartList(d.domainAddresses(list))
	return d
}

// sourceVM returns a daemon that serves its copy of the registry, and its address.
func sourceVM(t *testing.T) (*Daemon, string) {
	d := New(Options{Settings: testSettings(t, false), Log: logging.New(io.Discard), Codec: stateCodec{}})
	s := httptest.NewServer(d.peers.relayHandler())
	t.Cleanup(s.Close)
	return d, strings.TrimPrefix(s.URL, "http://")
}

var oneEndpoint = readResult{records: []Record{{Key: "e", Value: []byte(listedReady)}}, full: true}

// Guards against starts of all VMs in which each reads the whole registry from the store. A VM that
// is no reader takes it from another, and waits for one that is starting too.
func TestStartingVMFetchesRegistryFromOthers(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond} {
		is := is.New(t)
		source, address := sourceVM(t)
		time.AfterFunc(delay, func() { source.applyEndpoints(oneEndpoint, Position{Offset: 5}) })
		d := startingVM(t, address)
		c := feedCursor{feed: FeedEndpoints}
		is.True(d.bootstrapEndpoints(t.Context(), &c))
		is.Equal(c.next, Position{Offset: 5})
		is.True(c.known && c.readBefore)
		f := &registryFollower{Daemon: d}
		is.Equal(f.usable(), map[string]bool{"e": true})
		is.Equal(d.registry.position(), Position{Offset: 5})
	}
}

// A VM that has lost the store does not pass its copy on to VMs that start: they may reach the store.
func TestOutdatedRegistryIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	source, address := sourceVM(t)
	source.applyEndpoints(oneEndpoint, Position{Offset: 5})
	source.registryLostAt.Store(int64(source.now()))
	d := startingVM(t, address)
	_, _, err := d.peers.fetchEndpointsFrom(t.Context(), address, &schema.EndpointsRequest{AcceptsPacked: true, Current: true})
	is.True(err != nil)
	_, at, err := d.peers.fetchEndpointsFrom(t.Context(), address, &schema.EndpointsRequest{AcceptsPacked: true})
	is.NoErr(err)
	is.Equal(at, Position{Offset: 5})
}

// What a VM was sent it passes on as it is, and only for the position that it belongs to.
func TestSnapshotIsPackedOncePerPosition(t *testing.T) {
	is := is.New(t)
	source, _ := sourceVM(t)
	source.applyEndpoints(oneEndpoint, Position{Offset: 5})
	snapshot := func() *schema.EndpointsReply {
		reply, err := source.registry.awaitSnapshot(t.Context(), true)
		is.NoErr(err)
		source.registry.releaseSnapshot()
		return reply
	}
	first, second := snapshot(), snapshot()
	is.True(&first.Packed[0] == &second.Packed[0])
	source.applyEndpoints(readResult{records: []Record{{Key: "f", Value: []byte(listedReady)}}}, Position{Offset: 6})
	third := snapshot()
	is.NoErr(unpackSnapshot(third))
	is.Equal(len(third.Records), 2)
	is.Equal(third.Next, uint64(6))
}

// VMs that fetch at the same time wait for each other: a narrow link carries few copies at once.
func TestTransfersWaitForEachOther(t *testing.T) {
	is := is.New(t)
	source, _ := sourceVM(t)
	source.applyEndpoints(oneEndpoint, Position{Offset: 5})
	for range maxTransfers {
		reply, _ := source.registry.acquireSnapshot(true)
		is.True(reply != nil)
	}
	time.AfterFunc(50*time.Millisecond, source.registry.releaseSnapshot)
	reply, err := source.registry.awaitSnapshot(t.Context(), true)
	is.NoErr(err)
	is.True(reply.Known)
}

// Guards against a starting VM that waits for a VM without power, which accepts no connection and
// refuses none, and has no time left to ask the others.
func TestSourceWithoutPowerIsPassedOver(t *testing.T) {
	is := is.New(t)
	source, address := sourceVM(t)
	source.applyEndpoints(oneEndpoint, Position{Offset: 5})
	d := startingVM(t, address)
	dial := d.opts.Dial
	d.opts.Dial = func(ctx context.Context, network, to string) (net.Conn, error) {
		if to == address {
			return dial(ctx, network, to)
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	start := time.Now()
	is.True(d.bootstrapEndpoints(t.Context(), &feedCursor{feed: FeedEndpoints}))
	is.True(time.Since(start) < 1500*time.Millisecond)
}

// BenchmarkSnapshot measures what a source does for one VM that starts, with 3,000 endpoints.
func BenchmarkSnapshot(b *testing.B) {
	var g registryCache
	var records []Record
	for i := range 3000 {
		records = append(records, Record{Key: fmt.Sprint("e", i), Value: make([]byte, 250)})
	}
	g.apply(records, true, Position{Offset: 1})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.awaitSnapshot(b.Context(), true); err != nil {
			b.Fatal(err)
		}
		g.releaseSnapshot()
	}
}

// slowConn is a connection that receives a number of bytes a second.
type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), c.bytesPerSecond/50)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	return n, err
}

// Guards against a registry that never arrives over a narrow link: cut at a fixed time and begun again.
func TestLargeRegistryOverNarrowLink(t *testing.T) {
	is := is.New(t)
	source, address := sourceVM(t)
	random := rand.NewChaCha8([32]byte{})
	var records []Record
	for i := range 1000 {
		value := make([]byte, 100)
		_, _ = random.Read(value)
		records = append(records, Record{Key: fmt.Sprint("e", i), Value: value})
	}
	source.registry.apply(records, true, Position{Offset: 5})
	d := startingVM(t, address)
	dial := d.opts.Dial
	d.opts.Dial = func(ctx context.Context, network, to string) (net.Conn, error) {
		c, err := dial(ctx, network, to)
		if err != nil {
			return nil, err
		}
		return &slowConn{c, 25_000}, nil
	}
	is.True(d.bootstrapEndpoints(t.Context(), &feedCursor{feed: FeedEndpoints}))
	is.Equal(d.registry.position(), Position{Offset: 5})
}
