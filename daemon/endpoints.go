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

// progressEvery is the least time between two progress events of a stream.
const progressEvery = 250 * time.Millisecond

// dispatch sends a granted request to its endpoint, once.
func (d *Daemon) dispatch(ctx context.Context, ef core.Dispatch) {
	c := d.callOf(ef.Handle)
	rules := d.rulesOf(c)
	e := endpointNamed(rules.Document, ef.Endpoint)
	if c == nil || e == nil {
		d.later(ctx, core.Ended{Handle: ef.Handle, End: core.NotAccepted})
		return
	}
	d.log.Info().Str("request", c.spec.Key.String()).Uint32("tier", uint32(c.spec.Tier)).
		Str("endpoint", ef.Endpoint).Str("stream", ef.Stream).Str("candidates", explain(ef)).Msg("dispatch")
	d.count("dispatches")
	runCtx, cancel := context.WithCancel(ctx)
	c.setRun(cancel, e, ef.Stream)
	a := newAnswer(d.tokenEvents(ctx, ef.Handle))
	c.setAnswer(a)
	d.answers.put(c.spec.Key, a)
	call := endpoint.Call{
		Base: "http://" + e.Address, Path: c.path, Key: c.spec.Key.String(), Body: c.body, ContentType: c.contentType,
	}
	if c.spec.Model != "" {
		call.Stream = ef.Stream
	}
	d.group.Go(func() error {
		defer cancel()
		res := d.endpoints.Run(runCtx, call, a)
		end := d.endOf(ctx, c, res, call.Stream != "")
		a.finish(end)
		d.push(ctx, core.Ended{Handle: ef.Handle, End: end, Tokens: a.total()})
		return nil
	})
}

// later pushes an event from a goroutine of its own: the loop must not wait
// for its own channel.
func (d *Daemon) later(ctx context.Context, ev core.Event) {
	d.group.Go(func() error {
		d.push(ctx, ev)
		return nil
	})
}

// tokenEvents tells the core of the first token and of progress.
func (d *Daemon) tokenEvents(ctx context.Context, handle uint64) func(int) {
	var last time.Time
	return func(total int) {
		now := time.Now()
		switch {
		case total == 1:
			d.push(ctx, core.FirstToken{Handle: handle})
		case now.Sub(last) >= progressEvery:
			d.push(ctx, core.Progress{Handle: handle, Tokens: total})
		default:
			return
		}
		last = now
	}
}

// endOf turns a call's result into the core's terms. A run that was stopped is
// cancelled only if the endpoint confirms it.
func (d *Daemon) endOf(ctx context.Context, c *callerCall, res endpoint.Result, model bool) core.End {
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
		bound, cancel := context.WithTimeout(ctx, d.set.PlatformTimeout)
		defer cancel()
		if d.endpoints.Cancel(bound, "http://"+e.Address, stream) {
			return core.Stopped
		}
	}
	return core.Broken
}

// stopCall ends a run; its goroutine then reports how it ended.
func (d *Daemon) stopCall(ef core.Stop) {
	if c := d.callOf(ef.Handle); c != nil {
		d.log.Info().Str("request", c.spec.Key.String()).Str("reason", string(ef.Reason)).Msg("stop")
		c.stopRun()
	}
}

// attach reads the answer of another dispatch: here if this VM made it, from
// the engine's stream, or from the VM that called a plain service.
func (d *Daemon) attach(ctx context.Context, ef core.Attach) {
	c := d.callOf(ef.Handle)
	if c == nil {
		d.later(ctx, core.Ended{Handle: ef.Handle, End: core.NotFound})
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

func (d *Daemon) readAttached(ctx context.Context, c *callerCall, r *schema.Record) core.End {
	if a, ok := d.answers.get(c.spec.Key); ok && r.Dispatcher == d.set.Vm.Id && r.DispatcherIncarnation == d.inc {
		c.setAnswer(a)
		return a.waitDone(ctx)
	}
	a := newAnswer(nil)
	if c.spec.Model == "" {
		return d.fetchPlain(ctx, c, r, a)
	}
	e := endpointNamed(d.rulesOf(c).Document, r.Endpoint)
	if e == nil {
		return core.NotFound
	}
	c.setAnswer(a)
	next := 0
	for range attachTries {
		var res endpoint.Result
		next, res = d.endpoints.Resume(ctx, "http://"+e.Address, r.Stream, next, a)
		switch res {
		case endpoint.Complete:
			return core.Complete
		case endpoint.Cancelled:
			return core.Stopped
		}
		select {
		case <-ctx.Done():
			return core.Broken
		case <-time.After(resumeEvery):
		}
	}
	if next > 0 {
		return core.Broken
	}
	if e.ChecksFencing && d.endpoints.Fence(ctx, "http://"+e.Address, r.Stream) {
		d.log.Info().Str("request", c.spec.Key.String()).Str("endpoint", e.Name).Str("stream", r.Stream).Msg("fence")
		return core.Fenced
	}
	return core.NotFound
}

// attachTries bounds how often a stream is asked for that the endpoint does not
// know: its dispatch may be on the way.
const attachTries = 10

// fetchPlain asks the VM that called a plain service for its answer.
func (d *Daemon) fetchPlain(ctx context.Context, c *callerCall, r *schema.Record, a *answer) core.End {
	l := d.links[r.Dispatcher]
	if l == nil {
		return core.NotFound
	}
	q := url.Values{"organisation": {c.spec.Key.Organisation}, "id": {c.spec.Key.ID}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.peerURL(l)+"/answer?"+q.Encode(), nil)
	if err != nil {
		return core.NotFound
	}
	resp, err := (&keyedClient{http: d.peerHTTP, key: d.set.Keys.Peer}).Do(req)
	if err != nil {
		return core.NotFound
	}
	defer func() { _ = resp.Body.Close() }()
	status, err := strconv.Atoi(resp.Header.Get(headerStatus))
	if err != nil || resp.StatusCode != http.StatusOK {
		return core.NotFound
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return core.Broken
	}
	a.Response(status, resp.Header.Get("Content-Type"), body)
	c.setAnswer(a)
	return core.Complete
}

// waitDone waits until the dispatch of an answer has ended here.
func (a *answer) waitDone(ctx context.Context) core.End {
	for {
		p := a.from(0)
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

func endpointNamed(doc *schema.Document, name string) *schema.Endpoint {
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

// explain lists the candidates of a decision for the log.
func explain(ef core.Dispatch) string {
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
	// reportEvery is the interval at which engines are asked for their reports.
	reportEvery = 500 * time.Millisecond
	// reportsAtOnce bounds the questions under way, so that one engine that does
	// not answer holds up no other.
	reportsAtOnce = 32
)

// reports follows what the engines say of themselves: whether they leave, and
// what their caches hold.
func (d *Daemon) reports(ctx context.Context) error {
	next := make(map[string]*int)
	for {
		d.reportRound(ctx, next)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reportEvery):
		}
	}
}

func (d *Daemon) reportRound(ctx context.Context, next map[string]*int) {
	rules := d.rules.Load()
	if rules == nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(reportsAtOnce)
	for _, e := range rules.Document.Endpoints {
		if len(e.Models) == 0 {
			continue
		}
		if next[e.Name] == nil {
			next[e.Name] = new(int)
		}
		after := next[e.Name]
		g.Go(func() error {
			d.report(ctx, e, after)
			return nil
		})
	}
	_ = g.Wait()
}

// report asks one engine. after is the number of its next cache event.
func (d *Daemon) report(ctx context.Context, e *schema.Endpoint, after *int) {
	bound, cancel := context.WithTimeout(ctx, reportEvery)
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
