package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/sse"
	"github.com/chivefield/chivefield/upstream"
)

// eventStream forwards the events of one request from one or more endpoints.
type eventStream struct {
	c *callerRequest
	// headersSent is set once the response headers have been sent to the caller.
	headersSent bool
	// lastEventID is the ID of the last complete event sent to the caller.
	lastEventID string
	// versions lists the software versions whose events the caller got, in order; version is that of
	// the endpoint in use.
	versions []string
	version  string
	// endpoint is the one in use.
	endpoint *members.Endpoint
	events   int
	splitter sse.Splitter
	// firstAt and lastAt are the times of the first and the last event, longestPause is the
	// longest interval between two events.
	firstAt, lastAt time.Time
	longestPause    time.Duration
}

// recordEvent records the arrival time of events and the version that sent them. The version of the first
// ones, which are about to reach the caller, is the stream's from then on.
func (s *eventStream) recordEvent() {
	if s.c.version.Load() == nil {
		version := s.version
		s.c.version.Store(&version)
	}
	if s.events == 0 {
		s.c.d.resumption.recordFirstEvent(s.c, s.version)
	}
	now := time.Now()
	s.c.lastEvent.Store(int64(s.c.d.now()))
	if s.events == 0 {
		s.firstAt = now
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.events++
	if len(s.versions) == 0 || s.versions[len(s.versions)-1] != s.version {
		s.versions = append(s.versions, s.version)
	}
}

// readBufferSize is the size of the read buffer in bytes.
const readBufferSize = 4 << 10

const (
	// maxIdleBytes and idleBytesPerSecond bound the bytes of a stream since its last event that belong to none. Comments
	// keep a quiet stream open; an endpoint that sends nothing else without end is faulty.
	maxIdleBytes       = 64 << 10
	idleBytesPerSecond = 4 << 10
)

// forward sends the events of one endpoint's response to the caller.
func (s *eventStream) forward(ctx context.Context, handle uint64, resp *upstream.Response, watch *attemptWatch) attemptResult {
	s.splitter.Reset()
	defer s.splitter.Reset()
	memory := s.c.d.responseMemory.share()
	defer memory.release()
	buf := make([]byte, readBufferSize)
	lastEvent := time.Now()
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			events, werr := s.splitter.Write(buf[:n])
			if werr != nil {
				return attemptResult{outcome: outcomeOf(werr), err: werr}
			}
			idle := time.Since(lastEvent)
			if s.splitter.HasEvent {
				lastEvent = time.Now()
			}
			if merr := memory.resize(ctx, int64(s.splitter.Buffered()), watch); merr != nil {
				return attemptResult{outcome: dispatch.CallerDisconnected, err: merr}
			}
			if a, ok := s.forwardBlocks(ctx, handle, resp, events, watch); !ok {
				return a
			}
			if bound := maxIdleBytes + int(idle.Seconds()*idleBytesPerSecond); s.splitter.IdleBytes() > bound {
				return attemptResult{outcome: dispatch.Endless, err: &IdleStreamError{Bytes: s.splitter.IdleBytes()}}
			}
		}
		if err == io.EOF {
			return s.finish(resp)
		}
		if err != nil {
			if ctx.Err() != nil {
				return attemptResult{outcome: dispatch.CallerDisconnected, err: err}
			}
			return attemptResult{outcome: outcomeOf(err), connectionLost: isConnectionBroken(err), err: err}
		}
	}
}

// forwardBlocks sends complete blocks of a response to the caller. Those without an event are no sign of progress.
// If ok is false, the attempt has ended with the result.
func (s *eventStream) forwardBlocks(ctx context.Context, handle uint64, resp *upstream.Response, blocks [][]byte, watch *attemptWatch) (a attemptResult, ok bool) {
	if len(blocks) == 0 {
		return a, true
	}
	if !s.splitter.HasEvent {
		if !watch.Suspend() {
			return attemptResult{outcome: dispatch.Silent, connectionLost: true, err: context.Cause(ctx)}, false
		}
		defer watch.Continue()
		if err := s.write(resp, blocks); err != nil {
			return attemptResult{outcome: dispatch.CallerDisconnected, err: err, delivered: true}, false
		}
		return a, true
	}
	if !watch.Pause() {
		return attemptResult{outcome: dispatch.Silent, connectionLost: true, err: context.Cause(ctx)}, false
	}
	s.c.tracked.markFirstEvent()
	s.c.d.placement.recordEvents(handle, s.splitter.IDCount)
	if err := s.writeEvents(resp, blocks); err != nil {
		return attemptResult{outcome: dispatch.CallerDisconnected, err: err, delivered: true}, false
	}
	watch.Resume()
	return a, true
}

func (s *eventStream) writeHeaders(resp *upstream.Response) {
	s.headersSent = true
	s.c.startResponse(resp, unknownLength)
	s.c.d.observe("first_event", time.Since(s.c.arrived))
}

// writeEvents sends complete events to the caller without delay.
func (s *eventStream) writeEvents(resp *upstream.Response, events [][]byte) error {
	s.recordEvent()
	if err := s.write(resp, events); err != nil {
		return err
	}
	if s.splitter.LastID != "" {
		s.lastEventID = s.splitter.LastID
	}
	return nil
}

// write sends bytes of the response to the caller without delay.
func (s *eventStream) write(resp *upstream.Response, pieces [][]byte) error {
	if !s.headersSent {
		s.writeHeaders(resp)
	}
	for _, b := range pieces {
		if err := s.c.writeToCaller(b); err != nil {
			return err
		}
	}
	return http.NewResponseController(s.c.w).Flush()
}

// logStream logs a complete stream and whether it met its objective. partial is the number of bytes
// after the last complete event.
func (c *callerRequest) logStream(resp *upstream.Response, s *eventStream, partial int) {
	first := s.firstAt.Sub(c.arrived)
	lateBy := ""
	switch {
	case first > c.route.Objective:
		lateBy = "first_event"
	case s.longestPause > c.route.MaxPause:
		lateBy = "pause"
	}
	c.d.count("streams")
	c.countFraming(resp)
	c.d.observe("stream", time.Since(c.arrived))
	c.d.log.Info().Str("request", c.reqHeaders.ID).Int("status", resp.StatusCode).Stringer("framing", resp.Framing()).Int("partial", partial).Int("events", s.events).Dur("took", time.Since(c.arrived)).
		Dur("first_event", first).Dur("longest_pause", s.longestPause).Bool("late", lateBy != "").Str("late_by", lateBy).
		Int("sent", c.sendCount).Str("carrier", resp.Carrier()).
		Str("versions", strings.Join(s.versions, ",")).Str("resumes", c.reqHeaders.Resumes).Str("after", c.reqHeaders.LastEventID).Msg("streamed")
}
