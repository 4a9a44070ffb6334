// Package oversize tells long responses from endless ones. Neither their bytes nor their rate does: what a route has
// completed before is the measure.
package oversize

import "sync"

// plausibleFactor is how many times as long as the longest complete response of a route a response may be without
// being taken for an endless one.
const plausibleFactor = 4

// maxRecorded bounds the length that is recorded, in bytes, since the end of a response of no stated length may be
// that of a faulty endpoint.
const maxRecorded = 64 << 20

// History holds the length of the longest complete response of each route, in bytes. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	longest map[string]int64
}

// NewHistory returns a history without responses.
func NewHistory() *History { return &History{longest: make(map[string]int64)} }

// RecordComplete records a response that was received whole, as far as is known.
func (h *History) RecordComplete(route string, bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.longest[route] = max(h.longest[route], min(bytes, maxRecorded))
}

// Plausible reports whether a response of a route may be as long as the given number of bytes.
func (h *History) Plausible(route string, bytes int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return bytes <= plausibleFactor*h.longest[route]
}

// Retain forgets the routes that a new configuration no longer has.
func (h *History) Retain(has func(route string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for route := range h.longest {
		if !has(route) {
			delete(h.longest, route)
		}
	}
}
