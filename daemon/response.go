package daemon

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/request"
)

// responseBuffer collects the response of one dispatch as it arrives. Any
// number of readers can follow it; a slow reader delays no other.
type responseBuffer struct {
	mu      sync.Mutex
	tokens  [][]byte
	plain   *plainResponse
	done    bool
	end     core.End
	changed chan struct{}
	onToken func(total int)
}

// plainResponse is the complete response of a plain service.
type plainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

func newResponseBuffer(onToken func(total int)) *responseBuffer {
	return &responseBuffer{changed: make(chan struct{}), onToken: onToken}
}

// Token implements endpoint.Sink.
func (b *responseBuffer) Token(offset int, data []byte) {
	b.mu.Lock()
	if offset == len(b.tokens) {
		b.tokens = append(b.tokens, data)
	}
	total := len(b.tokens)
	b.notifyReaders()
	b.mu.Unlock()
	if b.onToken != nil {
		b.onToken(total)
	}
}

// Response implements endpoint.Sink.
func (b *responseBuffer) Response(status int, contentType string, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.plain = &plainResponse{Status: status, ContentType: contentType, Body: body}
	b.notifyReaders()
}

func (b *responseBuffer) finish(end core.End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done = true
	b.end = end
	b.notifyReaders()
}

func (b *responseBuffer) tokenCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tokens)
}

func (b *responseBuffer) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// responseTail is the part of a response that a reader has not read yet.
type responseTail struct {
	tokens  [][]byte
	plain   *plainResponse
	done    bool
	end     core.End
	changed <-chan struct{}
}

func (b *responseBuffer) readFrom(offset int) responseTail {
	b.mu.Lock()
	defer b.mu.Unlock()
	return responseTail{tokens: b.tokens[min(offset, len(b.tokens)):], plain: b.plain, done: b.done, end: b.end, changed: b.changed}
}

// maxResponses bounds the responses kept for retries.
const maxResponses = 2048

// responseCache holds the responses to dispatches of this VM by request key, so
// that a retry that arrives here reads the same response.
type responseCache struct {
	cache *lru.Cache[request.Key, *responseBuffer]
}

func newResponseCache() *responseCache {
	cache, _ := lru.New[request.Key, *responseBuffer](maxResponses)
	return &responseCache{cache: cache}
}

func (s *responseCache) put(k request.Key, b *responseBuffer) { s.cache.Add(k, b) }

func (s *responseCache) get(k request.Key) (*responseBuffer, bool) { return s.cache.Get(k) }
