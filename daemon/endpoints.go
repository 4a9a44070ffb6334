package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/endpoint"
	"github.com/chivefield/chivefield/schema"
)

// progressInterval is the minimum time between two progress events of a stream.
const progressInterval = 250 * time.Millisecond

// dispatch sends a granted request to its endpoint, once.
func (d *Daemon) dispatch(ctx context.Context, ef core.Dispatch) {
	c := d.requestByHandle(ef.Handle)
	rules := d.rulesOf(c)
	e := findEndpoint(rules.Document, ef.Endpoint)
	if c == nil || e == nil {
		d.pushAsync(ctx, core.Ended{Handle: ef.Handle, End: core.NotAccepted})
		return
	}
	d.log.Info().Str("request", c.spec.Key.String()).Uint32("tier", uint32(c.spec.Tier)).
		Str("endpoint", ef.Endpoint).Str("stream", ef.Stream).Str("candidates", formatCandidates(ef)).Msg("dispatch")
	d.count("dispatches")
	runCtx, cancel := context.WithCancel(ctx)
	c.setRun(cancel, e, ef.Stream)
	resp := newResponseBuffer(d.tokenObserver(ctx, ef.Handle))
	c.setResponse(resp)
	d.responses.put(c.spec.Key, resp)
	call := endpoint.Call{
		Base: "http://" + e.Address, Path: c.path, Key: c.spec.Key.String(), Body: c.body, ContentType: c.contentType,
	}
	if c.spec.Model != "" {
		call.Stream = ef.Stream
	}
	d.group.Go(func() error {
		defer cancel()
		res := d.endpoints.Run(runCtx, call, resp)
		end := d.endFromResult(ctx, c, res, call.Stream != "")
		resp.finish(end)
		d.push(ctx, core.Ended{Handle: ef.Handle, End: end, Tokens: resp.tokenCount()})
		return nil
	})
}

// pushAsync pushes an event from a new goroutine. The loop must not block on
// its own channel.
func (d *Daemon) pushAsync(ctx context.Context, ev core.Event) {
	d.group.Go(func() error {
		d.push(ctx, ev)
		return nil
	})
}

// tokenObserver returns a function that reports the first token and progress to
// the core.
func (d *Daemon) tokenObserver(ctx context.Context, handle uint64) func(int) {
	var last time.Time
	return func(total int) {
		now := time.Now()
		switch {
		case total == 1:
			d.push(ctx, core.FirstToken{Handle: handle})
		case now.Sub(last) >= progressInterval:
			d.push(ctx, core.Progress{Handle: handle, Tokens: total})
		default:
			return
		}
		last = now
	}
}

// endFromResult converts the result of a call to the core's End. A run that was
// stopped counts as cancelled only if the endpoint confirms it.
func (d *Daemon) endFromResult(ctx context.Context, c *callerRequest, res endpoint.Result, model bool) core.End {
	switch res {
	case endpoint.Complete:
		return core.Complete
	case endpoint.NotAccepted:
		return core.NotAccepted
	case endpoint.Cancelled:
		return core.Stopped
	case endpoint.Fenced:
		return core.Fenced
	}
	e, stream, stopped := c.runState()
	if stopped && model {
		bound, cancel := context.WithTimeout(ctx, d.settings.PlatformTimeout)
		defer cancel()
		if d.endpoints.Cancel(bound, "http://"+e.Address, stream) {
			return core.Stopped
		}
	}
	return core.Broken
}

// stopRun stops a run; the run's goroutine reports how it ended.
func (d *Daemon) stopRun(ef core.Stop) {
	if c := d.requestByHandle(ef.Handle); c != nil {
		d.log.Info().Str("request", c.spec.Key.String()).Str("reason", string(ef.Reason)).Msg("stop")
		c.stopRun()
	}
}

// attach reads the response of an earlier dispatch: from this VM's cache if
// this process made the dispatch, otherwise from the engine's stream or, for a
// plain service, from the VM that called it.
func (d *Daemon) attach(ctx context.Context, ef core.Attach) {
	c := d.requestByHandle(ef.Handle)
	if c == nil {
		d.pushAsync(ctx, core.Ended{Handle: ef.Handle, End: core.NotFound})
		return
	}
	d.log.Info().Str("request", c.spec.Key.String()).Uint32("dispatcher", ef.Record.Dispatcher).
		Str("endpoint", ef.Record.Endpoint).Msg("attach")
	d.count("attaches")
	d.group.Go(func() error {
		end := d.readAttached(ctx, c, ef.Record)
		d.push(ctx, core.Ended{Handle: ef.Handle, End: end})
		return nil
	})
}

// fence asks the endpoint of another dispatch never to run it.
func (d *Daemon) fence(ctx context.Context, ef core.Fence) {
	c := d.requestByHandle(ef.Handle)
	e := findEndpoint(d.rulesOf(c).Document, ef.Record.Endpoint)
	if c == nil || e == nil || !e.ChecksFencing || c.spec.Model == "" {
		d.pushAsync(ctx, core.Ended{Handle: ef.Handle, End: core.NotFound})
		return
	}
	d.count("fences")
	d.group.Go(func() error {
		end := core.NotFound
		switch d.endpoints.Fence(ctx, "http://"+e.Address, ef.Record.Stream) {
		case endpoint.FencePromised:
			end = core.Fenced
		case endpoint.FenceTooLate:
			end = core.NotStarted
		}
		d.log.Info().Str("request", c.spec.Key.String()).Str("endpoint", e.Name).Str("stream", ef.Record.Stream).
			Uint32("dispatcher", ef.Record.Dispatcher).Bool("promised", end == core.Fenced).Msg("fence")
		d.push(ctx, core.Ended{Handle: ef.Handle, End: end})
		return nil
	})
}

// readAttached reads the response of another dispatch, which may still be in
// transit: it asks a few times before it reports that there is none. A stream that
// breaks is resumed as long as it goes on.
func (d *Daemon) readAttached(ctx context.Context, c *callerRequest, r *schema.Record) core.End {
	resp := newResponseBuffer(nil)
	read := 0
	for interval := resumeInterval; interval < maxAttachInterval; interval *= 2 {
		if end := d.readAttachedOnce(ctx, c, r, resp); end != core.NotStarted {
			return end
		}
		if n := resp.tokenCount(); n > read {
			read, interval = n, resumeInterval
		}
		select {
		case <-ctx.Done():
			return core.Broken
		case <-time.After(interval):
		}
	}
	if read > 0 {
		return core.Broken
	}
	return core.NotStarted
}

// readAttachedOnce returns NotStarted if nobody knows of the dispatch, or its
// stream broke.
func (d *Daemon) readAttachedOnce(ctx context.Context, c *callerRequest, r *schema.Record, buf *responseBuffer) core.End {
	if resp, ok := d.responses.get(c.spec.Key); ok && r.Dispatcher == d.settings.Vm.Id && r.DispatcherIncarnation == d.incarnation {
		c.setResponse(resp)
		return resp.waitDone(ctx)
	}
	if c.spec.Model == "" {
		return d.fetchPlainResponse(ctx, c, r, buf)
	}
	e := findEndpoint(d.rulesOf(c).Document, r.Endpoint)
	if e == nil {
		return core.NotFound
	}
	c.setResponse(buf)
	_, res := d.endpoints.Resume(ctx, "http://"+e.Address, r.Stream, buf.tokenCount(), buf)
	switch res {
	case endpoint.Complete:
		return core.Complete
	case endpoint.Cancelled:
		return core.Stopped
	}
	return core.NotStarted
}

// maxAttachInterval bounds the interval between two attempts to read another
// dispatch's response, and thereby their number; then its claim is looked up
// again.
const maxAttachInterval = 500 * time.Millisecond

// fetchPlainResponse fetches the response of a plain service from the VM that
// called the service.
func (d *Daemon) fetchPlainResponse(ctx context.Context, c *callerRequest, r *schema.Record, buf *responseBuffer) core.End {
	if r.Dispatcher == d.settings.Vm.Id && r.DispatcherIncarnation == d.incarnation {
		return core.NotStarted
	}
	l := d.links[r.Dispatcher]
	if l == nil {
		return core.NotFound
	}
	q := url.Values{"organisation": {c.spec.Key.Organisation}, "id": {c.spec.Key.ID}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.peerURL(l)+"/answer?"+q.Encode(), nil)
	if err != nil {
		return core.NotFound
	}
	resp, err := (&keyedClient{http: d.watchHTTP, key: d.settings.Keys.Peer}).Do(req)
	if err != nil {
		return core.NotFound
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return core.NotStarted
	}
	status, err := strconv.Atoi(resp.Header.Get(headerStatus))
	if err != nil || resp.StatusCode != http.StatusOK {
		return core.NotFound
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, endpoint.MaxResponseBody+1))
	if err != nil || len(body) > endpoint.MaxResponseBody {
		return core.Broken
	}
	buf.Response(status, resp.Header.Get("Content-Type"), body)
	c.setResponse(buf)
	return core.Complete
}

// waitDone waits until the dispatch has ended.
func (b *responseBuffer) waitDone(ctx context.Context) core.End {
	for {
		p := b.readFrom(0)
		if p.done {
			return p.end
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return core.Broken
		}
	}
}

func findEndpoint(doc *schema.Document, name string) *schema.Endpoint {
	if doc == nil {
		return nil
	}
	for _, e := range doc.Endpoints {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// formatCandidates formats the candidates of a scheduling decision for the log.
func formatCandidates(ef core.Dispatch) string {
	s := ""
	for i, c := range ef.Candidates {
		if i > 0 {
			s += ","
		}
		s += fmt.Sprintf("%s:%s:%dms", c.Endpoint, c.Reason, c.TimeToFinish.Milliseconds())
	}
	return s
}

const (
	// reportInterval is the interval at which engines are polled.
	reportInterval = 500 * time.Millisecond
	// maxConcurrentReports bounds concurrent polls. Polls run concurrently so
	// that an engine that does not respond delays no other.
	maxConcurrentReports = 32
)

// pollEngines polls the engines for whether they are leaving and for the events
// of their prefix caches.
func (d *Daemon) pollEngines(ctx context.Context) error {
	next := make(map[string]*int)
	for {
		d.pollEnginesOnce(ctx, next)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reportInterval):
		}
	}
}

func (d *Daemon) pollEnginesOnce(ctx context.Context, next map[string]*int) {
	rules := d.rules.Load()
	if rules == nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentReports)
	for _, e := range rules.Document.Endpoints {
		if len(e.Models) == 0 {
			continue
		}
		if next[e.Name] == nil {
			next[e.Name] = new(int)
		}
		after := next[e.Name]
		g.Go(func() error {
			d.pollEngine(ctx, e, after)
			return nil
		})
	}
	_ = g.Wait()
}

// pollEngine polls one engine. after is the number of its next cache event.
func (d *Daemon) pollEngine(ctx context.Context, e *schema.Endpoint, after *int) {
	bound, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	base := "http://" + e.Address
	load, err := d.endpoints.Load(bound, base)
	if err != nil {
		return
	}
	d.push(ctx, core.EndpointLeaving{Endpoint: e.Name, Leaving: load.Leaving})
	rep, err := d.endpoints.CacheEvents(bound, base, *after)
	if err != nil || rep.Next == *after {
		return
	}
	ev := core.CacheEvents{Endpoint: e.Name, Gap: rep.First > *after}
	for _, c := range rep.Events {
		ev.Stored = append(ev.Stored, c.Stored...)
		ev.Dropped = append(ev.Dropped, c.Dropped...)
	}
	*after = rep.Next
	d.push(ctx, ev)
}
