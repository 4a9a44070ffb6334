package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivefield/chivefield/config"
	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/request"
	"github.com/chivefield/chivefield/schema"
)

// callerCall is one request of a caller at this VM.
type callerCall struct {
	spec        request.Spec
	rules       *config.Rules
	path        string
	contentType string
	body        []byte
	stream      bool
	chat        bool
	final       chan outcome

	mu      sync.Mutex
	answer  *answer
	changed chan struct{}
	cancel  context.CancelFunc
	target  *schema.Endpoint
	id      string
	stopped bool

	// sent counts the tokens passed on; only the caller's goroutine uses it.
	sent    int
	started bool
}

// outcome is the body of a final answer that is not the answer itself.
type outcome struct {
	Outcome    request.Outcome `json:"outcome"`
	Reason     request.Reason  `json:"reason"`
	RetryAfter time.Duration   `json:"-"`
	// RetryAfterMS repeats the Retry-After header, which counts whole seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	conflict     bool
}

func outcomeOf(f core.Finish) outcome {
	return outcome{Outcome: f.Outcome, Reason: f.Reason, RetryAfter: f.RetryAfter, RetryAfterMS: f.RetryAfter.Milliseconds()}
}

var conflictOutcome = outcome{Reason: request.ReasonBodyConflict, conflict: true}

// status is the HTTP status of a final outcome without an answer.
func (o *outcome) status() int {
	switch {
	case o.conflict:
		return http.StatusUnprocessableEntity
	case o.Outcome == request.NotRun:
		return http.StatusServiceUnavailable
	case o.Outcome == request.Cancelled:
		return http.StatusGone
	}
	return http.StatusGatewayTimeout
}

func (d *Daemon) register(c *callerCall) uint64 {
	handle := d.lastHandle.Add(1)
	c.changed = make(chan struct{})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[handle] = c
	return handle
}

// forget drops a call whose caller was answered. One that still runs for a
// caller that left is dropped when it ends.
func (d *Daemon) forget(handle uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.calls[handle]; c != nil && !c.runs() {
		delete(d.calls, handle)
	}
}

func (d *Daemon) callOf(handle uint64) *callerCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[handle]
}

func (d *Daemon) handleOf(k request.Key) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for h, c := range d.calls {
		if c.spec.Key == k {
			return h, true
		}
	}
	return 0, false
}

// rulesOf returns the rules a call was admitted under.
func (d *Daemon) rulesOf(c *callerCall) *config.Rules {
	if c == nil {
		return &config.Rules{}
	}
	return c.rules
}

// finish hands the final outcome to the caller's goroutine.
func (d *Daemon) finish(handle uint64, out outcome) {
	c := d.callOf(handle)
	if c == nil {
		return
	}
	c.endRun()
	c.final <- out
	d.mu.Lock()
	delete(d.calls, handle)
	d.mu.Unlock()
}

func (d *Daemon) count(name string) {
	metrics.GetOrRegisterCounter(name, d.metrics).Inc(1)
}

func (c *callerCall) setAnswer(a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = a
	close(c.changed)
	c.changed = make(chan struct{})
}

// current returns the answer, if there is one, and a channel that closes when
// another takes its place.
func (c *callerCall) current() (*answer, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer, c.changed
}

func (c *callerCall) setRun(cancel context.CancelFunc, e *schema.Endpoint, stream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel, c.target, c.id, c.stopped = cancel, e, stream, false
}

func (c *callerCall) runs() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancel != nil
}

func (c *callerCall) endRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
}

func (c *callerCall) stopRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.stopped = true
		c.cancel()
	}
}

func (c *callerCall) runState() (e *schema.Endpoint, stream string, stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target, c.id, c.stopped
}

// pass writes what is new of a streamed answer and returns the channel that
// tells of more. Whole answers are written at the end.
func (c *callerCall) pass(w http.ResponseWriter, a *answer) <-chan struct{} {
	p := a.from(c.sent)
	if !c.stream || len(p.tokens) == 0 {
		return p.changed
	}
	if !c.started {
		c.started = true
		w.Header().Set("Content-Type", "text/event-stream")
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, t := range p.tokens {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", c.sent, t)
		c.sent++
	}
	_ = rc.Flush()
	return p.changed
}

// writeTimeout is how long a caller may take to read what is there for it.
const writeTimeout = 30 * time.Second

// end writes the final outcome. A stream that has begun and is not whole ends
// with an error event and a broken connection, never as if it were complete.
func (c *callerCall) end(w http.ResponseWriter, out *outcome) {
	if out.Outcome != request.Answered || out.conflict {
		c.endWithout(w, out)
		return
	}
	a, _ := c.current()
	p := a.from(0)
	switch {
	case p.plain != nil:
		w.Header().Set("Content-Type", p.plain.ContentType)
		w.Header().Set(HeaderOutcome, string(out.Outcome))
		w.WriteHeader(p.plain.Status)
		_, _ = w.Write(p.plain.Body)
	case c.stream:
		_, _ = fmt.Fprint(w, "event: outcome\ndata: {\"outcome\":\"answered\"}\n\ndata: [DONE]\n\n")
	default:
		w.Header().Set(HeaderOutcome, string(out.Outcome))
		writeJSON(w, http.StatusOK, c.assemble(p.tokens))
	}
}

func (c *callerCall) endWithout(w http.ResponseWriter, out *outcome) {
	if c.started {
		data, _ := json.Marshal(out)
		_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if out.conflict {
		writeError(w, out.status(), string(out.Reason), "the request id was used with another body")
		return
	}
	w.Header().Set(HeaderOutcome, string(out.Outcome))
	if out.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(out.RetryAfter.Seconds()))))
	}
	writeJSON(w, out.status(), out)
}

// chunk is the part of a streamed token that a whole answer is made of.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// Whole answers of the two completion paths.
type (
	wholeMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	wholeChoice struct {
		Index        int           `json:"index"`
		Text         string        `json:"text,omitempty"`
		Message      *wholeMessage `json:"message,omitempty"`
		FinishReason string        `json:"finish_reason"`
	}
	wholeAnswer struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Choices []wholeChoice `json:"choices"`
		Usage   wholeUsage    `json:"usage"`
	}
	wholeUsage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	}
)

func (c *callerCall) assemble(tokens [][]byte) wholeAnswer {
	var text strings.Builder
	for _, t := range tokens {
		var ch chunk
		if err := json.Unmarshal(t, &ch); err == nil && len(ch.Choices) > 0 {
			text.WriteString(ch.Choices[0].Text + ch.Choices[0].Delta.Content)
		}
	}
	w := wholeAnswer{ID: c.spec.Key.ID, Object: "text_completion", Usage: wholeUsage{c.spec.PromptTokens, len(tokens)}}
	choice := wholeChoice{FinishReason: "stop", Text: text.String()}
	if c.chat {
		w.Object = "chat.completion"
		choice.Text, choice.Message = "", &wholeMessage{Role: "assistant", Content: text.String()}
	}
	w.Choices = []wholeChoice{choice}
	return w
}
