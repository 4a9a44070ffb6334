package poison

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/suspect"
)

const (
	// confirmTTL is how long a response that ended with its connection waits for a sign that its endpoint lived on.
	confirmTTL = 10 * time.Second
	// maxUnconfirmed bounds the responses that wait at one endpoint, maxUnconfirmedTotal those of all: each takes up to 2 KB,
	// if the prompt of its request has many parts.
	maxUnconfirmed      = 64
	maxUnconfirmedTotal = 1024
)

// unconfirmedResponse is a response that ended with its connection: a terminated endpoint closes its connections too.
type unconfirmedResponse struct {
	request suspect.Request
	// endedAt is when the response ended.
	endedAt time.Duration
	success bool
}

// unconfirmedResponses holds the responses that are complete if their endpoint lived on after them.
type unconfirmedResponses struct {
	byEndpoint map[uint64][]unconfirmedResponse
	// n is the number of responses.
	n int
}

func newUnconfirmedResponses() *unconfirmedResponses {
	return &unconfirmedResponses{byEndpoint: make(map[uint64][]unconfirmedResponse)}
}

// set replaces the responses of an endpoint.
func (u *unconfirmedResponses) set(endpoint uint64, list []unconfirmedResponse) {
	u.n += len(list) - len(u.byEndpoint[endpoint])
	if len(list) == 0 {
		delete(u.byEndpoint, endpoint)
		return
	}
	u.byEndpoint[endpoint] = list
}

// add adds a response. The oldest of its endpoint makes way for it if there are too many, and an earlier one to the
// same request stays: what confirms this one confirms that one before.
func (u *unconfirmedResponses) add(endpoint uint64, r unconfirmedResponse) {
	list := u.byEndpoint[endpoint]
	same := func(o unconfirmedResponse) bool {
		return o.request.Digest == r.request.Digest && o.success == r.success
	}
	if slices.ContainsFunc(list, same) {
		return
	}
	if len(list) >= maxUnconfirmed {
		list = list[1:]
	}
	if u.n >= maxUnconfirmedTotal {
		u.dropOther(endpoint)
	}
	u.set(endpoint, append(slices.Clone(list), r))
}

// dropOther drops the responses of some other endpoint.
func (u *unconfirmedResponses) dropOther(endpoint uint64) {
	for other := range u.byEndpoint {
		if other != endpoint {
			u.set(other, nil)
			return
		}
	}
}

// confirm removes and returns the responses of an endpoint that had ended when a request was sent to it that it
// responded to.
func (u *unconfirmedResponses) confirm(endpoint uint64, sent time.Duration) []unconfirmedResponse {
	list := u.byEndpoint[endpoint]
	// They are in the order of their ends.
	n := 0
	for n < len(list) && list[n].endedAt < sent {
		n++
	}
	u.set(endpoint, slices.Clone(list[n:]))
	return list[:n]
}

// expire removes the responses that have waited for too long.
func (u *unconfirmedResponses) expire(now time.Duration) {
	for endpoint, list := range u.byEndpoint {
		u.set(endpoint, slices.DeleteFunc(slices.Clone(list), func(r unconfirmedResponse) bool { return now-r.endedAt >= confirmTTL }))
	}
}
