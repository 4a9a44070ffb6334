package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/upstream"
)

// Statuses with which a carrier says why it does not carry, beside 403 and 503.
const (
	statusEndpointUnknown   = http.StatusNotFound
	statusEndpointRefuses   = http.StatusGone
	statusEndpointUnreached = http.StatusBadGateway
)

const (
	// maxCarried bounds the connections that this VM carries for others. Each takes two descriptors,
	// of some thousands that a VM has, and about 20 KiB of memory.
	maxCarried = 256
	// carryBufferSize is how much is read of one connection before it is written to the other. What a
	// reader does not take waits in the buffers of the connections, up to its sender.
	carryBufferSize = 4 << 10
)

// carryAccepted is the response after which the connection is one to the endpoint.
const carryAccepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + carryProtocol + "\r\n\r\n"

// carrier copies bytes between endpoints and VMs whose links to the endpoints are lost.
type carrier struct {
	d *Daemon
	// carried is the number of connections that are carried now.
	carried atomic.Int64
}

// ServeHTTP opens a connection to the endpoint that a request names and makes the request's
// connection a part of it.
func (c *carrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.carried.Add(1) > maxCarried {
		c.carried.Add(-1)
		c.refuse(w, r, http.StatusServiceUnavailable, nil)
		return
	}
	defer c.carried.Add(-1)
	if status := c.mayCarry(r); status != http.StatusOK {
		c.refuse(w, r, status, nil)
		return
	}
	key, address, ok := c.target(r)
	if !ok {
		c.refuse(w, r, statusEndpointUnknown, nil)
		return
	}
	ep, err := c.d.link.dialDirect(r.Context(), key, address)
	if err != nil {
		status := statusEndpointUnreached
		if upstream.IsConnectionRefused(err) {
			status = statusEndpointRefuses
		}
		c.refuse(w, r, status, err)
		return
	}
	c.carry(w, r, key, ep)
}

// mayCarry returns the status with which a request is refused whatever endpoint it names; 200 if it
// is not. Only VMs of the deployment are served, and a VM that has lost its own link, or shuts down,
// carries nothing.
func (c *carrier) mayCarry(r *http.Request) int {
	switch {
	case r.Method != http.MethodPost || r.Header.Get("Upgrade") != carryProtocol:
		return http.StatusBadRequest
	case !c.d.peers.isKnownHost(r.RemoteAddr):
		return http.StatusForbidden
	case c.d.draining.Load() || c.d.link.failed():
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// carrierDrainInterval is how often a VM that shuts down looks whether it still carries connections.
const carrierDrainInterval = 50 * time.Millisecond

// drain waits until no connection is carried or ctx ends, and returns how many still are.
func (c *carrier) drain(ctx context.Context) int64 {
	t := time.NewTicker(carrierDrainInterval)
	defer t.Stop()
	for {
		n := c.carried.Load()
		if n == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return n
		case <-t.C:
		}
	}
}

// target returns the incarnation that a request names, if the registry lists it.
func (c *carrier) target(r *http.Request) (key, address string, ok bool) {
	hash, err := strconv.ParseUint(r.Header.Get(headerIncarnation), 16, 64)
	if err != nil {
		return "", "", false
	}
	return c.d.sched.lookup(hash)
}

func (c *carrier) refuse(w http.ResponseWriter, r *http.Request, status int, err error) {
	c.d.count("carries_refused")
	c.d.log.Info().Str("from", r.RemoteAddr).Str("endpoint_hash", r.Header.Get(headerIncarnation)).Int("status", status).Err(err).Msg("carry_refused")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// carry copies between the connection of a request and one to an endpoint until both have ended.
func (c *carrier) carry(w http.ResponseWriter, r *http.Request, key string, ep net.Conn) {
	vm, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = ep.Close()
		c.refuse(w, r, http.StatusInternalServerError, err)
		return
	}
	c.d.count("carried")
	started := time.Now()
	p := newConnPair(vm, ep)
	stop := context.AfterFunc(r.Context(), p.close)
	defer stop()
	defer p.close()
	if n := buffered.Reader.Buffered(); n > 0 {
		err = &EarlyBytesError{Bytes: n}
	} else {
		err = p.run()
	}
	c.d.log.Info().Str("from", r.RemoteAddr).Str("endpoint", key).Int64("sent", p.sent.Load()).Int64("received", p.received.Load()).
		Dur("took", time.Since(started)).Err(err).Msg("carried")
}
