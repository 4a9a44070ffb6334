package entry

import (
	"context"
	"net/http"
	"strings"
	"time"
)

const (
	// newConfigWait is how long a request waits for a version that other VMs have in force, if it would
	// be refused by the older one, newConfigWaitShare which fraction of the caller's time at most: the
	// rest is for its next attempt.
	newConfigWait      = 500 * time.Millisecond
	newConfigWaitShare = 1.0 / 4
	// newConfigRetryAfter is the Retry-After of a VM that knows of a newer version: the caller's next
	// attempt reaches another VM.
	newConfigRetryAfter = 300 * time.Millisecond
)

// awaitNewest waits until this VM has the newest version that it knows of. waited is false if it had
// that already, current if it still has not.
func (f *configFetcher) awaitNewest(ctx context.Context, wait time.Duration) (waited, current bool) {
	f.mu.Lock()
	caughtUp := f.caughtUp
	f.mu.Unlock()
	if caughtUp == nil {
		return false, true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-caughtUp:
		return true, true
	case <-t.C:
	case <-ctx.Done():
	}
	return true, false
}

// overdue reports whether this VM should leave its callers to others, since it lacks a version that
// must be in force and that most VMs of its failure domain have.
func (f *configFetcher) overdue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp != nil && f.tracker.Overdue(f.d.now(), f.d.peers.standing)
}

// checkConfig looks up the route and the organisation of a request in the configuration in force. What
// that refuses, a newer version that is known of may allow: a final status such as 404 would then be
// wrong for good, so the request waits for it, or is told to come back.
func (c *callerRequest) checkConfig() *refusal {
	if c.d.configFetcher.overdue() {
		return &refusal{http.StatusServiceUnavailable, "configuration_overdue", newConfigRetryAfter}
	}
	denied := c.lookUp()
	if denied == nil {
		return nil
	}
	wait := newConfigWait
	if c.reqHeaders.HasTimeout {
		wait = min(wait, fraction(newConfigWaitShare, c.reqHeaders.Timeout))
	}
	waited, current := c.d.configFetcher.awaitNewest(c.r.Context(), wait)
	switch {
	case !waited:
		return denied
	case !current:
		return &refusal{http.StatusServiceUnavailable, "configuration_pending", newConfigRetryAfter}
	}
	return c.lookUp()
}

// lookUp looks up the route and the organisation.
func (c *callerRequest) lookUp() *refusal {
	t := c.d.table.Load()
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = t.Route(c.r.Host, path)
	if c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	if t.NeedsKeys() {
		c.org = t.Organisation(c.reqHeaders.Key)
		if c.org == nil && !c.route.Public {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
	}
	return nil
}
