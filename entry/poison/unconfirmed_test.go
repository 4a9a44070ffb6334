package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/core/suspect"
)

func response(target string, endedAt time.Duration) unconfirmedResponse {
	return unconfirmedResponse{request: suspect.Request{Digest: suspect.Identity{Target: target}.Digest()}, endedAt: endedAt, success: true}
}

// Guards against a request that is cleared by a response at whose end its endpoint terminated: only a response to a
// request that was sent later shows that the endpoint lived on.
func TestResponseIsConfirmedByLaterRequestsOnly(t *testing.T) {
	is := is.New(t)
	u := newUnconfirmedResponses()
	u.add(1, response("a", time.Second))
	u.add(1, response("b", 2*time.Second))
	u.add(2, response("c", time.Second))
	is.Equal(len(u.confirm(1, time.Second)), 0)
	confirmed := u.confirm(1, 2*time.Second)
	is.Equal(len(confirmed), 1)
	is.Equal(confirmed[0].request.Digest, response("a", 0).request.Digest)
	is.Equal(len(u.confirm(1, 3*time.Second)), 1)
	is.Equal(len(u.confirm(1, 3*time.Second)), 0)
	u.expire(time.Second + confirmTTL)
	is.Equal(len(u.byEndpoint), 0)
	is.Equal(u.n, 0)
}

// Guards against memory that grows with the responses of an endpoint that nothing is sent to any more.
func TestUnconfirmedResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	u := newUnconfirmedResponses()
	for i := range 3 * maxUnconfirmed {
		u.add(1, response(string(rune('a'+i)), time.Duration(i)))
		u.add(1, response("same", time.Duration(i)))
	}
	is.Equal(len(u.byEndpoint[1]), maxUnconfirmed)
	for i := range 3 * maxUnconfirmedTotal {
		u.add(uint64(i%100), response(string(rune(i)), time.Duration(i)))
		is.True(u.n <= maxUnconfirmedTotal)
	}
	total := 0
	for _, list := range u.byEndpoint {
		total += len(list)
	}
	is.Equal(total, u.n)
}
