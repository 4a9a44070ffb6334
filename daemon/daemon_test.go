package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chivefield/chivefield/engine"
	"github.com/chivefield/chivefield/logging"
	"github.com/chivefield/chivefield/settings"
	"github.com/chivefield/chivefield/standin"
)

const (
	testPeerKey     = "peer-key-of-this-test"
	testOperatorKey = "operator-key-of-this-test"
	testAPIKey      = "api-key-of-one"
	otherAPIKey     = "api-key-of-other"
)

// testVM is a daemon whose platform and endpoints run in the test process.
type testVM struct {
	t                         testing.TB
	callers, peers, operators string
	service                   string
	engine                    *standin.Engine
	// ended is closed when Run has returned.
	ended chan struct{}
	log   *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func startVM(t testing.TB) *testVM {
	v := &testVM{t: t, log: &lockedBuffer{}}
	listeners := map[string]net.Listener{}
	listen := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[l.Addr().String()] = l
		return l.Addr().String()
	}
	serve := func(h http.Handler) string {
		addr := listen()
		l := listeners[addr]
		s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		return addr
	}
	platform := serve((&standin.Platform{}).Handler())
	v.engine = standin.NewEngine("e", engine.Config{Slots: 8, PrefillSpeed: 8000, OutputSpeed: v.outputSpeed(), CacheBlocks: 10})
	engineAddr := serve(v.engine.Handler())
	v.service = serve((&standin.Service{Name: "s"}).Handler())
	v.callers, v.peers, v.operators = listen(), listen(), listen()
	set, err := settings.Parse(fmt.Appendf(nil, `
[vm]
id = 1
failure_domain = "a"
[listen]
callers = %q
peers = %q
operators = %q
[platform]
address = %q
poll_interval = "10ms"
[keys]
peer = %q
operator = %q
[limits]
max_body_bytes = 1000
`, v.callers, v.peers, v.operators, platform, testPeerKey, testOperatorKey))
	if err != nil {
		t.Fatal(err)
	}
	d := New(Options{Settings: set, Log: logging.New(v.log), Listen: func(addr string) (net.Listener, error) { return listeners[addr], nil }})
	ctx, stop := context.WithCancel(context.Background())
	v.ended = make(chan struct{})
	go func() {
		defer close(v.ended)
		if err := d.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-v.ended
	})
	v.configure(engineAddr)
	return v
}

// outputSpeed returns a speed at which, in a benchmark, generating tokens takes
// no noticeable time, so that only relaying them is measured.
func (v *testVM) outputSpeed() float64 {
	if _, ok := v.t.(*testing.B); ok {
		return 1e9
	}
	return 500
}

func (v *testVM) configure(engineAddr string) {
	sum := func(key string) string { s := sha256.Sum256([]byte(key)); return hex.EncodeToString(s[:]) }
	doc := fmt.Sprintf(`
schema_version = 1
author = "test"
record_ttl = "15m"
tiers = [{number = 0, name = "t"}]
organisations = [{name = "one", key_sha256 = %q}, {name = "other", key_sha256 = %q}]
kinds = [{name = "lookup", deadline = "10s", path = "/lookup"}, {name = "check", deadline = "10s", model = "m", expected_output = 10}]
assignments = [{organisation = "*", kind = "*", tier = 0}]
endpoints = [{name = "s", address = %q, failure_domain = "a", kinds = ["lookup"], slots = 64}, {name = "e", address = %q, failure_domain = "a", models = ["m"], slots = 8, prefill_tokens_per_s = 8000, output_tokens_per_s = 500}]
`, sum(testAPIKey), sum(otherAPIKey), v.service, engineAddr)
	if status, body := v.do(v.operators, http.MethodPost, "/config", testOperatorKey, nil, doc); status != http.StatusOK {
		v.t.Fatal(status, body)
	}
	for {
		// Ready, and known to be the first process of its domain.
		status, body := v.do(v.callers, http.MethodGet, "/readyz", "", nil, "")
		if status == http.StatusOK && strings.Contains(body, `"Lost":0`) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (v *testVM) do(addr, method, path, key string, headers map[string]string, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		v.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, h := range headers {
		req.Header.Set(k, h)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		v.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		v.t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

const (
	completions = "/v1/completions"
	goodBody    = `{"model":"m","prompt":"p","max_tokens":3}`
)

// TestBadInputs checks that each kind of bad input gets its own error and that
// nothing is dispatched for it.
func TestBadInputs(t *testing.T) {
	is := is.New(t)
	v := startVM(t)
	cases := []struct {
		name, addr, method, path, key string
		headers                       map[string]string
		body                          string
		status                        int
		code                          string
	}{
		{"no key", v.callers, "POST", completions, "", nil, goodBody, 401, "unauthenticated"},
		{"wrong key", v.callers, "POST", completions, "nobody", nil, goodBody, 401, "unauthenticated"},
		{"operator key at callers", v.callers, "POST", completions, testOperatorKey, nil, goodBody, 401, "unauthenticated"},
		{"malformed", v.callers, "POST", completions, testAPIKey, nil, `{"model":`, 400, "bad_body"},
		{"oversized", v.callers, "POST", completions, testAPIKey, nil, strings.Repeat("x", 2000), 413, "body_too_large"},
		{"unknown kind", v.callers, "POST", completions, testAPIKey, map[string]string{HeaderKind: "nothing"}, goodBody, 400, "unknown_kind"},
		{"unknown model", v.callers, "POST", completions, testAPIKey, nil, `{"model":"x"}`, 400, "unknown_kind"},
		{"unknown service", v.callers, "POST", "/v1/services/nothing", testAPIKey, nil, "", 404, "unknown_kind"},
		{"passed deadline", v.callers, "POST", completions, testAPIKey, map[string]string{HeaderDeadline: "0s"}, goodBody, 400, "deadline_passed"},
		{"deadline without unit", v.callers, "POST", completions, testAPIKey, map[string]string{HeaderDeadline: "30"}, goodBody, 400, "bad_deadline"},
		{"attempt 0", v.callers, "POST", completions, testAPIKey, map[string]string{HeaderID: "a", HeaderAttempt: "0"}, goodBody, 400, "bad_attempt"},
		{"attempt in words", v.callers, "POST", completions, testAPIKey, map[string]string{HeaderID: "a", HeaderAttempt: "first"}, goodBody, 400, "bad_attempt"},
		{"long id", v.callers, "POST", completions, testAPIKey, map[string]string{HeaderID: strings.Repeat("i", 201)}, goodBody, 400, "bad_request_id"},
		{"unknown request", v.callers, "DELETE", "/v1/requests/none", testAPIKey, nil, "", 404, "unknown_request"},
		{"operator without key", v.operators, "GET", "/status", "", nil, "", 401, "unauthenticated"},
		{"operator with API key", v.operators, "POST", "/drain", testAPIKey, nil, "", 401, "unauthenticated"},
		{"peer without key", v.peers, "GET", "/watch", "", nil, "", 401, "unauthenticated"},
		{"peer with operator key", v.peers, "POST", "/twirp/chivefield.PeerService/Exchange", testOperatorKey, nil, "{}", 401, "unauthenticated"},
		{"faulty configuration", v.operators, "POST", "/config", testOperatorKey, nil, "author = 1", 422, ""},
	}
	for _, c := range cases {
		status, body := v.do(c.addr, c.method, c.path, c.key, c.headers, c.body)
		var e errorBody
		_ = json.Unmarshal([]byte(body), &e)
		is.Equal(c.name+fmt.Sprint(status)+e.Error.Code, c.name+fmt.Sprint(c.status)+c.code)
	}
	is.Equal(len(v.engine.RunCounts()), 0) // no request reached the engine
}

// TestOrganisationsIsolated checks that an organisation that guesses another's
// request id gets its own run and neither reads nor attaches to the other's
// request.
func TestOrganisationsIsolated(t *testing.T) {
	is := is.New(t)
	v := startVM(t)
	id := map[string]string{HeaderID: "same", HeaderAttempt: "1"}
	status, mine := v.do(v.callers, "POST", completions, testAPIKey, id, goodBody)
	is.Equal(status, 200)
	again := map[string]string{HeaderID: "same", HeaderAttempt: "2"}
	status, theirs := v.do(v.callers, "POST", completions, otherAPIKey, again, goodBody)
	is.Equal(status, 200)
	is.True(mine != theirs)                // each organisation has its own response
	is.Equal(len(v.engine.RunCounts()), 2) // one run for each organisation
	status, repeated := v.do(v.callers, "POST", completions, testAPIKey, again, goodBody)
	is.Equal(status, 200)
	is.Equal(repeated, mine)
	status, _ = v.do(v.callers, "POST", completions, testAPIKey, again, `{"model":"m","prompt":"changed","max_tokens":3}`)
	is.Equal(status, 422) // the same id with another body
	is.Equal(len(v.engine.RunCounts()), 2)
}

// TestDrainEndsProcess guards against a process that serves nothing and never
// exits after an operator's drain. Shutdown used to wait only for a signal, not
// for the end of the work.
func TestDrainEndsProcess(t *testing.T) {
	is := is.New(t)
	v := startVM(t)
	status, _ := v.do(v.operators, "POST", "/drain", testOperatorKey, nil, "")
	is.Equal(status, 202)
	<-v.ended
}

// TestKeysNotLogged checks that no key appears in the log, where anyone who
// reads logs could use it.
func TestKeysNotLogged(t *testing.T) {
	is := is.New(t)
	v := startVM(t)
	status, _ := v.do(v.callers, "POST", completions, testAPIKey, nil, goodBody)
	is.Equal(status, 200)
	v.do(v.callers, "POST", completions, "wrong-key-of-somebody", nil, goodBody)
	for _, key := range []string{testAPIKey, testPeerKey, testOperatorKey, "wrong-key-of-somebody"} {
		is.True(!strings.Contains(v.log.String(), key))
	}
	is.True(strings.Contains(v.log.String(), "event=outcome"))
}

// TestBrokenStreamShows checks that a stream that cannot be completed ends with
// an error event and an aborted connection, without the marker of a complete
// one.
func TestBrokenStreamShows(t *testing.T) {
	is := is.New(t)
	v := startVM(t)
	v.engine.SetFaults(standin.EngineFaults{CutAfter: 5})
	req, _ := http.NewRequest("POST", "http://"+v.callers+completions, strings.NewReader(`{"model":"m","prompt":"p","max_tokens":10,"stream":true}`))
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.True(err != nil) // the connection is aborted
	is.True(strings.Contains(string(body), `"outcome":"unknown"`))
	is.True(!strings.Contains(string(body), doneMark))
}

const doneMark = "[DONE]"

// BenchmarkDirect calls a plain service without the daemon. The difference from
// BenchmarkThroughVM is the daemon's overhead.
func BenchmarkDirect(b *testing.B) {
	v := startVM(b)
	for b.Loop() {
		v.do(v.service, "POST", "/lookup", "", nil, "x")
	}
}

// BenchmarkThroughVM makes the same call through one daemon.
func BenchmarkThroughVM(b *testing.B) {
	v := startVM(b)
	for b.Loop() {
		if status, body := v.do(v.callers, "POST", "/v1/services/lookup", testAPIKey, nil, "x"); status != http.StatusOK {
			b.Fatal(status, body)
		}
	}
}

// BenchmarkTokens relays streams of 2,000 tokens. The engine and the caller run
// in the same process, so the result includes their cost.
func BenchmarkTokens(b *testing.B) {
	const tokens = 2000
	v := startVM(b)
	for b.Loop() {
		if status, _ := v.do(v.callers, "POST", completions, testAPIKey, nil, `{"model":"m","prompt":"p","max_tokens":2000,"stream":true}`); status != http.StatusOK {
			b.Fatal(status)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
