package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSubmitKeepsDueEvents: a request hung until its deadline. Sequence: its
// last token came due in the moment in which another request was submitted.
// Cause: the events that Submit met were returned to a caller that dropped them.
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

// TestPrefillOrderAndPrefixCache: prompts are read in arrival order, and a cached prefix is
// not paid for again.
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
	is.Equal(m.PrefilledTokens, 128+64) // b pays only its last block
	m.Submit(10*time.Second, "c", nil, 1000, 5)
	m.Cancel(10*time.Second+time.Millisecond, "c")
	running, waiting := m.Load()
	is.Equal(running+waiting, 0)
}
