package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/core/suspect"
	"github.com/chivefield/chivefield/entry/callerconn"
	"github.com/chivefield/chivefield/entry/poison"
)

const (
	// defaultTimeout is the request timeout used if neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// startupRetryAfter is the Retry-After of a VM that has no configuration yet, or no memory
	// for the body.
	startupRetryAfter = 300 * time.Millisecond
	// maxRouteTiers is the number of distinct route tiers. The organisation's tier takes
	// precedence over the route's.
	maxRouteTiers = 1000
	// disconnectMargin is how long before the caller's expected disconnect a request is refused,
	// so that the caller still receives the refusal: its timeout started a round trip earlier
	// than this VM's.
	disconnectMargin = 150 * time.Millisecond
	// maxMarginShare limits the margin of a short timeout, to this fraction of it.
	maxMarginShare = 8
	// minEventTimeout is the shortest time for which a caller waits for a first event.
	minEventTimeout = 2 * time.Second
	// objectiveTimeoutFactor and pauseTimeoutFactor give the time for which a caller waits for an
	// event before it disconnects, in multiples of the route's objective and maximum pause.
	objectiveTimeoutFactor = 4
	pauseTimeoutFactor     = 8
)

// callerRequest is one request of a caller, from arrival to its final response.
type callerRequest struct {
	d          *Daemon
	w          http.ResponseWriter
	r          *http.Request
	reqHeaders RequestHeaders
	// fields are the header lines that every endpoint gets as the caller sent them. They take the place of the
	// request's header, which takes many times their bytes where its lines are short.
	fields []byte
	// hasBody is set if the caller announced a body, even an empty one.
	hasBody bool
	route   *routing.Route
	org     *routing.Organisation
	service string
	body    []byte
	// bodyBroken is set if the body has not come whole.
	bodyBroken bool
	// suspect is what VMs know the request by if endpoints terminate under it, admission lets it run
	// until it is convicted of that.
	suspect   suspect.Request
	admission *poison.Admission
	arrived   time.Time
	// deadline is the latest time for the final response.
	deadline time.Time
	// units is the amount charged to the organisation's allowance.
	units float64
	// sendCount counts the endpoints that may have read the request.
	sendCount   int
	retryPermit retryPermit
	tried       []uint64
	// avoided lists endpoints whose version is not allowed for this request.
	avoided []uint64
	// current is the hash of the endpoint of the attempt in progress. undecided are the runs whose outcome the
	// next attempt tells, by handle.
	current   uint64
	undecided []uint64
	// kept is the response of an undecided attempt, nil without one.
	kept *keptResponse
	// canary is set if the request is a canary request to a new version.
	canary bool
	// tracked is the attempt in progress.
	tracked *trackedAttempt
	// endsWithConn is set if the caller gets a response that ends with its connection.
	endsWithConn bool
	// notPlaced is the decision not to place the request, if that is how it ends.
	notPlaced *dispatch.Decision
	// version is the software version that began the stream; nil while the caller has no event of it.
	version atomic.Pointer[string]
	// lastEvent is the time of the last event that the caller got, 0 if it has none.
	lastEvent atomic.Int64
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// reservedBytes is the part of the memory budget held for the body.
	reservedBytes int64
	// blocked is set if the request was convicted, as one that terminates endpoints, while it
	// waited.
	blocked atomic.Bool
	// answering is set once the response to the caller has begun, givenUp if the request was given up before that as
	// this VM shut down.
	answering, givenUp atomic.Bool
}

// refusal is an error response that the VM itself sends to the caller.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// serveCaller handles one request of a caller.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	if callerconn.IsClosed(r) {
		d.count("callers_gone")
		panic(http.ErrAbortHandler)
	}
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	// A connection that is used again may have the deadline of the response before.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Time{}); err != nil {
		d.log.Error().Err(err).Msg("write_deadline_failed")
	}
	c := &callerRequest{d: d, w: w, r: r, arrived: time.Now(), reqHeaders: d.codec.ParseRequest(r.Header)}
	if denied := c.replaceHeader(); denied != nil {
		c.refuse(*denied)
		return
	}
	if denied := c.admit(); denied != nil {
		c.refuse(*denied)
		return
	}
	defer c.releaseBody()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer d.stopping.watchCutOff(c, cancel)()
	if denied := d.stopping.refusal(c); denied != nil {
		c.refuse(*denied)
		return
	}
	c.admission = d.poison.Admit(c.suspect, func() { c.blocked.Store(true); cancel() })
	if c.admission == nil {
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonEndsEndpoints})
		return
	}
	defer d.poison.Release(c.admission)
	if denied := d.resumption.resolve(ctx, c); denied != nil {
		c.refuse(*denied)
		return
	}
	if denied := c.chargeAllowance(ctx); denied != nil {
		c.refuse(*denied)
		return
	}
	d.retryBudgets.recordRequest(c.service)
	c.retryPermit = retryPermit{budgets: d.retryBudgets, service: c.service}
	defer c.retryPermit.release()
	c.forward(ctx)
}

// admit looks up the route and the organisation and reads the body. It returns nil if the request
// is accepted.
func (c *callerRequest) admit() *refusal {
	c.d.awaitInitialised(c.r.Context())
	t := c.d.table.Load()
	if t == nil {
		return &refusal{http.StatusServiceUnavailable, "no_configuration", startupRetryAfter}
	}
	limits := t.Document.Limits
	if !strings.HasPrefix(c.r.RequestURI, "/") {
		return &refusal{status: http.StatusBadRequest, reason: "bad_target"}
	}
	if denied := c.checkConfig(); denied != nil {
		return denied
	}
	c.service = c.route.PickService(xxhash.Sum64String(c.firstAttempt()))
	c.setDeadline()
	if denied := c.readBody(limits.MaxBodyBytes); denied != nil {
		return denied
	}
	c.suspect = suspect.NewRequest(c.service, c.identity(), c.sharedPartIDs())
	return nil
}

// firstAttempt returns the ID of the attempt that began the stream which the request resumes; its own if it
// resumes none.
func (c *callerRequest) firstAttempt() string {
	if c.resumes() && c.reqHeaders.Resumes != "" {
		return c.reqHeaders.Resumes
	}
	return c.reqHeaders.ID
}

// resumes reports whether the caller has events of the stream already.
func (c *callerRequest) resumes() bool {
	return c.route.Kind == routing.Stream && c.reqHeaders.LastEventID != ""
}

// identity returns the parts of the request that stay the same when the caller retries it.
func (c *callerRequest) identity() suspect.Identity {
	i := suspect.Identity{Method: c.r.Method, Host: strings.ToLower(c.r.Host), Target: c.r.RequestURI, Body: c.body}
	if c.org != nil {
		i.Organisation = c.org.Name
	}
	return i
}

// sharedPartIDs returns the IDs of the parts of the prompt that other requests may have.
func (c *callerRequest) sharedPartIDs() []string {
	shared := c.reqHeaders.SharedParts()
	ids := make([]string, 0, len(shared))
	for _, p := range shared {
		ids = append(ids, p.ID)
	}
	return ids
}

func (c *callerRequest) setDeadline() {
	timeout := defaultTimeout
	if c.reqHeaders.HasTimeout {
		timeout = c.reqHeaders.Timeout
	}
	if c.route.Timeout > 0 && (c.route.Timeout < timeout || !c.reqHeaders.HasTimeout) {
		timeout = c.route.Timeout
	}
	c.deadline = c.arrived.Add(timeout)
}

// chargeAllowance charges the request to its organisation's allowance.
func (c *callerRequest) chargeAllowance(ctx context.Context) *refusal {
	if c.org == nil {
		return nil
	}
	c.units = 1
	if c.org.CountsTokens {
		c.units = c.org.PlainTokens
		if c.reqHeaders.HasTokens {
			c.units = float64(c.reqHeaders.PromptTokens) + float64(c.reqHeaders.MaxOutputTokens)
		}
	}
	v := c.d.shares.spend(ctx, allowance.Request{
		Amount: allowance.Amount{Organisation: c.org.Name, Units: c.units}, Reserve: c.d.shares.reserveFor(c.route.Tier),
	}, c.d.peers.requestGrants)
	if v.OK {
		return nil
	}
	c.d.log.Info().Str("request", c.reqHeaders.ID).Str("organisation", c.org.Name).Float64("units", c.units).
		Float64("balance", v.Balance).Dur("wait", v.RetryAfter).Msg("over_allowance")
	c.units = 0
	return &refusal{http.StatusTooManyRequests, "over_allowance", v.RetryAfter}
}

// dispatchJob returns the scheduler's description of the request.
func (c *callerRequest) dispatchJob() dispatch.Job { return c.jobAfter(c.tried, c.avoided) }

// jobAfter returns the description of the request once endpoints were tried, or must be avoided. It may be called
// while an attempt is in progress.
func (c *callerRequest) jobAfter(tried, avoided []uint64) dispatch.Job {
	now := c.d.now()
	arrived := now - time.Since(c.arrived)
	deadline := now + time.Until(c.deadline)
	status := c.d.poison.WorstStatus(c.suspect)
	j := dispatch.Job{
		Handle: c.d.lastHandle.Add(1), Service: c.service, Tier: c.route.Tier,
		PromptTokens: c.reqHeaders.PromptTokens, ExpectedEvents: c.expectedEvents(), Tried: tried, Avoided: avoided,
		Objective: arrived + c.route.Objective, AbandonAt: deadline - refusalMargin(deadline-arrived),
		Suspect: status.Digest, Suspicion: suspicionFor(status), Request: xxhash.Sum64(c.suspect.Digest[:]),
	}
	if c.org != nil {
		j.Tier += c.org.Tier * maxRouteTiers
		j.Organisation, j.Weight = xxhash.Sum64String(c.org.Name), c.org.Weight
	}
	if c.route.Kind == routing.Stream {
		j.AbandonAt = min(deadline, arrived+c.eventTimeout()) - disconnectMargin
		j.MaxPause, j.Deadline = c.route.MaxPause, deadline
	}
	c.restrictVersion(&j)
	return j
}

// restrictVersion restricts the job of a stream that has begun to the version that began it.
func (c *callerRequest) restrictVersion(j *dispatch.Job) {
	if version := c.version.Load(); version != nil {
		j.Continues, j.Version = true, *version
	}
}

// began reports whether the caller has events of the stream.
func (c *callerRequest) began() bool { return c.version.Load() != nil }

// mayRunAt reports whether a version may send events to the caller.
func (c *callerRequest) mayRunAt(version string) bool {
	began := c.version.Load()
	return began == nil || *began == version
}

// refusalMargin returns how long before the end of its timeout a waiting request is refused, so that
// its caller gets the refusal.
func refusalMargin(timeout time.Duration) time.Duration {
	return min(disconnectMargin, timeout/maxMarginShare)
}

// convicted returns the digest of what is known worst against the request, and the ID of the part if it is
// that of a part.
func (c *callerRequest) convicted() (d suspect.Digest, partID string) {
	d = c.d.poison.WorstStatus(c.suspect).Digest
	if i := slices.Index(c.suspect.Parts, d); i >= 0 {
		partID = c.sharedPartIDs()[i]
	}
	return d, partID
}

// expectedEvents returns the expected number of events in the response, from the caller's
// estimate of the output; 0 if there is none.
func (c *callerRequest) expectedEvents() int {
	sv := c.d.table.Load().Service(c.service)
	if sv == nil || sv.Engine == nil {
		return 0
	}
	return c.reqHeaders.EstimatedOutputTokens / sv.Engine.TokensPerEvent
}

// eventTimeout returns the time for which the caller of a stream waits for an event.
func (c *callerRequest) eventTimeout() time.Duration {
	return max(minEventTimeout, objectiveTimeoutFactor*c.route.Objective, pauseTimeoutFactor*c.route.MaxPause)
}

// refuse sends a refusal to the caller and refunds the allowance of a request that was not run.
func (c *callerRequest) refuse(denied refusal) {
	c.d.count("refusals." + denied.reason)
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	e := c.d.log.Info().Str("request", c.reqHeaders.ID).Stringer("digest", c.suspect.Digest).Str("route", route).Int("status", denied.status).Str("reason", denied.reason).
		Dur("retry_after", denied.retryAfter).Int("sent", c.sendCount).Dur("held", time.Since(c.arrived))
	e = c.addNotPlaced(e)
	if denied.reason == reasonEndsEndpoints {
		convicted, part := c.convicted()
		e = e.Stringer("convicted", convicted).Str("part", part)
	}
	e.Msg("refused")
	if c.org != nil && c.units > 0 && !c.mayHaveRun {
		c.d.peers.refund(allowance.Amount{Organisation: c.org.Name, Units: c.units})
	}
	c.drainBody()
	h := c.w.Header()
	c.d.codec.SetRefusalHeaders(h, c.reqHeaders.ID)
	if denied.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(denied.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	if c.d.draining.Load() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(denied.status)
}

// addNotPlaced adds to a log line who decided not to place the request, and what was known there.
func (c *callerRequest) addNotPlaced(e *zerolog.Event) *zerolog.Event {
	dec := c.notPlaced
	if dec == nil {
		return e
	}
	return e.Str("by", dec.DecidedBy).Int("candidates", dec.Candidates).Int("reachable", dec.Reachable).Int("waiting", dec.Waiting).Bool("promised", dec.Promised)
}
