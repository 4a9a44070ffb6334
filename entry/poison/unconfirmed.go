package poison

import (
	"slices"
	"time"

	"github.com/chivefield/chivefield/core/suspect"
)

const (
	// confirmTTL is how long a response that ended with its connection waits for a sign that its endpoint lived on.
	confirmTTL = 10 * time.Second
	// maxUnconfirmed bounds the responses that wait at one endpoint.
	maxUnconfirmed = 64
)

// unconfirmedResponse is a response that ended with its connection: a terminated endpoint closes its connections too.
type unconfirmedResponse struct {
	request suspect.Request
	// endedAt is when the response ended.
	endedAt time.Duration
	success bool
}

// unconfirmedResponses holds, by endpoint, the responses that are complete if their endpoint lived on after them.
type unconfirmedResponses map[uint64][]unconfirmedResponse

// add adds a response. The oldest of its endpoint makes way for it if there are too many, and an earlier one to the
// same request stays: what confirms this one confirms that one before.
func (u unconfirmedResponses) add(endpoint uint64, r unconfirmedResponse) {
	list := u[endpoint]
	same := func(o unconfirmedResponse) bool {
		return o.request.Digest == r.request.Digest && o.success == r.success
	}
	if slices.ContainsFunc(list, same) {
		return
	}
	if len(list) >= maxUnconfirmed {
		list = slices.Delete(list, 0, 1)
	}
	u[endpoint] = append(list, r)
}

// confirm removes and returns the responses of an endpoint that had ended when a request was sent to it that it
// responded to.
func (u unconfirmedResponses) confirm(endpoint uint64, sent time.Duration) []unconfirmedResponse {
	list := u[endpoint]
	// They are in the order of their ends.
	n := 0
	for n < len(list) && list[n].endedAt < sent {
		n++
	}
	if n == len(list) {
		delete(u, endpoint)
		return list
	}
	u[endpoint] = slices.Clone(list[n:])
	return list[:n]
}

// expire removes the responses that have waited for too long.
func (u unconfirmedResponses) expire(now time.Duration) {
	for endpoint, list := range u {
		list = slices.DeleteFunc(list, func(r unconfirmedResponse) bool { return now-r.endedAt >= confirmTTL })
		if len(list) == 0 {
			delete(u, endpoint)
			continue
		}
		u[endpoint] = list
	}
}
