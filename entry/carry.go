package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/mechanism"
	"github.com/chivefield/chivefield/rendezvous"
	"github.com/chivefield/chivefield/timeout"
	"github.com/chivefield/chivefield/upstream"
)

// A VM whose link to the endpoints is lost has another VM, the carrier, open its connections and copy
// their bytes both ways. It asks by an HTTP upgrade at the carrier's address for other VMs, and names
// the incarnation of the endpoint, not an address.
const (
	carryPath     = "/carry"
	carryProtocol = "chivefield-carry"
	// headerIncarnation is the endpoint's hash, members.EndpointHash, in hexadecimal.
	headerIncarnation = "Chivefield-Incarnation"
)

const (
	// carryTimeout bounds the time to get a connection from one carrier, its own to the endpoint
	// included.
	carryTimeout = 2 * endpointDialTimeout
	// maxCarriersAsked is how many carriers are asked for one connection. The request that needs it
	// may still go to another endpoint.
	maxCarriersAsked = 2
	// carrierAvoidTime is how long a VM that did not answer, or had no room, is not asked to carry.
	carrierAvoidTime = time.Second
)

// CarryError reports that a VM did not carry a connection.
type CarryError struct {
	Carrier string
	// Status is the carrier's response; 0 if there was none.
	Status int
	Err    error
}

// Error implements error.
func (e *CarryError) Error() string {
	if e.Err != nil {
		return "carrier " + e.Carrier + ": " + e.Err.Error()
	}
	return "carrier " + e.Carrier + ": status " + itoa(e.Status)
}

// Unwrap returns the cause. A carrier to which the endpoint refused a connection reports what a
// direct connection would have shown.
func (e *CarryError) Unwrap() error {
	if e.Status == statusEndpointRefuses {
		return syscall.ECONNREFUSED
	}
	return e.Err
}

// concernsEndpoint reports whether the carrier has answered for the endpoint, as opposed to itself.
func (e *CarryError) concernsEndpoint() bool {
	return e.Status == statusEndpointRefuses || e.Status == statusEndpointUnreached || e.Status == statusEndpointUnknown
}

// EarlyBytesError reports a carried connection on which something came before a request was sent.
type EarlyBytesError struct{ Bytes int }

// Error implements error.
func (e *EarlyBytesError) Error() string { return itoa(e.Bytes) + " bytes before the request" }

// dialCarried opens a connection to an endpoint by way of another VM.
func (l *endpointLink) dialCarried(ctx context.Context, key string, carriers []*peer) (c upstream.Connection, err error) {
	for _, carrier := range carriers {
		l.d.count("carried_dials")
		var nc net.Conn
		if nc, err = l.askCarrier(ctx, key, carrier); err == nil {
			return upstream.Connection{Conn: nc, Carrier: carrier.address}, nil
		}
		if ctx.Err() != nil {
			return c, err
		}
		l.d.count("carried_dials_failed")
		var ce *CarryError
		if errors.As(err, &ce) && ce.concernsEndpoint() {
			return c, err
		}
		l.d.log.Info().Str("carrier", carrier.address).Err(err).Dur("for", carrierAvoidTime).Msg("carrier_avoided")
		l.d.peers.avoidCarrier(carrier, l.d.now()+carrierAvoidTime)
	}
	return c, err
}

// askCarrier has a VM open a connection to an endpoint.
func (l *endpointLink) askCarrier(ctx context.Context, key string, carrier *peer) (net.Conn, error) {
	askCtx, cancel := timeout.Context(ctx, carryTimeout)
	defer cancel()
	nc, err := l.d.opts.Dial(askCtx, "tcp", carrier.address)
	if err != nil {
		return nil, &CarryError{Carrier: carrier.address, Err: err}
	}
	stop := context.AfterFunc(askCtx, func() { _ = nc.Close() })
	err = upgrade(nc, key, carrier.address)
	if !stop() {
		err = &CarryError{Carrier: carrier.address, Err: context.Cause(askCtx)}
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return nc, nil
}

// upgrade asks at the other end of a connection for one to an endpoint, of which it becomes a part.
func upgrade(nc net.Conn, key, carrier string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+carrier+carryPath, http.NoBody)
	if err != nil {
		return &CarryError{Carrier: carrier, Err: err}
	}
	r.Header.Set("Connection", "Upgrade")
	r.Header.Set("Upgrade", carryProtocol)
	r.Header.Set(headerIncarnation, strconv.FormatUint(dispatch.EndpointHash(key), 16))
	if err := r.Write(nc); err != nil {
		return &CarryError{Carrier: carrier, Err: err}
	}
	br := bufio.NewReader(io.LimitReader(nc, maxPeerHeadBytes))
	resp, err := http.ReadResponse(br, r)
	if err != nil {
		return &CarryError{Carrier: carrier, Err: err}
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return &CarryError{Carrier: carrier, Status: resp.StatusCode}
	}
	if n := br.Buffered(); n > 0 {
		return &CarryError{Carrier: carrier, Err: &EarlyBytesError{Bytes: n}}
	}
	return nil
}

// carriers returns the VMs to ask for a connection to an endpoint, the preferred one first: the
// connections of all VMs that have lost their links spread over those that have not.
func (l *endpointLink) carriers(key string) []*peer {
	if l.d.settings.Disabled.Has(mechanism.Carriers) {
		return nil
	}
	able := l.d.peers.ableToCarry()
	rankKey := l.d.settings.Listen.Peers + " " + key
	var chosen []*peer
	for len(able) > 0 && len(chosen) < maxCarriersAsked {
		best, highest := 0, uint64(0)
		for i, pe := range able {
			if h := rendezvous.Hash(rankKey, pe.address); h >= highest {
				best, highest = i, h
			}
		}
		chosen = append(chosen, able[best])
		able = slices.Delete(able, best, best+1)
	}
	return chosen
}

// ableToCarry returns the VMs that are alive, reach endpoints and have not just failed to carry.
func (p *peers) ableToCarry() []*peer {
	now := p.d.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var able []*peer
	for _, pe := range p.byAddress {
		if pe.isAlive(now) && !pe.endpointsLost && now >= pe.avoidCarryUntil {
			able = append(able, pe)
		}
	}
	return able
}

// avoidCarrier excludes a VM from carrying until a time.
func (p *peers) avoidCarrier(pe *peer, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe.avoidCarryUntil = until
}
