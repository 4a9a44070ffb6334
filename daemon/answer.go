package daemon

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/chivefield/chivefield/core"
	"github.com/chivefield/chivefield/request"
)

// answer is the answer to one dispatch, as far as it has come. Any number of
// readers follow it; a slow one holds up nothing but itself.
type answer struct {
	mu      sync.Mutex
	tokens  [][]byte
	plain   *plainAnswer
	done    bool
	end     core.End
	changed chan struct{}
	onToken func(total int)
}

// plainAnswer is the whole answer of a plain service.
type plainAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

func newAnswer(onToken func(total int)) *answer {
	return &answer{changed: make(chan struct{}), onToken: onToken}
}

// Token implements endpoint.Sink.
func (a *answer) Token(offset int, data []byte) {
	a.mu.Lock()
	if offset == len(a.tokens) {
		a.tokens = append(a.tokens, data)
	}
	total := len(a.tokens)
	a.wake()
	a.mu.Unlock()
	if a.onToken != nil {
		a.onToken(total)
	}
}

// Response implements endpoint.Sink.
func (a *answer) Response(status int, contentType string, body []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.plain = &plainAnswer{Status: status, ContentType: contentType, Body: body}
	a.wake()
}

func (a *answer) finish(end core.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	a.end = end
	a.wake()
}

func (a *answer) total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tokens)
}

func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// part is what a reader has not seen yet.
type part struct {
	tokens  [][]byte
	plain   *plainAnswer
	done    bool
	end     core.End
	changed <-chan struct{}
}

func (a *answer) from(offset int) part {
	a.mu.Lock()
	defer a.mu.Unlock()
	return part{tokens: a.tokens[min(offset, len(a.tokens)):], plain: a.plain, done: a.done, end: a.end, changed: a.changed}
}

// maxAnswers bounds the finished answers kept for repeats.
const maxAnswers = 2048

// answers finds answers by key, so that repeats at this VM read them here.
type answers struct {
	cache *lru.Cache[request.Key, *answer]
}

func newAnswers() *answers {
	cache, _ := lru.New[request.Key, *answer](maxAnswers)
	return &answers{cache: cache}
}

func (s *answers) put(k request.Key, a *answer) { s.cache.Add(k, a) }

func (s *answers) get(k request.Key) (*answer, bool) { return s.cache.Get(k) }
