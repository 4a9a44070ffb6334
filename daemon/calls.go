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

// callerRequest is a caller's request that is served by this VM.
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

	// sentTokens counts the tokens written to the caller. It and streamStarted
	// are used only by the caller's goroutine.
	sentTokens    int
	streamStarted bool
}

// outcome is the JSON body of a final outcome other than a successful response.
type outcome struct {
	Outcome    request.Outcome `json:"outcome"`
	Reason     request.Reason  `json:"reason"`
	RetryAfter time.Duration   `json:"-"`
	// RetryAfterMS is the Retry-After header in milliseconds; the header has
	// whole seconds only.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	conflict     bool
}

func newOutcome(f core.Finish) outcome {
	return outcome{Outcome: f.Outcome, Reason: f.Reason, RetryAfter: f.RetryAfter, RetryAfterMS: f.RetryAfter.Milliseconds()}
}

var conflictOutcome = outcome{Reason: request.ReasonBodyConflict, conflict: true}

// httpStatus returns the HTTP status of a final outcome without a response.
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

// unregister removes a request whose caller has its response or disconnected.
// If it still runs, it stays registered until the run ends.
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

// rulesOf returns the rules under which a request was admitted.
func (d *Daemon) rulesOf(c *callerRequest) *config.Rules {
	if c == nil {
		return &config.Rules{}
	}
	return c.rules
}

// finish passes the final outcome to the caller's goroutine and removes the
// request.
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

// currentResponse returns the response, nil if there is none yet, and a channel
// that is closed when it is replaced.
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

// writeNewTokens writes the tokens of a streamed response that have not been
// written yet and returns a channel that is closed when more arrive. Responses
// that are not streamed are written at the end.
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

// writeTimeout is how long a caller may take to read the data written to it.
const writeTimeout = 30 * time.Second

// writeOutcome writes the final outcome. A stream that has begun and is
// incomplete ends with an error event and an aborted connection, so that it
// cannot be mistaken for a complete one.
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

// chunk holds the fields of a streamed token from which a complete response is
// assembled.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// Responses of the two completion paths when they are not streamed.
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
