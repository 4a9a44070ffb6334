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

	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"

	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

const (
	// maxBatchMessages bounds the messages of one exchange.
	maxBatchMessages = 512
	// overlapAfter is how long an unanswered exchange holds up the next one.
	overlapAfter = 500 * time.Millisecond
	// maxOverlapping bounds the exchanges with one peer at a time.
	maxOverlapping = 4
	// exchangesPerLease limits an exchange to this fraction of a lease, so that a
	// lost one does not end the lease.
	exchangesPerLease  = 3
	watchRetryInterval = 50 * time.Millisecond
)

// link is the connection to one peer.
type link struct {
	peer     *schema.Peer
	outgoing chan *schema.Message
	// incarnation is the peer's incarnation as known to the core.
	incarnation atomic.Uint64
	// unanswered counts the exchanges since the last answer that ended without
	// one.
	unanswered atomic.Int64
}

func newLink(p *schema.Peer) *link {
	return &link{peer: p, outgoing: make(chan *schema.Message, linkBuffer)}
}

func (d *Daemon) startPeers(ctx context.Context) {
	for _, l := range d.links {
		d.group.Go(func() error { return d.exchangeLoop(ctx, l) })
		if l.peer.FailureDomain == d.settings.Vm.FailureDomain {
			d.group.Go(func() error { return d.watch(ctx, l) })
		}
	}
}

// exchangeLoop sends the messages queued for a peer. Messages queued during an
// exchange form the next batch. An exchange that a late peer has not answered
// yet goes on beside the next ones: its answer counts when it comes.
func (d *Daemon) exchangeLoop(ctx context.Context, l *link) error {
	client := schema.NewPeerServiceProtobufClient(d.peerURL(l), &keyedClient{http: d.exchangeHTTP, key: d.settings.Keys.Peer})
	slots := make(chan struct{}, maxOverlapping)
	for {
		select {
		case <-ctx.Done():
			return nil
		case slots <- struct{}{}:
		}
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.outgoing:
			env := &schema.Envelope{From: d.settings.Vm.Id, Incarnation: d.incarnation, Messages: gatherBatch(ctx, l, m)}
			answered := make(chan struct{})
			d.group.Go(func() error {
				defer func() { <-slots }()
				defer close(answered)
				d.exchangeOnce(ctx, client, l, env)
				return nil
			})
			waitFor(ctx, answered, overlapAfter)
		}
	}
}

// waitFor waits until done is closed, for at most d.
func waitFor(ctx context.Context, done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// exchangeTimeout returns how long a peer may take to answer an exchange.
func (d *Daemon) exchangeTimeout() time.Duration {
	return max(overlapAfter, d.settings.Lease/exchangesPerLease)
}

// gatherBatch collects queued messages. Deferrable messages wait for up to
// batchDelay so that more of them share an exchange, whose cost is mostly
// fixed.
func gatherBatch(ctx context.Context, l *link, first *schema.Message) []*schema.Message {
	batch := []*schema.Message{first}
	delay := time.NewTimer(batchDelay)
	defer delay.Stop()
	for urgent := !isDeferrable(first); len(batch) < maxBatchMessages; {
		if urgent {
			select {
			case m := <-l.outgoing:
				batch = append(batch, m)
				continue
			default:
				return batch
			}
		}
		select {
		case m := <-l.outgoing:
			batch = append(batch, m)
			urgent = !isDeferrable(m)
		case <-delay.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// batchDelay is how long deferrable messages wait, well below the heartbeat
// interval.
const batchDelay = 40 * time.Millisecond

// isDeferrable reports whether nothing waits for a message.
func isDeferrable(m *schema.Message) bool {
	switch m.Body.(type) {
	case *schema.Message_Heartbeat, *schema.Message_Update, *schema.Message_UpdateAck,
		*schema.Message_Digest, *schema.Message_ConfigWant:
		return true
	}
	return false
}

func (d *Daemon) exchangeOnce(ctx context.Context, client schema.PeerService, l *link, env *schema.Envelope) {
	bound, cancel := context.WithTimeout(ctx, d.exchangeTimeout())
	defer cancel()
	d.count("peer.calls")
	start := time.Now()
	reply, err := client.Exchange(bound, env)
	d.recordExchange(ctx, l, err, time.Since(start))
	if err != nil {
		return
	}
	for _, m := range reply.Messages {
		d.push(ctx, core.PeerMessage{From: l.peer.Id, Incarnation: reply.Incarnation, Message: m})
	}
}

// recordExchange counts an exchange, and logs when a peer stops answering and
// when it answers again.
func (d *Daemon) recordExchange(ctx context.Context, l *link, err error, took time.Duration) {
	if err == nil {
		metrics.GetOrRegisterTimer("peer.time", d.metrics).Update(took)
		if failed := l.unanswered.Swap(0); failed > 0 {
			d.log.Info().Uint32("vm", l.peer.Id).Int64("unanswered", failed).Dur("took_ms", took).Msg("peer_answers")
		}
		return
	}
	if ctx.Err() != nil {
		return
	}
	d.count("peer.errors")
	if l.unanswered.Add(1) == 1 {
		d.log.Warn().Uint32("vm", l.peer.Id).Dur("took_ms", took).Err(err).Msg("peer_unanswered")
	}
}

func (d *Daemon) peerURL(l *link) string {
	if d.settings.Tls.CertificateFile != "" {
		return "https://" + l.peer.Address
	}
	return "http://" + l.peer.Address
}

// keyedClient adds the peer key to each request.
type keyedClient struct {
	http *http.Client
	key  string
}

// Do implements schema.HTTPClient.
func (k *keyedClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+k.key)
	return k.http.Do(r)
}

// Exchange implements schema.PeerService.
func (d *Daemon) Exchange(ctx context.Context, env *schema.Envelope) (*schema.Envelope, error) {
	if d.links[env.From] == nil {
		return nil, twirp.NewError(twirp.PermissionDenied, "unknown VM")
	}
	b := &peerBatch{from: env.From, incarnation: env.Incarnation, messages: env.Messages, reply: make(chan []*schema.Message, 1)}
	select {
	case d.events <- loopInput{batch: b}:
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Unavailable, "stopping")
	}
	select {
	case replies := <-b.reply:
		return &schema.Envelope{From: d.settings.Vm.Id, Incarnation: d.incarnation, Messages: replies}, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Unavailable, "stopping")
	}
}

// hasKey compares the bearer key of a request in constant time.
func hasKey(r *http.Request, key string) bool {
	got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(got), []byte(key)) == 1
}

func requireKey(key string, next http.Handler) http.Handler {
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
	mux.HandleFunc("GET /answer", d.servePlainResponse)
	return requireKey(d.settings.Keys.Peer, mux)
}

// serveWatch sends this process's incarnation and then keeps the connection
// open for the life of the process. Only the kernel closes it, so its end
// proves that this process is dead. The handler therefore returns only if the
// peer disconnects.
func (d *Daemon) serveWatch(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprintf(w, "%d\n", d.incarnation)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// watch keeps a watch open to a peer of the same failure domain and reports its
// end.
func (d *Daemon) watch(ctx context.Context, l *link) error {
	for ctx.Err() == nil {
		d.watchOnce(ctx, l)
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryInterval):
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
	client := &keyedClient{http: d.watchHTTP, key: d.settings.Keys.Peer}
	resp, err := client.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && d.settings.Claims.TrustConnectionClose {
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
	if ctx.Err() == nil && closedByKernel(err) && d.settings.Claims.TrustConnectionClose {
		d.log.Warn().Uint32("vm", l.peer.Id).Uint64("incarnation", inc).Msg("peer_closed")
		d.push(ctx, core.PeerClosed{VM: l.peer.Id, Incarnation: inc})
	}
}

// closedByKernel reports whether a watch ended because the peer's process died:
// the stream stops in mid-body or the connection is reset. A timeout or another
// network failure proves nothing.
func closedByKernel(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return false
	}
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// servePlainResponse returns to a peer the response of a plain service that
// this VM called.
func (d *Daemon) servePlainResponse(w http.ResponseWriter, r *http.Request) {
	key := request.Key{Organisation: r.URL.Query().Get("organisation"), ID: r.URL.Query().Get("id")}
	resp, ok := d.responses.get(key)
	if !ok {
		http.NotFound(w, r)
		return
	}
	p := resp.waitPlain(r.Context())
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

// waitPlain waits for the response of a plain service and returns nil if there
// is none.
func (b *responseBuffer) waitPlain(ctx context.Context) *plainResponse {
	for {
		p := b.readFrom(0)
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
