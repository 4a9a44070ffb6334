package entry

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/schema"
)

// laggingVM serves a copy of the registry that is not up to date.
type laggingVM struct {
	schema.Relay
	copy *schema.EndpointsReply
}

// Endpoints implements schema.Relay.
func (v *laggingVM) Endpoints(context.Context, *schema.EndpointsRequest) (*schema.EndpointsReply, error) {
	return v.copy, nil
}

// Guards against an endpoint that left and gets requests again because a VM that failed to read the store fetches an
// older copy of the registry from a VM that lags.
func TestOlderCopyOfRegistryIsNotApplied(t *testing.T) {
	is := is.New(t)
	store := &registryLog{}
	store.write("left", listedReady)
	store.write("stays", listedReady)
	old, at, err := store.Snapshot(t.Context(), FeedEndpoints)
	is.NoErr(err)
	reply := &schema.EndpointsReply{Known: true, Next: at.Offset}
	for _, r := range old {
		reply.Records = append(reply.Records, &schema.StoreRecord{Key: r.Key, Value: r.Value, Written: r.wireOffset(at.Era)})
	}
	lagging := httptest.NewServer(schema.NewRelayServer(&laggingVM{copy: reply}))
	defer lagging.Close()
	address := strings.TrimPrefix(lagging.URL, "http://")

	d := New(Options{Settings: testSettings(t, false), Log: logging.New(io.Discard), Codec: stateCodec{}, Dial: (&net.Dialer{}).DialContext})
	f := &registryFollower{Daemon: d, feedCursor: feedCursor{store: store, feed: FeedEndpoints}}
	read := func() {
		before := f.next
		got, err := f.read(t.Context(), 0)
		is.NoErr(err)
		f.applyReadResult(got, before, f.next)
	}
	read()
	store.write("left", listedLeaving)
	store.write("left", "")
	read()
	is.Equal(f.usable(), map[string]bool{"stays": true})

	f.known = false
	d.registryLostAt.Store(int64(d.now()))
	f.applyRelay(t.Context(), &f.feedCursor, relay{&schema.EndpointRelay{From: at.Offset, Next: at.Offset}, address})
	is.Equal(f.usable(), map[string]bool{"stays": true})
	is.Equal(f.next.Offset, store.end().Offset)
}
