package upstream

import "context"

// Reservation is an open connection to an endpoint for one request. It is not safe for concurrent use.
type Reservation struct {
	pool    *Pool
	conn    *conn
	address string
}

// Reserve opens a connection to an endpoint, or takes an idle one, for a request that is sent later.
func (p *Pool) Reserve(ctx context.Context, key, address string) (*Reservation, error) {
	c, err := p.get(ctx, key, address, false)
	if err != nil {
		return nil, &ExchangeError{Address: address, Stage: NotSent, Err: err}
	}
	return &Reservation{pool: p, conn: c, address: address}, nil
}

// Do sends a request on the reserved connection, once.
func (r *Reservation) Do(ctx context.Context, req *Request) (*Response, error) {
	c := r.conn
	r.conn = nil
	return r.pool.send(ctx, c, r.address, req)
}

// Release keeps a connection that was not used as an idle one.
func (r *Reservation) Release() {
	if r == nil || r.conn == nil {
		return
	}
	r.pool.keep(r.conn)
	r.conn = nil
}
