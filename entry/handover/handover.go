// Package handover moves a request from an endpoint that has stopped responding to another one. The
// endpoint is given up only once another is in hand: it may be sound and go on a moment later, while no other
// has room, or none will take the request.
//
//	w := handover.Watch(timeout, find, giveUp)
//	for each event {
//		if !w.RecordEvent() {
//			break
//		}
//	}
//	if target, ok := w.Stop(); ok {
//		// The attempt was given up; target runs the rest.
//	}
package handover

import (
	"context"
	"sync"
	"time"

	"github.com/chivefield/chivefield/timeout"
)

// EventTimeout is the time for which an endpoint may send nothing between two events.
const EventTimeout = time.Second

// Target is an endpoint that is ready to run the rest of a request.
type Target interface {
	comparable
	// Release gives back what is held at the endpoint.
	Release()
}

// Finder looks for a target, with how late this process is. Without one it returns the zero value and after what
// time it is worth looking again, 0 for never. Its context ends when the target is no longer wanted.
type Finder[T Target] func(ctx context.Context, late time.Duration) (target T, again time.Duration)

// Watcher watches one attempt at an endpoint.
type Watcher[T Target] struct {
	find   Finder[T]
	giveUp func()

	// first is how long the endpoint may take until its first event, once it has read the request.
	first time.Duration

	mu sync.Mutex
	// timer is nil if the attempt is not watched.
	timer *timeout.Timer
	// endSearch ends the search that began as the endpoint fell silent, nil if it is not.
	endSearch context.CancelFunc
	// lastEvent is when an event was last passed on, paused is set meanwhile.
	lastEvent time.Time
	paused    bool
	// due is when the running timeout ends. suspended is when this process began not to read, zero if it reads, and
	// missed is set if the timeout has passed since.
	due, suspended time.Time
	missed         bool
	// target is set once the attempt was given up.
	target  T
	stopped bool
}

// Watch starts to watch an attempt. Once nothing has come for the timeout, find is called until it has a target or
// an event comes; with a target, giveUp must end the attempt.
func Watch[T Target](first time.Duration, find Finder[T], giveUp func()) *Watcher[T] {
	w := &Watcher[T]{find: find, giveUp: giveUp, first: first}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(first)
	w.timer = timeout.AfterFunc(first, w.search)
	return w
}

// Unwatched returns a watcher of an attempt that is not to be given up.
func Unwatched[T Target]() *Watcher[T] { return &Watcher[T]{} }

// search looks for a target until there is one or it is no longer wanted.
func (w *Watcher[T]) search(late time.Duration) {
	ctx, end, ok := w.beginSearch()
	if !ok {
		return
	}
	defer end()
	var none T
	for {
		begin := time.Now()
		target, again := w.find(ctx, late)
		if target != none {
			if time.Since(begin) > timeout.Confirmation {
				// Room that had to be waited for may come because endpoints go on that were silent
				// together; the event of this one is then on its way.
				sleep(ctx, timeout.Confirmation)
			}
			if !w.handOver(ctx, target) {
				target.Release()
			}
			return
		}
		if again == 0 || !sleep(ctx, again) {
			return
		}
	}
}

// beginSearch starts a search unless the attempt is over, an event came while the timer fired, or reading is suspended.
// In the last case it sets missed, and Continue starts the timeout again.
func (w *Watcher[T]) beginSearch() (ctx context.Context, end context.CancelFunc, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.missed = !w.suspended.IsZero()
	if w.stopped || w.paused || w.missed || w.endSearch != nil || !w.lastEvent.IsZero() && time.Since(w.lastEvent) < EventTimeout {
		return nil, nil, false
	}
	ctx, w.endSearch = context.WithCancel(context.Background())
	return ctx, w.endSearch, true
}

// handOver gives the attempt up for a target, unless the endpoint has sent something meanwhile.
func (w *Watcher[T]) handOver(ctx context.Context, target T) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	w.target = target
	w.giveUp()
	return true
}

// RecordEvent records that the endpoint has sent something. It returns false if the attempt has been given up: what
// came must then not be used, since the target runs the rest without it.
func (w *Watcher[T]) RecordEvent() bool {
	if !w.Pause() {
		return false
	}
	w.Resume()
	return true
}

// RecordProgress records that the endpoint has read more of the request: the time until its first event begins
// anew.
func (w *Watcher[T]) RecordProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var none T
	if w.timer == nil || w.stopped || w.paused || w.target != none || !w.lastEvent.IsZero() {
		return
	}
	w.cancelSearch()
	w.restart(w.first)
}

// Pause records that the endpoint has sent something, and stops the watch while that is passed on: a caller that
// takes it slowly is no silent endpoint. It returns false if the attempt has been given up, as RecordEvent does.
func (w *Watcher[T]) Pause() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var none T
	if w.target != none {
		return false
	}
	w.paused = true
	w.cancelSearch()
	return true
}

// Resume continues the watch after Pause.
func (w *Watcher[T]) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused, w.lastEvent = false, time.Now()
	if w.timer != nil {
		w.restart(EventTimeout)
	}
}

// Suspend stops the watch while this process does not read what the endpoint sends. Unlike Pause it records no event,
// and does not end a search that has begun. It returns false if the attempt has been given up.
func (w *Watcher[T]) Suspend() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var none T
	if w.target != none {
		return false
	}
	w.suspended, w.missed = time.Now(), false
	return true
}

// Continue continues the watch after Suspend. The timeout is extended by the time of the
// suspension.
func (w *Watcher[T]) Continue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := time.Since(w.suspended)
	w.suspended = time.Time{}
	// For short suspensions the timer stays: an endpoint that often sends comments would otherwise never time out.
	if w.timer == nil || d < timeout.Confirmation && !w.missed {
		return
	}
	w.restart(max(0, time.Until(w.due.Add(d))))
}

// restart starts the timeout anew.
func (w *Watcher[T]) restart(d time.Duration) {
	w.due = time.Now().Add(d)
	w.timer.Reset(d)
}

func (w *Watcher[T]) cancelSearch() {
	if w.endSearch != nil {
		w.endSearch()
		w.endSearch = nil
	}
}

// Stalled reports whether the endpoint has been silent for the timeout and has sent nothing since.
func (w *Watcher[T]) Stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endSearch != nil
}

// Stop ends the watch, and returns the target for which the attempt was given up, if it was. The caller owns the
// target.
func (w *Watcher[T]) Stop() (target T, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var none T
	target, w.target = w.target, none
	w.stopped = true
	w.cancelSearch()
	if w.timer != nil {
		w.timer.Stop()
	}
	return target, target != none
}

// sleep waits, and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
