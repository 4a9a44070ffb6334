package daemon

import (
	"bufio"
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

const (
	// maxBatch bounds the messages of one call.
	maxBatch        = 512
	exchangeTimeout = 500 * time.Millisecond
	watchRetry      = 50 * time.Millisecond
)

// link is the way to one peer.
type link struct {
	peer *schema.Peer
	out  chan *schema.Message
	// incarnation is what the core knows of the peer.
	incarnation atomic.Uint64
}

func newLink(p *schema.Peer) *link {
	return &link{peer: p, out: make(chan *schema.Message, linkBuffer)}
}

func (d *Daemon) startPeers(ctx context.Context) {
	for _, l := range d.links {
		d.group.Go(func() error { return d.exchange(ctx, l) })
		if l.peer.FailureDomain == d.set.Vm.FailureDomain {
			d.group.Go(func() error { return d.watch(ctx, l) })
		}
	}
}

// exchange sends what waits for a peer, one call at a time, so that messages
// gather into batches by themselves while a call is under way.
func (d *Daemon) exchange(ctx context.Context, l *link) error {
	client := schema.NewPeerServiceProtobufClient(d.peerURL(l), &keyedClient{http: d.exchangeHTTP, key: d.set.Keys.Peer})
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.out:
			env := &schema.Envelope{From: d.set.Vm.Id, Incarnation: d.inc, Messages: gather(ctx, l, m)}
			d.call(ctx, client, l, env)
		}
	}
}

// gather takes what waits for a peer. Messages that nobody waits for are held
// back a little, for company: what a call costs is mostly the call itself.
func gather(ctx context.Context, l *link, first *schema.Message) []*schema.Message {
	batch := []*schema.Message{first}
	hold := time.NewTimer(holdBack)
	defer hold.Stop()
	for urgent := !canWait(first); len(batch) < maxBatch; {
		if urgent {
			select {
			case m := <-l.out:
				batch = append(batch, m)
				continue
			default:
				return batch
			}
		}
		select {
		case m := <-l.out:
			batch = append(batch, m)
			urgent = !canWait(m)
		case <-hold.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// holdBack is how long messages that can wait do so, well under a heartbeat's interval.
const holdBack = 40 * time.Millisecond

// canWait reports whether nobody waits for a message.
func canWait(m *schema.Message) bool {
	switch m.Body.(type) {
	case *schema.Message_Heartbeat, *schema.Message_Update, *schema.Message_UpdateAck,
		*schema.Message_Digest, *schema.Message_ConfigWant:
		return true
	}
	return false
}

func (d *Daemon) call(ctx context.Context, client schema.PeerService, l *link, env *schema.Envelope) {
	bound, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	d.count("peer.calls")
	reply, err := client.Exchange(bound, env)
	if err != nil {
		d.count("peer.errors")
		return
	}
	for _, m := range reply.Messages {
		d.push(ctx, core.PeerMessage{From: l.peer.Id, Incarnation: reply.Incarnation, Message: m})
	}
}

func (d *Daemon) peerURL(l *link) string {
	if d.set.Tls.CertificateFile != "" {
		return "https://" + l.peer.Address
	}
	return "http://" + l.peer.Address
}

// keyedClient adds the peers' key to each call.
type keyedClient struct {
	http *http.Client
	key  string
}

// Do implements the generated client's interface.
func (k *keyedClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+k.key)
	return k.http.Do(r)
}

// Exchange implements schema.PeerService.
func (d *Daemon) Exchange(ctx context.Context, env *schema.Envelope) (*schema.Envelope, error) {
	if d.links[env.From] == nil {
		return nil, twirp.NewError(twirp.PermissionDenied, "unknown VM")
	}
	b := &batch{from: env.From, inc: env.Incarnation, messages: env.Messages, reply: make(chan []*schema.Message, 1)}
	select {
	case d.events <- item{batch: b}:
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Unavailable, "stopping")
	}
	select {
	case back := <-b.reply:
		return &schema.Envelope{From: d.set.Vm.Id, Incarnation: d.inc, Messages: back}, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Unavailable, "stopping")
	}
}

// hasKey checks a bearer key in constant time.
func hasKey(r *http.Request, key string) bool {
	got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(got), []byte(key)) == 1
}

func guard(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hasKey(r, key) {
			writeError(w, http.StatusUnauthorized, "unauthenticated", "a valid key is needed")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(schema.PeerServicePathPrefix, schema.NewPeerServiceServer(d))
	mux.HandleFunc("GET /watch", d.serveWatch)
	mux.HandleFunc("GET /answer", d.serveAnswer)
	return guard(d.set.Keys.Peer, mux)
}

// serveWatch names this incarnation and then holds the connection for the life
// of the process. Its end, which only the kernel brings about, is the proof of
// this process's death; so this handler returns only if the peer is gone.
func (d *Daemon) serveWatch(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprintf(w, "%d\n", d.inc)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// watch holds a connection to a cell peer and reports its end.
func (d *Daemon) watch(ctx context.Context, l *link) error {
	for ctx.Err() == nil {
		d.watchOnce(ctx, l)
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
	return nil
}

func (d *Daemon) watchOnce(ctx context.Context, l *link) {
	before := l.incarnation.Load()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.peerURL(l)+"/watch", nil)
	if err != nil {
		return
	}
	client := &keyedClient{http: d.peerHTTP, key: d.set.Keys.Peer}
	resp, err := client.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && d.set.Claims.TrustConnectionClose {
			d.push(ctx, core.PeerNotListening{VM: l.peer.Id, Incarnation: before})
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	rd := bufio.NewReader(resp.Body)
	var inc uint64
	if _, err := fmt.Fscanf(rd, "%d\n", &inc); err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	_, err = rd.ReadByte()
	if ctx.Err() == nil && closedByKernel(err) && d.set.Claims.TrustConnectionClose {
		d.log.Warn().Uint32("vm", l.peer.Id).Uint64("incarnation", inc).Msg("peer_closed")
		d.push(ctx, core.PeerClosed{VM: l.peer.Id, Incarnation: inc})
	}
}

// closedByKernel tells the end of the peer's process from the end of a wait or
// of the network: the stream stops in mid-body, or a reset comes.
func closedByKernel(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return false
	}
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// serveAnswer gives a peer the answer of a plain service that was called here.
func (d *Daemon) serveAnswer(w http.ResponseWriter, r *http.Request) {
	key := request.Key{Organisation: r.URL.Query().Get("organisation"), ID: r.URL.Query().Get("id")}
	a, ok := d.answers.get(key)
	if !ok {
		http.NotFound(w, r)
		return
	}
	p := a.waitPlain(r.Context())
	if p == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", p.ContentType)
	w.Header().Set(headerStatus, fmt.Sprint(p.Status))
	_, _ = w.Write(p.Body)
}

// headerStatus carries a plain service's status between peers.
const headerStatus = "X-Answer-Status"

// waitPlain waits for the whole answer of a plain service; nil if there is none.
func (a *answer) waitPlain(ctx context.Context) *plainAnswer {
	for {
		p := a.from(0)
		if p.plain != nil || p.done {
			return p.plain
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return nil
		}
	}
}
