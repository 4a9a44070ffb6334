package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/prompt"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
	"github.com/chivefield/chivefield/settings"
)

// Headers of caller requests and of the responses to them.
const (
	HeaderKind     = "Chivefield-Kind"
	HeaderID       = "Chivefield-Request-Id"
	HeaderAttempt  = "Chivefield-Attempt"
	HeaderDeadline = "Chivefield-Deadline"
	HeaderOutcome  = "Chivefield-Outcome"
)

const (
	maxIDLength  = 200
	minDeadline  = time.Millisecond
	maxDeadline  = 24 * time.Hour
	maxAttempt   = 1 << 20
	servicesPath = "/v1/services/"
	requestsPath = "/v1/requests/"
)

// requestError is the HTTP error for a request that is rejected before it
// reaches the core.
type requestError struct {
	status int
	code   string
	text   string
}

func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", d.serveRequest)
	mux.HandleFunc("POST /v1/chat/completions", d.serveRequest)
	mux.HandleFunc("POST "+servicesPath+"{kind}", d.serveRequest)
	mux.HandleFunc("DELETE "+requestsPath+"{id}", d.serveCancel)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, struct{}{}) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	return mux
}

// serveReady reports to the load balancer whether this VM accepts requests.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	s := d.status.Load()
	if !s.Ready {
		writeError(w, http.StatusServiceUnavailable, "not_ready", s.Why)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	var b errorBody
	b.Error.Code, b.Error.Message = code, message
	writeJSON(w, status, b)
}

// authenticate returns the current rules and the organisation whose API key the
// request carries.
func (d *Daemon) authenticate(r *http.Request) (*config.Rules, *schema.Organisation, *requestError) {
	rules := d.rules.Load()
	if rules == nil {
		return nil, nil, &requestError{http.StatusServiceUnavailable, "not_ready", d.status.Load().Why}
	}
	org, ok := rules.OrganisationByKey(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	if !ok {
		return nil, nil, &requestError{http.StatusUnauthorized, "unauthenticated", "a valid API key is needed"}
	}
	return rules, org, nil
}

// parseRequest reads and validates an HTTP request.
func (d *Daemon) parseRequest(w http.ResponseWriter, r *http.Request) (*callerRequest, *requestError) {
	rules, org, bad := d.authenticate(r)
	if bad != nil {
		return nil, bad
	}
	body, bad := d.readBody(w, r)
	if bad != nil {
		return nil, bad
	}
	c := &callerRequest{rules: rules, body: body, contentType: r.Header.Get("Content-Type"), final: make(chan outcome, 1)}
	in, kind, bad := c.resolveKind(r)
	if bad != nil {
		return nil, bad
	}
	id, given := requestID(r)
	if len(id) > maxIDLength {
		return nil, &requestError{http.StatusBadRequest, "bad_request_id", "at most 200 characters"}
	}
	c.spec = rules.Spec(org, kind, id)
	c.spec.Digest = xxhash.Sum64(body) | 1
	c.fillPromptInfo(in)
	if bad := d.fillAttempt(r, c, given); bad != nil {
		return nil, bad
	}
	return c, d.fillDeadline(r, c, kind)
}

func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *requestError) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(d.settings.ReadTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(d.settings.Limits.MaxBodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &requestError{http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit"}
	case err != nil:
		return nil, &requestError{http.StatusBadRequest, "bad_body", "the body could not be read"}
	}
	return body, nil
}

// completionRequest holds the fields of a completion request that are used
// here.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// resolveKind determines the request kind: for a plain service from the path,
// otherwise from the header, otherwise the first kind of the model named in the
// body.
func (c *callerRequest) resolveKind(r *http.Request) (in completionRequest, k *schema.Kind, bad *requestError) {
	name := r.PathValue("kind")
	if name != "" {
		k, ok := c.rules.Kind(name)
		if !ok || k.Path == "" {
			return in, nil, &requestError{http.StatusNotFound, "unknown_kind", "no such service kind"}
		}
		c.path = k.Path
		return in, k, nil
	}
	if err := json.Unmarshal(c.body, &in); err != nil {
		return in, nil, &requestError{http.StatusBadRequest, "bad_body", "the body is not a valid completion request"}
	}
	c.path, c.stream = r.URL.Path, in.Stream
	c.chat = strings.Contains(c.path, "chat")
	if name = r.Header.Get(HeaderKind); name != "" {
		k, ok := c.rules.Kind(name)
		if !ok || k.Model == "" || in.Model != "" && in.Model != k.Model {
			return in, nil, &requestError{http.StatusBadRequest, "unknown_kind", "no such kind for this model"}
		}
		return in, k, nil
	}
	for _, k := range c.rules.Document.Kinds {
		if k.Model != "" && k.Model == in.Model {
			return in, k, nil
		}
	}
	return in, nil, &requestError{http.StatusBadRequest, "unknown_kind", "name the kind in " + HeaderKind}
}

// fillPromptInfo sets the prompt's length, its block hashes and the output
// limit.
func (c *callerRequest) fillPromptInfo(in completionRequest) {
	if c.spec.Model == "" {
		return
	}
	text := in.Prompt
	for _, m := range in.Messages {
		text += m.Content
	}
	c.spec.PromptTokens = prompt.EstimateTokens(text)
	c.spec.PrefixHashes = prompt.BlockHashes(text)
	c.spec.MaxOutputTokens = max(0, in.MaxTokens)
}

// requestID returns the caller's request id. Without one it generates an id;
// such a request cannot be retried.
func requestID(r *http.Request) (id string, given bool) {
	if id = r.Header.Get(HeaderID); id != "" {
		return id, true
	}
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:]), false
}

func (d *Daemon) fillAttempt(r *http.Request, c *callerRequest, given bool) *requestError {
	if !given {
		c.spec.Attempt = request.FirstAttempt
		c.spec.TrustFirstAttempt = true
		return nil
	}
	h := r.Header.Get(HeaderAttempt)
	if h == "" {
		if d.settings.Claims.UndeclaredAttempt == settings.UndeclaredFirstAttempt {
			c.spec.Attempt = request.FirstAttempt
		}
		return nil
	}
	n, err := strconv.ParseUint(h, 10, 32)
	if err != nil || n == 0 || n > maxAttempt {
		return &requestError{http.StatusBadRequest, "bad_attempt", HeaderAttempt + " counts from 1"}
	}
	c.spec.Attempt = request.Attempt(n)
	return nil
}

func (d *Daemon) fillDeadline(r *http.Request, c *callerRequest, k *schema.Kind) *requestError {
	timeout := config.DefaultDeadline(k)
	if h := r.Header.Get(HeaderDeadline); h != "" {
		var err error
		timeout, err = time.ParseDuration(h)
		if err != nil || timeout > maxDeadline {
			return &requestError{http.StatusBadRequest, "bad_deadline", HeaderDeadline + ` is the time left, such as "30s"`}
		}
	}
	if timeout < minDeadline {
		return &requestError{http.StatusBadRequest, "deadline_passed", "no time is left"}
	}
	c.spec.Deadline = d.now() + timeout
	return nil
}

// serveRequest serves a caller's request from arrival to its final outcome.
func (d *Daemon) serveRequest(w http.ResponseWriter, r *http.Request) {
	c, bad := d.parseRequest(w, r)
	if bad != nil {
		d.count("callers.bad." + bad.code)
		writeError(w, bad.status, bad.code, bad.text)
		return
	}
	handle := d.register(c)
	defer d.unregister(handle)
	w.Header().Set(HeaderID, c.spec.Key.ID)
	select {
	case d.events <- loopInput{event: core.Arrive{Handle: handle, Spec: c.spec}}:
	case <-r.Context().Done():
		return
	}
	out := d.deliver(w, r, c)
	if out == nil {
		d.pushDisconnected(handle)
		return
	}
	d.logOutcome(c, out)
	c.writeOutcome(w, out)
}

// pushDisconnected reports to the core that the caller disconnected. It does
// not use the request's context, which is already cancelled.
func (d *Daemon) pushDisconnected(handle uint64) {
	select {
	case d.events <- loopInput{event: core.CallerDisconnected{Handle: handle}}:
	case <-d.done:
	}
}

// deliver streams the response until the final outcome and returns that, or nil
// if the caller disconnected.
func (d *Daemon) deliver(w http.ResponseWriter, r *http.Request, c *callerRequest) *outcome {
	for {
		resp, started := c.currentResponse()
		var changed <-chan struct{}
		if resp != nil {
			changed = c.writeNewTokens(w, resp)
		}
		select {
		case out := <-c.final:
			if resp, _ := c.currentResponse(); resp != nil && out.Outcome == request.Answered {
				c.writeNewTokens(w, resp)
			}
			return &out
		case <-changed:
		case <-started:
		case <-r.Context().Done():
			return nil
		}
	}
}

func (d *Daemon) logOutcome(c *callerRequest, out *outcome) {
	d.count("outcomes." + string(out.Outcome))
	d.log.Info().Str("request", c.spec.Key.String()).Str("kind", c.spec.Kind).Uint32("tier", uint32(c.spec.Tier)).
		Str("outcome", string(out.Outcome)).Str("reason", string(out.Reason)).Int64("retry_after_ms", out.RetryAfter.Milliseconds()).Msg("outcome")
}

// serveCancel cancels a request of the same organisation that is served by this
// VM.
func (d *Daemon) serveCancel(w http.ResponseWriter, r *http.Request) {
	_, org, bad := d.authenticate(r)
	if bad != nil {
		writeError(w, bad.status, bad.code, bad.text)
		return
	}
	key := request.Key{Organisation: org.Name, ID: r.PathValue("id")}
	handle, ok := d.handleByKey(key)
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_request", "no such request is served here")
		return
	}
	d.push(r.Context(), core.Cancel{Handle: handle})
	writeJSON(w, http.StatusAccepted, struct{}{})
}
