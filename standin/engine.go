package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivefield/chivefield/engine"
	"github.com/chivefield/chivefield/prompt"
)

// EngineFaults are the injected faults of an Engine. They can be changed while it runs.
type EngineFaults struct {
	// Slow is the factor by which prefill and generation take longer. Values
	// below 1 mean 1.
	Slow float64 `json:"slow"`
	// CutAfter closes the caller's connection after that many tokens; the
	// request keeps running. 0 means never.
	CutAfter int `json:"cut_after"`
	// Leaving is set in the load report and rejects new requests with 503.
	Leaving bool `json:"leaving"`
	// Refuse rejects new requests with 503, without running them.
	Refuse bool `json:"refuse"`
}

// Engine is a stand-in for an inference engine.
type Engine struct {
	Name string
	// ReportLag is the maximum age of the load report, which is refreshed on request.
	ReportLag time.Duration

	// IgnoresFencing simulates an engine without fencing, which runs every request it is sent.
	IgnoresFencing bool

	mu              sync.Mutex
	fencedStreams   map[string]bool
	start           time.Time
	engineModel     *engine.Model
	faults          EngineFaults
	streams         map[string]*stream
	runCounts       map[string]int
	keptCacheEvents []engine.CacheEvent
	// firstCacheEvent is the number of the oldest cache event that is kept.
	firstCacheEvent int
	report          LoadReport
	reportedAt      time.Time
}

// stream is a request in the engine. changed is closed when there may be progress.
type stream struct {
	id           string
	key          string
	chat         bool
	outputTokens int
	done         bool
	cancelled    bool
	changed      chan struct{}
}

// LoadReport is the load that an engine reports. It may be up to ReportLag old.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// CacheReport holds the cache events with the numbers First to Next-1.
type CacheReport struct {
	First  int                 `json:"first"`
	Next   int                 `json:"next"`
	Events []engine.CacheEvent `json:"events"`
}

const (
	// maxCacheEvents is the number of cache events kept; slower readers see a gap.
	maxCacheEvents = 256
	engineTick     = 2 * time.Millisecond
)

// NewEngine starts an engine that runs until the process exits.
func NewEngine(name string, cfg engine.Config) *Engine {
	e := &Engine{Name: name, start: time.Now(), streams: map[string]*stream{}, fencedStreams: map[string]bool{}, runCounts: map[string]int{}}
	e.engineModel = engine.New(cfg, 0)
	go e.run()
	return e
}

func (e *Engine) run() {
	for range time.Tick(engineTick) {
		e.mu.Lock()
		e.advance()
		e.mu.Unlock()
	}
}

// advance moves the engine model to the current time, marks finished streams,
// collects cache events and notifies the readers of all streams.
func (e *Engine) advance() {
	for _, ev := range e.engineModel.Advance(time.Since(e.start)) {
		if s := e.streams[ev.ID]; s != nil && ev.Kind == engine.Done {
			s.done = true
		}
	}
	e.keptCacheEvents = append(e.keptCacheEvents, e.engineModel.TakeCacheEvents()...)
	if excess := len(e.keptCacheEvents) - maxCacheEvents; excess > 0 {
		e.keptCacheEvents = e.keptCacheEvents[excess:]
		e.firstCacheEvent += excess
	}
	for _, s := range e.streams {
		s.notifyReaders()
	}
}

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// RunCounts returns the number of runs of each request key.
func (e *Engine) RunCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runCounts))
	for k, v := range e.runCounts {
		out[k] = v
	}
	return out
}

// PrefilledTokens returns the number of prompt tokens that were not found in the
// cache and had to be prefilled.
func (e *Engine) PrefilledTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.engineModel.PrefilledTokens
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.engineModel.SetSlowdown(time.Since(e.start), max(f.Slow, 1))
}

// Handler serves the engine's protocol and the endpoints under /control, which
// change faults and return counts.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	mux.HandleFunc("GET /control/ran", func(w http.ResponseWriter, _ *http.Request) { encode(w, e.RunCounts()) })
	mux.HandleFunc("GET /control/prefill", func(w http.ResponseWriter, _ *http.Request) { encode(w, e.PrefilledTokens()) })
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var f EngineFaults
		if decode(w, r, &f) {
			e.SetFaults(f)
		}
	})
	return mux
}

// completionRequest holds the fields of a request that the stand-in uses.
type completionRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (c *completionRequest) promptText() string {
	t := c.Prompt
	for _, m := range c.Messages {
		t += m.Content
	}
	return t
}

const defaultOutputTokens = 16

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if !decode(w, r, &c) {
		return
	}
	id := r.Header.Get("X-Stream-Id")
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultOutputTokens
	}
	e.mu.Lock()
	if e.faults.Refuse || e.faults.Leaving {
		e.mu.Unlock()
		http.Error(w, "not admitted", http.StatusServiceUnavailable)
		return
	}
	if e.fencedStreams[id] {
		e.mu.Unlock()
		http.Error(w, "fenced", http.StatusGone)
		return
	}
	s := &stream{id: id, key: r.Header.Get("X-Request-Key"), chat: strings.Contains(r.URL.Path, "chat"), outputTokens: c.MaxTokens, changed: make(chan struct{})}
	e.streams[id] = s
	e.runCounts[s.key]++
	text := c.promptText()
	e.engineModel.Submit(time.Since(e.start), id, prompt.BlockHashes(text), prompt.EstimateTokens(text), c.MaxTokens)
	e.mu.Unlock()
	e.writeStream(w, r, s, 0)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		http.NotFound(w, r)
		return
	}
	e.writeStream(w, r, s, offset)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	s := e.streams[id]
	if r.URL.Query().Has("fence") && !e.IgnoresFencing {
		e.fence(w, id, s)
		return
	}
	if s == nil {
		http.NotFound(w, r)
		return
	}
	if !s.done {
		s.cancelled = true
		e.engineModel.Cancel(time.Since(e.start), s.id)
		s.notifyReaders()
	}
	encode(w, struct{}{})
}

// fence promises never to run a stream that has not been received. One that has
// is left as it is.
func (e *Engine) fence(w http.ResponseWriter, id string, s *stream) {
	if s != nil {
		encode(w, map[string]string{"state": "started"})
		return
	}
	e.fencedStreams[id] = true
	encode(w, map[string]string{"state": "never_started"})
}

// tokenData returns the event data of token i, in the format of the chat or the
// completions API, depending on the path of the request.
func (s *stream) tokenData(i int) string {
	text, _ := json.Marshal(TokenText(s.key, i))
	if s.chat {
		return fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%s}}]}`, text)
	}
	return fmt.Sprintf(`{"choices":[{"index":0,"text":%s}]}`, text)
}

// TokenText returns the text of token i of the response to a request key. It
// contains a hash of the key, so that tests detect a response to the wrong caller.
func TokenText(key string, i int) string {
	return fmt.Sprintf("%x.%d ", uint16(xxhash.Sum64String(key)), i)
}

// ResponseText returns the complete response to a request key.
func ResponseText(key string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(key, i))
	}
	return b.String()
}

// writeStream streams tokens from an offset until the stream ends or the caller disconnects.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		e.mu.Lock()
		available := e.engineModel.GeneratedTokens(s.id)
		done, cancelled, changed, cutAfter := s.done, s.cancelled, s.changed, e.faults.CutAfter
		e.mu.Unlock()
		if done {
			available = s.outputTokens
		}
		for ; offset < available; offset++ {
			if cutAfter > 0 && offset >= cutAfter {
				// Flush the tokens before the cut; without them the caller could not
				// distinguish it from a refusal.
				_ = flusher.Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, s.tokenData(offset))
		}
		if cancelled {
			_, _ = fmt.Fprint(w, "event: cancelled\ndata: {}\n\n")
			return
		}
		if done {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		_ = flusher.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportedAt) >= e.ReportLag {
		running, waiting := e.engineModel.Load()
		e.report = LoadReport{Running: running, Waiting: waiting, Leaving: e.faults.Leaving}
		e.reportedAt = time.Now()
	}
	encode(w, e.report)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	next := e.firstCacheEvent + len(e.keptCacheEvents)
	start := min(max(after, e.firstCacheEvent), next)
	encode(w, CacheReport{First: start, Next: next, Events: e.keptCacheEvents[start-e.firstCacheEvent:]})
}
