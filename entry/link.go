package entry

import (
	"context"
	"net"
	"time"

	"github.com/chivefield/chivefield/timeout"
)

// endpointDialTimeout bounds the opening of a connection to an endpoint. Round trips take a few ms
// within a region and up to 100 ms between distant ones. A lost SYN packet is retransmitted after a
// second, by when another endpoint has responded.
const endpointDialTimeout = 200 * time.Millisecond

// dialEndpoint opens a connection to an endpoint.
func (d *Daemon) dialEndpoint(ctx context.Context, _, address string) (net.Conn, error) {
	d.count("dials")
	dialCtx, cancel := timeout.Context(ctx, endpointDialTimeout)
	defer cancel()
	c, err := d.opts.Dial(dialCtx, "tcp", address)
	if err != nil && ctx.Err() == nil {
		d.count("dials_failed")
	}
	return c, err
}
