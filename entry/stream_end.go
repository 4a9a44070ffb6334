package entry

import (
	"github.com/chivefield/chivefield/core/dispatch"
	"github.com/chivefield/chivefield/upstream"
)

// finish sends what is left after the last event and records the stream as complete, unless its end
// shows or suggests that it is not.
func (s *eventStream) finish(resp *upstream.Response) attemptResult {
	partial := s.splitter.PendingBytes()
	if resp.Unframed() {
		if a, ended := s.checkUnframedEnd(resp, partial); !ended {
			return a
		}
	}
	s.c.d.poison.RecordCompleteResponse(s.c.current, s.c.suspect, resp)
	if partial > 0 {
		if err := s.writeEvents(resp, s.splitter.Pending()); err != nil {
			return attemptResult{outcome: dispatch.CallerDisconnected, err: err, delivered: true}
		}
	}
	if !s.headersSent {
		s.writeHeaders(resp)
	}
	if err := s.c.completeResponse(); err != nil {
		return attemptResult{outcome: dispatch.CallerDisconnected, err: err, delivered: true}
	}
	s.c.logStream(resp, s, partial)
	return attemptResult{outcome: dispatch.Answered, delivered: true}
}

// checkUnframedEnd reports whether a response that ended with its connection may be the end of the
// stream, and the attempt's result if not. partial is the number of bytes after the last event.
//
// A connection that closes without a reset is how an unframed response ends. A caller that was promised chunks gets
// their end only if besides the endpoint was not terminated, which closes connections in the same way.
func (s *eventStream) checkUnframedEnd(resp *upstream.Response, partial int) (a attemptResult, ended bool) {
	switch {
	case mayBeCutOff(resp):
		return attemptResult{outcome: dispatch.Broken, connectionLost: true, err: &CutOffError{Unread: resp.LongestUnread()}}, false
	case s.splitter.InsideEvent():
		return attemptResult{outcome: dispatch.Broken, connectionLost: true, err: &PartialEventError{Bytes: partial}}, false
	case s.events == 0 && s.c.reqHeaders.LastEventID == "":
		return attemptResult{outcome: dispatch.Broken, connectionLost: true, err: &NoEventsError{}}, false
	case s.headersSent && !s.c.endsWithConn && !s.endpointRemains():
		return attemptResult{outcome: dispatch.Answered, err: &UnverifiedEndError{}}, false
	}
	return attemptResult{}, true
}

// endpointRemains reports whether the stream's endpoint is not known to have been terminated: it does not refuse a
// connection, or it leaves, and may exit after its last response. A connection that takes too long shows nothing: a busy
// endpoint, or a link, loses the packets that open one.
func (s *eventStream) endpointRemains() bool {
	ep := s.endpoint
	err := s.c.d.pool.Preconnect(ep.Key(), ep.Address)
	remains := !upstream.IsConnectionRefused(err) || s.c.d.sched.hasLeft(ep)
	s.c.d.log.Info().Str("request", s.c.reqHeaders.ID).Str("endpoint", ep.ID).Bool("remains", remains).Err(err).Msg("unframed_end")
	return remains
}
