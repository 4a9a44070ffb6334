package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/core/sse"
	"github.com/chivefield/chivefield/upstream"
)

// stream passes events of one request on, over one or more endpoints.
type stream struct {
	c *caller
	// begun says that the caller has the head of the answer.
	begun bool
	// lastID is the last whole event that the caller has.
	lastID string
	events int
	split  sse.Splitter
	// first and last are when the first and the last events came, pause is the
	// longest time between two.
	first, last time.Time
	pause       time.Duration
}

// note takes down when events came.
func (s *stream) note() {
	now := time.Now()
	if s.events == 0 {
		s.first = now
	} else {
		s.pause = max(s.pause, now.Sub(s.last))
	}
	s.last = now
	s.events++
}

// readSize is the buffer for events, in bytes.
const readSize = 4 << 10

// pass passes the events of one endpoint's answer on.
func (s *stream) pass(ctx context.Context, handle uint64, ans *upstream.Response, watch *stall) attempt {
	s.split.Reset()
	buf := make([]byte, readSize)
	for {
		n, err := ans.Read(buf)
		if n > 0 {
			whole, werr := s.split.Write(buf[:n])
			if werr != nil {
				return attempt{outcome: dispatch.Broken, err: werr}
			}
			if len(whole) > 0 {
				watch.sign()
				s.c.visit.markFirstEvent()
				s.c.d.placing.events(handle, s.split.IDCount)
				if werr := s.send(ans.Response, whole); werr != nil {
					return attempt{outcome: dispatch.CallerLeft, err: werr, delivered: true}
				}
			}
		}
		if err == io.EOF {
			s.c.d.suspects.recordSuccess(s.c.digest, ans)
			return s.finish(ans.Response)
		}
		if err != nil {
			if ctx.Err() != nil {
				return attempt{outcome: dispatch.CallerLeft, err: err}
			}
			return attempt{outcome: dispatch.Broken, cut: isConnectionBroken(err), err: err}
		}
	}
}

// finish ends the stream as complete.
func (s *stream) finish(resp *http.Response) attempt {
	if torn := s.split.Pending(); len(torn) > 0 {
		if err := s.send(resp, torn); err != nil {
			return attempt{outcome: dispatch.CallerLeft, err: err, delivered: true}
		}
	}
	if !s.begun {
		s.begin(resp)
	}
	s.c.logStream(resp.StatusCode, s)
	return attempt{outcome: dispatch.Answered, delivered: true}
}

func (s *stream) begin(resp *http.Response) {
	s.begun = true
	copyHeaders(s.c.w.Header(), resp.Header)
	s.c.w.WriteHeader(resp.StatusCode)
	s.c.d.observe("first_event", time.Since(s.c.arrived))
}

// send passes whole events on at once.
func (s *stream) send(resp *http.Response, events []byte) error {
	if !s.begun {
		s.begin(resp)
	}
	s.note()
	if _, err := s.c.w.Write(events); err != nil {
		return err
	}
	if s.split.LastID != "" {
		s.lastID = s.split.LastID
	}
	return http.NewResponseController(s.c.w).Flush()
}

// logStream says how a whole stream went, and whether it kept its objective.
func (c *caller) logStream(status int, s *stream) {
	first := s.first.Sub(c.arrived)
	lateBy := ""
	switch {
	case first > c.route.Objective:
		lateBy = "first_event"
	case s.pause > c.route.MaxPause:
		lateBy = "pause"
	}
	c.d.count("streams")
	c.d.observe("stream", time.Since(c.arrived))
	c.d.log.Info().Str("request", c.call.ID).Int("status", status).Int("events", s.events).Dur("took", time.Since(c.arrived)).
		Dur("first_event", first).Dur("longest_pause", s.pause).Bool("late", lateBy != "").Str("late_by", lateBy).
		Int("sent", c.sent).Msg("streamed")
}
