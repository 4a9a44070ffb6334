package daemon

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/request"
)

// responseBuffer is the responseBuffer to one dispatch, as far as it has come. Any number of
// readers follow it; a slow one holds up nothing but itself.
type responseBuffer struct {
	mu      sync.Mutex
	tokens  [][]byte
	plain   *plainResponse
	done    bool
	end     core.End
	changed chan struct{}
	onToken func(total int)
}

// plainResponse is the whole answer of a plain service.
type plainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

func newResponseBuffer(onToken func(total int)) *responseBuffer {
	return &responseBuffer{changed: make(chan struct{}), onToken: onToken}
}

// Token implements endpoint.Sink.
func (a *responseBuffer) Token(offset int, data []byte) {
	a.mu.Lock()
	if offset == len(a.tokens) {
		a.tokens = append(a.tokens, data)
	}
	total := len(a.tokens)
	a.notifyReaders()
	a.mu.Unlock()
	if a.onToken != nil {
		a.onToken(total)
	}
}

// Whole implements endpoint.Sink.
func (a *responseBuffer) Whole(status int, contentType string, body []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.plain = &plainResponse{Status: status, ContentType: contentType, Body: body}
	a.notifyReaders()
}

func (a *responseBuffer) finish(end core.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	a.end = end
	a.notifyReaders()
}

func (a *responseBuffer) tokenCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tokens)
}

func (a *responseBuffer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// responseTail is what a reader has not seen yet.
type responseTail struct {
	tokens  [][]byte
	plain   *plainResponse
	done    bool
	end     core.End
	changed <-chan struct{}
}

func (a *responseBuffer) readFrom(offset int) responseTail {
	a.mu.Lock()
	defer a.mu.Unlock()
	return responseTail{tokens: a.tokens[min(offset, len(a.tokens)):], plain: a.plain, done: a.done, end: a.end, changed: a.changed}
}

// maxResponses bounds the finished answers kept for repeats.
const maxResponses = 2048

// responseCache finds responseCache by key, so that repeats at this VM read them here.
type responseCache struct {
	cache *lru.Cache[request.Key, *responseBuffer]
}

func newResponseCache() *responseCache {
	cache, _ := lru.New[request.Key, *responseBuffer](maxResponses)
	return &responseCache{cache: cache}
}

func (s *responseCache) put(k request.Key, a *responseBuffer) { s.cache.Add(k, a) }

func (s *responseCache) get(k request.Key) (*responseBuffer, bool) { return s.cache.Get(k) }
