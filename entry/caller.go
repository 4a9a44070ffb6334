package entry

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivefield/chivefield/core/allowance"
	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/routing"
	"github.com/chivefield/chivefield/core/suspect"
)

const (
	// defaultTimeout is assumed where neither the caller nor the route says how
	// long an answer is awaited.
	defaultTimeout = 30 * time.Second
	// startupRetryAfter is when a caller should return to a VM that knows no
	// configuration yet.
	startupRetryAfter = 300 * time.Millisecond
	// maxRouteTiers bounds the tiers of routes; an organisation's tier goes before.
	maxRouteTiers = 1000
	// disconnectMargin is how long before a caller would leave its request is refused, so
	// that it hears of it: its clock started a round trip earlier than this VM's.
	disconnectMargin = 150 * time.Millisecond
	// minEventTimeout is the shortest time that a caller waits for a first event.
	minEventTimeout = 2 * time.Second
	// objectiveTimeoutFactor and pausePatience are how many objectives and pauses a
	// caller waits for an event before it leaves.
	objectiveTimeoutFactor = 4
	pauseTimeoutFactor     = 8
)

// callerRequest is one request of a callerRequest, from arrival to its final answer.
type callerRequest struct {
	d          *Daemon
	w          http.ResponseWriter
	r          *http.Request
	reqHeaders RequestHeaders
	route      *routing.Route
	org        *routing.Organisation
	service    string
	body       []byte
	// digest names the request however often its caller sends it.
	digest  suspect.Digest
	arrived time.Time
	// deadline is when the request gets its final answer at the latest.
	deadline time.Time
	units    float64
	// sendCount counts the endpoints that may have read the request.
	sendCount   int
	retryPermit retryPermit
	tried       []uint64
	// avoided are endpoints whose version may not get the request, trial says that it tries
	// a new version, visit is the attempt under way.
	avoided []uint64
	canary  bool
	tracked *visit
	// mayHaveRun says that an endpoint may have run it.
	mayHaveRun    bool
	reservedBytes int64
	// blocked says that the request was found to end endpoints while it waited.
	blocked atomic.Bool
}

// refusal is an answer of the system's own.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// serveCaller serves one request.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &callerRequest{d: d, w: w, r: r, arrived: time.Now(), reqHeaders: d.codec.ParseRequest(r.Header)}
	if denied := c.admit(); denied != nil {
		c.refuse(*denied)
		return
	}
	defer d.bodyMemory.release(c.reservedBytes)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if !d.suspects.admit(c, cancel) {
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonEndsEndpoints})
		return
	}
	defer d.suspects.over(c)
	if denied := c.chargeAllowance(ctx); denied != nil {
		c.refuse(*denied)
		return
	}
	d.retryBudgets.recordRequest(c.service)
	c.retryPermit = retryPermit{budgets: d.retryBudgets, service: c.service}
	defer c.retryPermit.release()
	c.forward(ctx)
}

// admit finds the route and the organisation and reads the body.
func (c *callerRequest) admit() *refusal {
	c.d.awaitInitialised(c.r.Context())
	t := c.d.table.Load()
	if t == nil {
		return &refusal{http.StatusServiceUnavailable, "no_configuration", startupRetryAfter}
	}
	limits := t.Document.Limits
	if limits.MaxHeaderBytes > 0 && headerSize(c.r) > limits.MaxHeaderBytes {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_too_large"}
	}
	if !strings.HasPrefix(c.r.RequestURI, "/") {
		return &refusal{status: http.StatusBadRequest, reason: "bad_target"}
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = t.Route(c.r.Host, path)
	if c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	if t.NeedsKeys() {
		c.org = t.Organisation(c.reqHeaders.Key)
		if c.org == nil && !c.route.Public {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
	}
	c.service = c.route.Pick(xxhash.Sum64String(c.reqHeaders.ID))
	c.setDeadline()
	if denied := c.readBody(limits.MaxBodyBytes); denied != nil {
		return denied
	}
	c.digest = c.identity().Digest()
	return nil
}

// identity is what the caller repeats when it sends the request again.
func (c *callerRequest) identity() suspect.Identity {
	i := suspect.Identity{Method: c.r.Method, Host: strings.ToLower(c.r.Host), Target: c.r.RequestURI, Body: c.body}
	if c.org != nil {
		i.Organisation = c.org.Name
	}
	return i
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

// headerSize is the size of a request's head.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the whole body, so that it can be sent again and that a caller
// who stops in its middle costs no endpoint anything.
func (c *callerRequest) readBody(maxBytes int) *refusal {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	if maxBytes <= 0 {
		maxBytes = math.MaxInt32
	}
	if c.r.ContentLength > int64(maxBytes) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	if n := c.r.ContentLength; n > 0 {
		if !c.d.bodyMemory.reserve(n) {
			return &refusal{http.StatusServiceUnavailable, "no_memory", startupRetryAfter}
		}
		c.reservedBytes = n
		c.body = make([]byte, n)
		if _, err := io.ReadFull(c.r.Body, c.body); err != nil {
			return c.refuseBrokenBody(err)
		}
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, int64(maxBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	if err != nil {
		return c.refuseBrokenBody(err)
	}
	if !c.d.bodyMemory.reserve(int64(len(body))) {
		return &refusal{http.StatusServiceUnavailable, "no_memory", startupRetryAfter}
	}
	c.reservedBytes, c.body = int64(len(body)), body
	return nil
}

func (c *callerRequest) refuseBrokenBody(err error) *refusal {
	c.d.bodyMemory.release(c.reservedBytes)
	c.reservedBytes = 0
	c.d.log.Info().Str("request", c.reqHeaders.ID).Err(err).Msg("body_broken")
	return &refusal{status: http.StatusBadRequest, reason: "body_broken"}
}

// chargeAllowance takes the request off its organisation's allowance.
func (c *callerRequest) chargeAllowance(ctx context.Context) *refusal {
	if c.org == nil {
		return nil
	}
	c.units = 1
	if c.org.CountsTokens {
		c.units = c.org.PlainTokens
		if c.reqHeaders.HasTokens {
			c.units = float64(c.reqHeaders.PromptTokens + c.reqHeaders.MaxOutputTokens)
		}
	}
	v := c.d.shares.spend(ctx, allowance.Request{
		Amount: allowance.Amount{Organisation: c.org.Name, Units: c.units}, Reserve: c.d.shares.reserve(c.route.Tier),
	}, c.d.peers.ask)
	if v.OK {
		return nil
	}
	c.d.log.Info().Str("request", c.reqHeaders.ID).Str("organisation", c.org.Name).Float64("units", c.units).
		Float64("balance", v.Balance).Dur("wait", v.Wait).Msg("over_allowance")
	c.units = 0
	return &refusal{http.StatusTooManyRequests, "over_allowance", v.Wait}
}

// dispatchJob describes the request to the scheduler.
func (c *callerRequest) dispatchJob() dispatch.Job {
	now := c.d.now()
	arrived := now - time.Since(c.arrived)
	limit := now + time.Until(c.deadline)
	j := dispatch.Job{
		Handle: c.d.lastHandle.Add(1), Service: c.service, Tier: c.route.Tier,
		Prompt: c.reqHeaders.PromptTokens, Events: c.expectedEvents(), Tried: c.tried, Avoided: c.avoided,
		Objective: arrived + c.route.Objective, Abandon: limit,
		Request: c.digest, Suspicion: suspicionOf(c.d.suspects.look(c.digest)),
	}
	if c.org != nil {
		j.Tier += c.org.Tier * maxRouteTiers
	}
	if c.route.Repeat == routing.Stream {
		j.Abandon = min(limit, arrived+c.eventTimeout()) - disconnectMargin
		j.MaxPause, j.Limit = c.route.MaxPause, limit
	}
	return j
}

// expectedEvents is how many expectedEvents the answer is expected to have, by the caller's guess;
// 0 if it gave none.
func (c *callerRequest) expectedEvents() int {
	sv := c.d.table.Load().Service(c.service)
	if sv == nil || sv.Engine == nil {
		return 0
	}
	return c.reqHeaders.EstimatedOutputTokens / sv.Engine.TokensPerEvent
}

// eventTimeout is how long a caller of a stream waits for an event.
func (c *callerRequest) eventTimeout() time.Duration {
	return max(minEventTimeout, objectiveTimeoutFactor*c.route.Objective, pauseTimeoutFactor*c.route.MaxPause)
}

// refuse answers for the system itself.
func (c *callerRequest) refuse(denied refusal) {
	c.d.count("refusals." + denied.reason)
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	c.d.log.Info().Str("request", c.reqHeaders.ID).Stringer("digest", c.digest).Str("route", route).Int("status", denied.status).Str("reason", denied.reason).
		Dur("retry_after", denied.retryAfter).Int("sent", c.sendCount).Dur("held", time.Since(c.arrived)).Msg("refused")
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
	c.w.WriteHeader(denied.status)
}

const (
	// drainBytes and drainTime bound what is read of the body of a refused request.
	drainBytes   = 256 << 10
	drainTimeout = time.Second
)

// drainBody reads what the caller still sends of a refused request. A connection that is
// closed while bytes come in is reset, and with it goes the answer: the caller sees a
// broken connection in place of a status.
func (c *callerRequest) drainBody() {
	if c.body != nil || c.r.ContentLength == 0 || c.r.Body == nil {
		return
	}
	rc := http.NewResponseController(c.w)
	if err := rc.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c.r.Body, drainBytes); err == nil {
		// There is more; the server closes the connection.
		c.w.Header().Set("Connection", "close")
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		c.d.log.Warn().Str("request", c.reqHeaders.ID).Err(err).Msg("read_deadline_kept")
	}
}
