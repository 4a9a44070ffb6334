package entry

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivefield/chivefield/entry/callerconn"
	"github.com/chivefield/chivefield/upstream"
)

// connPair is a carried connection: the part to the VM and the part to the endpoint.
//
// Unless their peers ended them properly, both are reset when they are closed, whatever closes them,
// the end of this process included: where a response ends with its connection, a break must not look
// like that end.
//
// How long nothing may pass is for the VM to decide, which knows its callers' deadlines. One that has
// lost its power is noticed by the keep-alive probes of accepted connections.
type connPair struct {
	vm, ep         net.Conn
	sent, received atomic.Int64
	// upload writes to ep.
	upload *uploadWriter

	mu sync.Mutex
	// broken is set once the endpoint's part broke, so that the VM's must not look ended.
	broken bool
}

func newConnPair(vm, ep net.Conn) *connPair {
	return &connPair{vm: vm, ep: ep, upload: newUploadWriter(ep)}
}

// run tells the VM that the endpoint is reached and copies until both directions have ended.
func (p *connPair) run() error {
	if err := errors.Join(callerconn.SetLinger(p.vm, callerconn.ResetOnClose), callerconn.SetLinger(p.ep, callerconn.ResetOnClose)); err != nil {
		return err
	}
	if _, err := io.WriteString(p.vm, carryAccepted); err != nil {
		return err
	}
	return p.copyBothWays()
}

// close closes both parts.
func (p *connPair) close() {
	_ = p.vm.Close()
	_ = p.ep.Close()
}

// copyBothWays copies until both directions have ended, and returns the first error.
func (p *connPair) copyBothWays() error {
	var toVM error
	var wg sync.WaitGroup
	wg.Go(func() {
		toVM = p.copy(p.vm, p.ep, &p.received)
		if toVM == nil {
			toVM = p.endResponse()
		}
		if toVM != nil {
			p.close()
		}
	})
	toEndpoint := p.copy(p.upload, p.vm, &p.sent)
	if toEndpoint == nil {
		// The VM has closed its connection, as it would a direct one.
		toEndpoint = callerconn.SetLinger(p.ep, callerconn.SendOnClose)
	} else {
		p.breakOff()
	}
	p.close()
	wg.Wait()
	if errors.Is(toVM, net.ErrClosed) {
		// The other direction ended first.
		return toEndpoint
	}
	return toVM
}

// copy copies from one part to the other until the first ends.
func (p *connPair) copy(to io.Writer, from net.Conn, n *atomic.Int64) error {
	buf := make([]byte, carryBufferSize)
	for {
		size, err := from.Read(buf)
		if size > 0 {
			written, werr := to.Write(buf[:size])
			n.Add(int64(written))
			if werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// endResponse passes on to the VM that the endpoint has ended its half of the connection, unless that end is a reset
// whose error a write to the endpoint has taken.
func (p *connPair) endResponse() error {
	if err := p.upload.outcome(upstream.UploadOutcomeTimeout); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken {
		return nil
	}
	return endWriting(p.vm)
}

// breakOff has the VM's part reset when it is closed, also after the endpoint ended its half.
func (p *connPair) breakOff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = true
	// A part that cannot be set is closed all the same, and its VM sees the end of a response that it still writes.
	_ = callerconn.SetLinger(p.vm, callerconn.ResetOnClose)
}

// endWriting passes on that the other side has ended its connection properly.
func endWriting(c net.Conn) error {
	if err := callerconn.SetLinger(c, callerconn.SendOnClose); err != nil {
		return err
	}
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// uploadWriter writes to an endpoint and keeps the error that a write met.
type uploadWriter struct {
	ep net.Conn
	// turn holds an element while a write is in progress; err may be used by whoever put it there.
	turn chan struct{}
	err  error
}

func newUploadWriter(ep net.Conn) *uploadWriter {
	return &uploadWriter{ep: ep, turn: make(chan struct{}, 1)}
}

// Write implements io.Writer.
func (w *uploadWriter) Write(b []byte) (int, error) {
	w.turn <- struct{}{}
	defer func() { <-w.turn }()
	n, err := w.ep.Write(b)
	w.err = err
	return n, err
}

// outcome returns the error of the last write, nil if it is still in progress after the timeout.
func (w *uploadWriter) outcome(timeout time.Duration) error {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case w.turn <- struct{}{}:
		defer func() { <-w.turn }()
		return w.err
	case <-t.C:
		return nil
	}
}
