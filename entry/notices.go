package entry

import (
	"sync"
	"time"

	"github.com/chivefield/chivefield/core/members"
	"github.com/chivefield/chivefield/core/notice"
)

// unreadableEvery bounds the log lines on headers that cannot be understood.
const unreadableEvery = time.Second

// notices takes in what endpoints say of themselves in their answers.
type notices struct {
	d *Daemon

	mu sync.Mutex
	// last is what each incarnation said last, by its key.
	last map[string]notice.Notice
	// unreadableAt is when a header that cannot be understood was logged last.
	unreadableAt time.Duration
}

func newNotices(d *Daemon) *notices {
	return &notices{d: d, last: make(map[string]notice.Notice), unreadableAt: -unreadableEvery}
}

// heard takes in an answer of an endpoint.
func (n *notices) heard(ep *members.Endpoint, reply Reply) {
	if reply.Replaced {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logUnreadable(ep, reply.Unreadable)
	if reply.Notice.HasLimit {
		n.d.count("answers_naming_a_limit")
	}
	if n.last[ep.Key()] == reply.Notice {
		return
	}
	n.last[ep.Key()] = reply.Notice
	n.d.log.Info().Str("endpoint", ep.ID).Bool("limited", reply.Notice.HasLimit).Float64("per_second", reply.Notice.Limit).Msg("endpoint_notice")
}

// logUnreadable counts headers that cannot be understood and logs one now and then. The lock is held.
func (n *notices) logUnreadable(ep *members.Endpoint, list []HeaderError) {
	for _, e := range list {
		n.d.count("headers_unreadable")
		if now := n.d.now(); now >= n.unreadableAt+unreadableEvery {
			n.unreadableAt = now
			n.d.log.Warn().Str("endpoint", ep.ID).Err(&e).Msg("header_unreadable")
		}
	}
}
