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
	// defaultTimeLeft is assumed where neither the caller nor the route says how
	// long an answer is awaited.
	defaultTimeLeft = 30 * time.Second
	// startingUp is when a caller should return to a VM that knows no
	// configuration yet.
	startingUp = 300 * time.Millisecond
	// routeTiers bounds the tiers of routes; an organisation's tier goes before.
	routeTiers = 1000
	// leaveMargin is how long before a caller would leave its request is refused, so
	// that it hears of it: its clock started a round trip earlier than this VM's.
	leaveMargin = 150 * time.Millisecond
	// leastPatience is the shortest time that a caller waits for a first event.
	leastPatience = 2 * time.Second
	// objectivePatience and pausePatience are how many objectives and pauses a
	// caller waits for an event before it leaves.
	objectivePatience = 4
	pausePatience     = 8
)

// caller is one request of a caller, from arrival to its final answer.
type caller struct {
	d       *Daemon
	w       http.ResponseWriter
	r       *http.Request
	call    Call
	route   *routing.Route
	org     *routing.Organisation
	service string
	body    []byte
	// digest names the request however often its caller sends it.
	digest  suspect.Digest
	arrived time.Time
	// limit is when the request gets its final answer at the latest.
	limit time.Time
	units float64
	// sent counts the endpoints that may have read the request.
	sent  int
	again repeats
	tried []uint64
	// avoided are endpoints whose version may not get the request, trial says that it tries
	// a new version, visit is the attempt under way.
	avoided []uint64
	trial   bool
	visit   *trackedAttempt
	// ran says that an endpoint may have run it.
	ran  bool
	held int64
	// stopped says that the request was found to end endpoints while it waited.
	stopped atomic.Bool
}

// refusal is an answer of the system's own.
type refusal struct {
	status int
	reason string
	after  time.Duration
}

// serveCaller serves one request.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &caller{d: d, w: w, r: r, arrived: time.Now(), call: d.codec.Call(r.Header)}
	if bad := c.admit(); bad != nil {
		c.refuse(*bad)
		return
	}
	defer d.bodies.giveBack(c.held)
	ctx, cancel := context.WithDeadline(r.Context(), c.limit)
	defer cancel()
	if !d.suspects.admit(c, cancel) {
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonEndsEndpoints})
		return
	}
	defer d.suspects.unregister(c)
	if bad := c.spend(ctx); bad != nil {
		c.refuse(*bad)
		return
	}
	d.retries.request(c.service)
	c.again = repeats{retries: d.retries, service: c.service}
	defer c.again.over()
	c.run(ctx)
}

// admit finds the route and the organisation and reads the body.
func (c *caller) admit() *refusal {
	c.d.awaitInformed(c.r.Context())
	t := c.d.table.Load()
	if t == nil {
		return &refusal{http.StatusServiceUnavailable, "no_configuration", startingUp}
	}
	limits := t.Document.Limits
	if limits.MaxHeaderBytes > 0 && headerBytes(c.r) > limits.MaxHeaderBytes {
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
		c.org = t.Organisation(c.call.Key)
		if c.org == nil && !c.route.Public {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
	}
	c.service = c.route.PickService(xxhash.Sum64String(c.call.ID))
	c.setLimit()
	if bad := c.readBody(limits.MaxBodyBytes); bad != nil {
		return bad
	}
	c.digest = c.identity().Digest()
	return nil
}

// identity is what the caller repeats when it sends the request again.
func (c *caller) identity() suspect.Identity {
	i := suspect.Identity{Method: c.r.Method, Host: strings.ToLower(c.r.Host), Target: c.r.RequestURI, Body: c.body}
	if c.org != nil {
		i.Organisation = c.org.Name
	}
	return i
}

func (c *caller) setLimit() {
	left := defaultTimeLeft
	if c.call.HasTimeLeft {
		left = c.call.TimeLeft
	}
	if c.route.Timeout > 0 && (c.route.Timeout < left || !c.call.HasTimeLeft) {
		left = c.route.Timeout
	}
	c.limit = c.arrived.Add(left)
}

// headerBytes is the size of a request's head.
func headerBytes(r *http.Request) int {
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
func (c *caller) readBody(most int) *refusal {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	if most <= 0 {
		most = math.MaxInt32
	}
	if c.r.ContentLength > int64(most) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	if n := c.r.ContentLength; n > 0 {
		if !c.d.bodies.take(n) {
			return &refusal{http.StatusServiceUnavailable, "no_memory", startingUp}
		}
		c.held = n
		c.body = make([]byte, n)
		if _, err := io.ReadFull(c.r.Body, c.body); err != nil {
			return c.brokenBody(err)
		}
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, int64(most)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	if err != nil {
		return c.brokenBody(err)
	}
	if !c.d.bodies.take(int64(len(body))) {
		return &refusal{http.StatusServiceUnavailable, "no_memory", startingUp}
	}
	c.held, c.body = int64(len(body)), body
	return nil
}

func (c *caller) brokenBody(err error) *refusal {
	c.d.bodies.giveBack(c.held)
	c.held = 0
	c.d.log.Info().Str("request", c.call.ID).Err(err).Msg("body_broken")
	return &refusal{status: http.StatusBadRequest, reason: "body_broken"}
}

// spend takes the request off its organisation's allowance.
func (c *caller) spend(ctx context.Context) *refusal {
	if c.org == nil {
		return nil
	}
	c.units = 1
	if c.org.CountsTokens {
		c.units = c.org.PlainTokens
		if c.call.HasTokens {
			c.units = float64(c.call.Prompt + c.call.MaxOutput)
		}
	}
	v := c.d.shares.spend(ctx, allowance.Request{
		Amount: allowance.Amount{Organisation: c.org.Name, Units: c.units}, Reserve: c.d.shares.reserveFor(c.route.Tier),
	}, c.d.peers.requestGrants)
	if v.OK {
		return nil
	}
	c.d.log.Info().Str("request", c.call.ID).Str("organisation", c.org.Name).Float64("units", c.units).
		Float64("balance", v.Balance).Dur("wait", v.RetryAfter).Msg("over_allowance")
	c.units = 0
	return &refusal{http.StatusTooManyRequests, "over_allowance", v.RetryAfter}
}

// job describes the request to the scheduler.
func (c *caller) job() dispatch.Job {
	now := c.d.now()
	arrived := now - time.Since(c.arrived)
	limit := now + time.Until(c.limit)
	j := dispatch.Job{
		Handle: c.d.lastHandle.Add(1), Service: c.service, Tier: c.route.Tier,
		PromptTokens: c.call.Prompt, ExpectedEvents: c.events(), Tried: c.tried, Avoided: c.avoided,
		Objective: arrived + c.route.Objective, AbandonAt: limit,
		Request: c.digest, Suspicion: suspicionFor(c.d.suspects.status(c.digest)),
	}
	if c.org != nil {
		j.Tier += c.org.Tier * routeTiers
	}
	if c.route.Kind == routing.Stream {
		j.AbandonAt = min(limit, arrived+c.patience()) - leaveMargin
		j.MaxPause, j.Deadline = c.route.MaxPause, limit
	}
	return j
}

// events is how many events the answer is expected to have, by the caller's guess;
// 0 if it gave none.
func (c *caller) events() int {
	sv := c.d.table.Load().Service(c.service)
	if sv == nil || sv.Engine == nil {
		return 0
	}
	return c.call.GuessedOutput / sv.Engine.TokensPerEvent
}

// patience is how long a caller of a stream waits for an event.
func (c *caller) patience() time.Duration {
	return max(leastPatience, objectivePatience*c.route.Objective, pausePatience*c.route.MaxPause)
}

// refuse answers for the system itself.
func (c *caller) refuse(bad refusal) {
	c.d.count("refusals." + bad.reason)
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	c.d.log.Info().Str("request", c.call.ID).Stringer("digest", c.digest).Str("route", route).Int("status", bad.status).Str("reason", bad.reason).
		Dur("retry_after", bad.after).Int("sent", c.sent).Dur("held", time.Since(c.arrived)).Msg("refused")
	if c.org != nil && c.units > 0 && !c.ran {
		c.d.peers.refund(allowance.Amount{Organisation: c.org.Name, Units: c.units})
	}
	c.drain()
	h := c.w.Header()
	c.d.codec.Refusal(h, c.call.ID)
	if bad.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(bad.after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	c.w.WriteHeader(bad.status)
}

const (
	// drainBytes and drainTime bound what is read of the body of a refused request.
	drainBytes = 256 << 10
	drainTime  = time.Second
)

// drain reads what the caller still sends of a refused request. A connection that is
// closed while bytes come in is reset, and with it goes the answer: the caller sees a
// broken connection in place of a status.
func (c *caller) drain() {
	if c.body != nil || c.r.ContentLength == 0 || c.r.Body == nil {
		return
	}
	rc := http.NewResponseController(c.w)
	if err := rc.SetReadDeadline(time.Now().Add(drainTime)); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c.r.Body, drainBytes); err == nil {
		// There is more; the server closes the connection.
		c.w.Header().Set("Connection", "close")
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		c.d.log.Warn().Str("request", c.call.ID).Err(err).Msg("read_deadline_kept")
	}
}
