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

// callerRequest is one request of a caller at this VM.
type callerRequest struct {
	spec        request.Spec
	rules       *config.Rules
	path        string
	contentType string
	body        []byte
	stream      bool
	chat        bool
	final       chan outcome

	mu              sync.Mutex
	response        *responseBuffer
	responseChanged chan struct{}
	cancel          context.CancelFunc
	target          *schema.Endpoint
	streamID        string
	stopRequested   bool

	// sentTokens counts the tokens passed on; only the caller's goroutine uses it.
	sentTokens    int
	streamStarted bool
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

func newOutcome(f core.Finish) outcome {
	return outcome{Outcome: f.Outcome, Reason: f.Reason, RetryAfter: f.RetryAfter, RetryAfterMS: f.RetryAfter.Milliseconds()}
}

var conflictOutcome = outcome{Reason: request.ReasonBodyConflict, conflict: true}

// httpStatus is the HTTP httpStatus of a final outcome without an answer.
func (o *outcome) httpStatus() int {
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

func (d *Daemon) register(c *callerRequest) uint64 {
	handle := d.lastHandle.Add(1)
	c.responseChanged = make(chan struct{})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests[handle] = c
	return handle
}

// unregister drops a call whose caller was answered. One that still runs for a
// caller that left is dropped when it ends.
func (d *Daemon) unregister(handle uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.requests[handle]; c != nil && !c.isRunning() {
		delete(d.requests, handle)
	}
}

func (d *Daemon) requestByHandle(handle uint64) *callerRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests[handle]
}

func (d *Daemon) handleByKey(k request.Key) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for h, c := range d.requests {
		if c.spec.Key == k {
			return h, true
		}
	}
	return 0, false
}

// rulesOf returns the rules a call was admitted under.
func (d *Daemon) rulesOf(c *callerRequest) *config.Rules {
	if c == nil {
		return &config.Rules{}
	}
	return c.rules
}

// finish hands the final outcome to the caller's goroutine.
func (d *Daemon) finish(handle uint64, out outcome) {
	c := d.requestByHandle(handle)
	if c == nil {
		return
	}
	c.clearRun()
	c.final <- out
	d.mu.Lock()
	delete(d.requests, handle)
	d.mu.Unlock()
}

func (d *Daemon) count(name string) {
	metrics.GetOrRegisterCounter(name, d.metrics).Inc(1)
}

func (c *callerRequest) setResponse(resp *responseBuffer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = resp
	close(c.responseChanged)
	c.responseChanged = make(chan struct{})
}

// currentResponse returns the answer, if there is one, and a channel that closes when
// another takes its place.
func (c *callerRequest) currentResponse() (*responseBuffer, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response, c.responseChanged
}

func (c *callerRequest) setRun(cancel context.CancelFunc, e *schema.Endpoint, stream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel, c.target, c.streamID, c.stopRequested = cancel, e, stream, false
}

func (c *callerRequest) isRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancel != nil
}

func (c *callerRequest) clearRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
}

func (c *callerRequest) stopRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.stopRequested = true
		c.cancel()
	}
}

func (c *callerRequest) runState() (e *schema.Endpoint, stream string, stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target, c.streamID, c.stopRequested
}

// writeNewTokens writes what is new of a streamed answer and returns the channel that
// tells of more. Whole answers are written at the end.
func (c *callerRequest) writeNewTokens(w http.ResponseWriter, resp *responseBuffer) <-chan struct{} {
	p := resp.readFrom(c.sentTokens)
	if !c.stream || len(p.tokens) == 0 {
		return p.changed
	}
	if !c.streamStarted {
		c.streamStarted = true
		w.Header().Set("Content-Type", "text/event-stream")
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, t := range p.tokens {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", c.sentTokens, t)
		c.sentTokens++
	}
	_ = rc.Flush()
	return p.changed
}

// writeTimeout is how long a caller may take to read what is there for it.
const writeTimeout = 30 * time.Second

// writeOutcome writes the final outcome. A stream that has begun and is not whole ends
// with an error event and a broken connection, never as if it were complete.
func (c *callerRequest) writeOutcome(w http.ResponseWriter, out *outcome) {
	if out.Outcome != request.Answered || out.conflict {
		c.writeFailure(w, out)
		return
	}
	resp, _ := c.currentResponse()
	p := resp.readFrom(0)
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

func (c *callerRequest) writeFailure(w http.ResponseWriter, out *outcome) {
	if c.streamStarted {
		data, _ := json.Marshal(out)
		_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if out.conflict {
		writeError(w, out.httpStatus(), string(out.Reason), "the request id was used with another body")
		return
	}
	w.Header().Set(HeaderOutcome, string(out.Outcome))
	if out.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(out.RetryAfter.Seconds()))))
	}
	writeJSON(w, out.httpStatus(), out)
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
	completionMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	completionChoice struct {
		Index        int                `json:"index"`
		Text         string             `json:"text,omitempty"`
		Message      *completionMessage `json:"message,omitempty"`
		FinishReason string             `json:"finish_reason"`
	}
	completionResponse struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Choices []completionChoice `json:"choices"`
		Usage   completionUsage    `json:"usage"`
	}
	completionUsage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	}
)

func (c *callerRequest) assemble(tokens [][]byte) completionResponse {
	var text strings.Builder
	for _, t := range tokens {
		var ch chunk
		if err := json.Unmarshal(t, &ch); err == nil && len(ch.Choices) > 0 {
			text.WriteString(ch.Choices[0].Text + ch.Choices[0].Delta.Content)
		}
	}
	w := completionResponse{ID: c.spec.Key.ID, Object: "text_completion", Usage: completionUsage{c.spec.PromptTokens, len(tokens)}}
	choice := completionChoice{FinishReason: "stop", Text: text.String()}
	if c.chat {
		w.Object = "chat.completion"
		choice.Text, choice.Message = "", &completionMessage{Role: "assistant", Content: text.String()}
	}
	w.Choices = []completionChoice{choice}
	return w
}
