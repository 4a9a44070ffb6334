package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSubmitKeepsDueEvents guards against a request that hangs until its deadline
// because its last token was due at the moment another request was submitted:
// Submit returned the due events to a caller that dropped them.
func TestSubmitKeepsDueEvents(t *testing.T) {
	is := is.New(t)
	m := New(Config{Slots: 4, PrefillSpeed: 1000, OutputSpeed: 100, CacheBlocks: 10}, 0)
	m.Submit(0, "a", nil, 10, 3)
	m.Submit(time.Second, "b", nil, 10, 3)
	ev := m.Advance(time.Second)
	is.Equal(len(ev), 2)
	is.Equal(ev[0].Kind, FirstToken)
	is.Equal(ev[1], Event{ID: "a", Kind: Done, At: ev[1].At})
}

// TestPrefillOrderAndPrefixCache checks that prompts are prefilled in arrival order
// and that a cached prefix is not prefilled again.
func TestPrefillOrderAndPrefixCache(t *testing.T) {
	is := is.New(t)
	m := New(Config{Slots: 4, PrefillSpeed: 1000, OutputSpeed: 100, CacheBlocks: 10}, 0)
	m.Submit(0, "a", []uint64{1, 2}, 128, 1)
	m.Submit(0, "b", []uint64{1, 2, 3}, 192, 1)
	var ids []string
	for _, e := range m.Advance(10 * time.Second) {
		if e.Kind == FirstToken {
			ids = append(ids, e.ID)
		}
	}
	is.Equal(ids, []string{"a", "b"})
	is.Equal(m.PrefilledTokens, 128+64) // only the last block of b is not cached
	m.Submit(10*time.Second, "c", nil, 1000, 5)
	m.Cancel(10*time.Second+time.Millisecond, "c")
	running, waiting := m.Load()
	is.Equal(running+waiting, 0)
}
